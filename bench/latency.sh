#!/usr/bin/env bash
# Measures the latency that one daemon adds to direct requests to the engine, and its throughput.
# Usage: bench/latency.sh BIN_FOLDER [SECONDS]
set -euo pipefail
BIN=${1:?usage: latency.sh BIN_FOLDER [SECONDS]}
SECONDS_EACH=${2:-5}
# shellcheck source=examples/fleet.sh
. "$(dirname "$0")/../examples/fleet.sh"
start_fleet
write_bundle 1000000000
submit 1 >/dev/null
load() {
    "$BIN/tamarack-load" --seconds "$SECONDS_EACH" --key "$CALLER_KEY" "$@"
}
for kind in plain stream; do
    flag=()
    [ "$kind" = plain ] || flag=(--stream)
    for concurrency in 1 16; do
        echo "== $kind, concurrency $concurrency, engine"
        load --address "$ENGINE" --concurrency "$concurrency" "${flag[@]}"
        echo "== $kind, concurrency $concurrency, daemon"
        load --address "$CALLERS" --concurrency "$concurrency" "${flag[@]}"
    done
done
