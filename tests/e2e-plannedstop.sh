#!/usr/bin/env bash
# Graceful shutdown with real processes. Guards against a shutdown that aborts streams, keeps reserved
# tokens or accepts new requests, and against a forced shutdown that does not log the aborted requests.
set -euo pipefail
BIN=${1:?usage: e2e-plannedstop.sh BIN_FOLDER}
ENGINE_OPTIONS="--token-ms 250 --output-tokens 20"
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

request='{"model":"small","messages":[{"role":"user","content":"hello"}],"max_tokens":20'
start_fleet
DAEMON=${PIDS##* }
write_bundle 10000
submit 1

# count_dispatched: prints how many requests the daemon has sent to an engine.
count_dispatched() {
    grep -c event=request.dispatch "$WORK/daemon.log" || true
}

# start_requests: starts two streamed requests and a non-streamed one, then waits for the first token of
# both streams and until the daemon has sent all three to an engine. Without the latter, the daemon may
# stop before it has accepted the third.
start_requests() {
    dispatched=$(count_dispatched)
    chat "$request,\"stream\":true}" >"$WORK/stream1" &
    STREAM1=$!
    chat "$request,\"stream\":true}" >"$WORK/stream2" &
    STREAM2=$!
    chat "$request}" >"$WORK/plain" &
    PLAIN=$!
    for _ in $(seq 500); do
        grep -q w0 "$WORK/stream1" && grep -q w0 "$WORK/stream2" \
            && [ "$(count_dispatched)" -ge $((dispatched + 3)) ] && return 0
        sleep 0.02
    done
    echo "FAILED: the requests did not start" >&2
    exit 1
}

# wait_for_stop_begin: waits until the daemon has started its graceful shutdown.
wait_for_stop_begin() {
    for _ in $(seq 500); do
        grep -q event=daemon.stopping "$WORK/daemon.log" && return 0
        sleep 0.02
    done
    echo "FAILED: the daemon did not start its shutdown" >&2
    exit 1
}

# restart_daemon: starts the daemon again and waits until it has loaded the bundle.
restart_daemon() {
    start_process daemon "$BIN/tamarackd" --settings "$WORK/settings.json"
    DAEMON=${PIDS##* }
    for _ in $(seq 100); do
        "$BIN/tamarackctl" status --admin "$ADMIN" 2>/dev/null | grep -q '"bundle_version":1' && return 0
        sleep 0.05
    done
    echo "FAILED: the daemon did not load the bundle after its restart" >&2
    exit 1
}

start_requests
kill -TERM "$DAEMON"
wait_for_stop_begin
expect "new connections are refused" "$(chat "$request}" -w 'code=%{http_code}' || true)" 'code=000'
status=0
wait "$DAEMON" || status=$?
expect "exit status" "status=$status" 'status=0'
wait "$STREAM1" "$STREAM2" "$PLAIN"
for stream in stream1 stream2; do
    expect "$stream is complete" "$(tail -n 3 "$WORK/$stream")" 'data: [DONE]'
    expect "$stream has all tokens" "$(grep -c '"content"' "$WORK/$stream")" '20'
done
expect "non-streamed response is complete" "$(cat "$WORK/plain")" '"total_tokens":24'
expect "shutdown is logged" "$(cat "$WORK/daemon.log")" 'event=daemon.stopped'

restart_daemon
output=$("$BIN/tamarackctl" budget onboarding-2026 --admin "$ADMIN")
expect "grants are returned" "$output" '"outstanding":0'
expect "all requests are billed" "$output" '"charged":72'

start_requests
kill -TERM "$DAEMON"
wait_for_stop_begin
kill -TERM "$DAEMON"
status=0
wait "$DAEMON" || status=$?
expect "exit status after a forced shutdown" "status=$status" 'status=1'
expect "aborted requests are logged" "$(grep -c 'event=request.cut request=r' "$WORK/daemon.log")" '3'
expect "summary of a forced shutdown" "$(cat "$WORK/daemon.log")" 'event=daemon.stop_forced cause="second signal" requests_cut=3'

MORE_LIMITS=', "stopLimitMs": 300'
sed -i "s/\"flushIntervalMs\": 100/&$MORE_LIMITS/" "$WORK/settings.json"
restart_daemon
start_requests
kill -TERM "$DAEMON"
status=0
wait "$DAEMON" || status=$?
expect "exit status after the shutdown timeout" "status=$status" 'status=1'
expect "cause of a forced shutdown" "$(cat "$WORK/daemon.log")" 'cause="limits.stopLimitMs has passed"'

MORE=''
sed -i "s/, \"stopLimitMs\": 300/$MORE/" "$WORK/settings.json"
restart_daemon
start_ns=$(date +%s%N)
kill -TERM "$DAEMON"
wait "$DAEMON"
elapsed_ms=$((($(date +%s%N) - start_ns) / 1000000))
echo "idle daemon stopped in $elapsed_ms ms"
[ "$elapsed_ms" -lt 1500 ] || { echo "FAILED: an idle daemon took 1500 ms or more to stop" >&2; exit 1; }
