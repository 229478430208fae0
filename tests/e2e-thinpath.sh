#!/usr/bin/env bash
# End-to-end path through separate processes: bundle, streamed and non-streamed response, non-idempotent
# call, exhausted budget and top-up. Guards against components that work alone but not together.
set -euo pipefail
BIN=${1:?usage: e2e-thinpath.sh BIN_FOLDER}
# shellcheck source=examples/fleet.sh
. "$(dirname "$0")/../examples/fleet.sh"

expect() {
    case $2 in
    *"$3"*) echo "ok: $1" ;;
    *)
        echo "FAILED: $1: expected $3 in: $2" >&2
        cat "$WORK/daemon.log" >&2
        exit 1
        ;;
    esac
}

start_fleet
request='{"model":"small","messages":[{"role":"user","content":"hello"}],"max_tokens":32'
expect "request without a bundle is refused" "$(chat "$request}")" '"execution":"not_run"'
write_bundle 300
submit 1
expect "non-streamed response" "$(chat "$request}")" '"total_tokens":12'
stream=$(chat "$request,\"stream\":true}")
expect "streamed response" "$stream" 'w7'
expect "stream terminator" "$stream" 'data: [DONE]'
expect "unknown key is refused" "$(CALLER_KEY=wrong chat "$request}")" 'unknown_key'
call() {
    curl -s -H "Authorization: Bearer demo-caller-key" "$@" -d x "http://$CALLERS/services/accounts/create"
}
expect "idempotency key is required" "$(call)" 'invalid_request'
expect "service call" "$(call -H "Idempotency-Key: k1")" 'POST /create x'
expect "retry does not run the call again" "$(call -H "Idempotency-Key: k1")" 'outcome_unknown'
expect "service ran once" "$(curl -s "http://$SERVICE/runs")" '1'
expect "request larger than the budget is refused" \
    "$(chat '{"model":"small","messages":[],"max_tokens":5000}')" 'budget_exhausted'
write_bundle 9000
submit 2
expect "request after a top-up" "$(chat '{"model":"small","messages":[],"max_tokens":5000}')" '"total_tokens":12'
for _ in $(seq 100); do
    output=$("$BIN/tamarackctl" budget onboarding-2026 --admin "$ADMIN")
    case $output in *'"charged":41,'*) break ;; esac
    sleep 0.1
done
expect "charged tokens" "$output" '"charged":41,'
expect "metrics" "$(curl -s "http://$ADMIN/metrics")" "tamarack_dispatches_total"
kill -TERM "${PIDS##* }"
for _ in $(seq 100); do
    grep -q daemon.stopped "$WORK/daemon.log" && break
    sleep 0.1
done
expect "graceful shutdown" "$(cat "$WORK/daemon.log")" 'event=daemon.stopped'
