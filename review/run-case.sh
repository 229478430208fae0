#!/usr/bin/env bash
# Runs the case N with its record in review/N/record.txt.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
case=${1:?usage: run-case.sh N}
cd "$(dirname "$0")/.." || exit 2
program=review/target/case-$case
if [ ! -x "$program" ] || [ ! -x target/bin/tamarack-platformd ]; then
    echo "build first: the line build in deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
timeout -k 2 115 "$program" "review/$case/record.txt"
code=$?
if [ "$code" -gt 2 ]; then
    echo "the case ended with code $code" >&2
    exit 2
fi
exit "$code"
