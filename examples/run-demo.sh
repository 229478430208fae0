#!/usr/bin/env bash
# Starts a small fleet, rolls out a bundle and sends requests until the budget is exhausted.
# Usage: examples/run-demo.sh BIN_FOLDER
set -euo pipefail
BIN=${1:?usage: run-demo.sh BIN_FOLDER}
# shellcheck source=examples/fleet.sh
. "$(dirname "$0")/fleet.sh"
start_fleet
write_bundle 300
echo "== roll out bundle version 1"
submit 1
request='{"model":"small","messages":[{"role":"user","content":"When do I switch the lamp off?"}],"max_tokens":32'
echo "== non-streamed response"
chat "$request}"
echo
echo "== streamed response"
chat "$request,\"stream\":true}"
echo "== non-idempotent call, and a retry with the same idempotency key"
for _ in 1 2; do
    curl -s -H "Authorization: Bearer demo-caller-key" -H "Idempotency-Key: badge-42" \
        -d '{"name":"welder"}' "http://$CALLERS/services/accounts/create"
    echo
done
echo "== requests until the budget is exhausted"
for _ in $(seq 20); do
    response=$(chat "$request}")
    case $response in *budget_exhausted*) echo "$response"; break ;; esac
done
echo "== budget in the store"
sleep 1
"$BIN/tamarackctl" budget onboarding-2026 --admin "$ADMIN"
