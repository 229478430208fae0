#!/usr/bin/env bash
# Fails if a name of the platform's protocol occurs in code outside platform/ and deploy/. Documentation
# and the journal are not checked.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Attempt-Id|Prefix-Hash|Token-Usage|Response-Signature|Expect-Instance|Not-Executed|Deadline-Ms|Cache-Hold|Pin-Ms|Kv-Backup|Kv-From|Server-Limit|Server-Brittle|Server-Leaving|Store-Era'
names+='|kv-(key|range|txn|watch|lease|keep)|op/config|ColdRemainingMs|MaxAttempts|TargetLatencyMs|PathPrefix|ApiKeys|TAMARACKYARD_NODE_FILE'
if git grep -nE "(^|[^A-Za-z-])($names)([^A-Za-z-]|$)" -- src tests bench examples proto | grep -v 'X-Deadline-Ms'; then
    echo "the lines above contain names of the platform's protocol; only platform/ may translate them" >&2
    exit 1
fi
echo "no names of the platform's protocol outside platform/ and deploy/"
