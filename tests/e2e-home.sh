#!/usr/bin/env bash
# Two daemons of one availability zone. Guards against an entry daemon that does not reserve tokens at
# the home daemon, or that stops serving requests after the home daemon has died.
set -euo pipefail
BIN=${1:?usage: e2e-home.sh BIN_FOLDER}
# shellcheck source=examples/fleet.sh
. "$(dirname "$0")/../examples/fleet.sh"

fail() {
    echo "FAILED: $1" >&2
    tail -n 50 "$WORK"/daemon-*.log >&2
    exit 1
}

expect() {
    case $2 in
    *"$3"*) echo "ok: $1" ;;
    *) fail "$1: expected $3 in: $2" ;;
    esac
}

# wait_for_log NAME PATTERN: waits until a line of WORK/NAME.log matches PATTERN.
wait_for_log() {
    for _ in $(seq 200); do
        grep -q "$2" "$WORK/$1.log" && return 0
        sleep 0.1
    done
    fail "$1 did not log $2"
}

# start_daemon NUMBER: starts daemon-NUMBER on ports derived from NUMBER.
start_daemon() {
    base=$((BASE_PORT + 10 * $1))
    cat >"$WORK/settings-$1.json" <<JSON
{
  "host": "entry-$1",
  "zone": "brest-a",
  "callers": {"address": "127.0.0.1:$((base + 1))"},
  "admin": {"address": "127.0.0.1:$((base + 2))", "tokenSha256": "$("$BIN/tamarackctl" hash-key "$TAMARACK_TOKEN")"},
  "peers": {"address": "127.0.0.1:$((base + 3))", "heartbeatMs": 200, "leaseMs": 2000, "deadGraceMs": 1000},
  "store": {"endpoints": ["$STORE"]},
  "hostList": {"address": "$HOSTLIST", "intervalMs": 200},
  "operators": [{"id": "operator-1", "publicKey": "$public"}],
  "limits": {"flushIntervalMs": 100}
}
JSON
    start_process "daemon-$1" "$BIN/tamarackd" --settings "$WORK/settings-$1.json"
    pids[$1]=$!
    wait_for_url "http://127.0.0.1:$((base + 2))/v1/status"
}

# send_chat NUMBER: sends a chat completion request to daemon-NUMBER.
send_chat() {
    CALLERS=127.0.0.1:$((BASE_PORT + 10 * $1 + 1)) chat \
        '{"model":"small","messages":[{"role":"user","content":"hello"}],"max_tokens":32}'
}

pids=()
HOSTLIST=127.0.0.1:$((BASE_PORT + 6))
start_process hostlist "$BIN/fake-hostlist" --address "$HOSTLIST"
start_backends
start_daemon 1
start_daemon 2
write_bundle 5000
ADMIN=127.0.0.1:$((BASE_PORT + 12)) submit 1
for number in 1 2; do
    wait_for_log "daemon-$number" 'event=bundle.applied version=1'
    wait_for_log "daemon-$number" 'event=member.state .*state=live'
done
expect "response of daemon 1" "$(send_chat 1)" '"total_tokens":12'
expect "response of daemon 2" "$(send_chat 2)" '"total_tokens":12'
if grep -q event=home.reserved "$WORK/daemon-1.log"; then
    home=1 entry=2
else
    home=2 entry=1
fi
wait_for_log "daemon-$home" 'event=home.reserved'
wait_for_log "daemon-$home" 'event=home.settled .*charged=12'
if grep -q event=budget.draw "$WORK/daemon-$entry.log"; then
    fail "the entry daemon drew a grant while the home daemon was alive"
fi
echo "ok: daemon $entry reserved tokens at home daemon $home"

kill -KILL "${pids[$home]}"
expect "response while the home daemon is down" "$(send_chat "$entry")" '"total_tokens":12'
wait_for_log "daemon-$entry" 'event=home.bypassed'
wait_for_log "daemon-$entry" 'event=member.dead'
expect "response after the home daemon is declared dead" "$(send_chat "$entry")" '"total_tokens":12'
wait_for_log "daemon-$entry" 'event=request.billed '

# A restarted daemon is a new holder and serves as home daemon again.
start_daemon "$home"
wait_for_log "daemon-$home" 'event=bundle.applied version=1'
wait_for_log "daemon-$home" 'event=member.state .*state=live'
for _ in $(seq 50); do
    send_chat "$entry" >/dev/null
    grep -q event=home.reserved "$WORK/daemon-$home.log" && break
    sleep 0.1
done
wait_for_log "daemon-$home" 'event=home.reserved'
echo "ok: the restarted home daemon is used again"

curl -s -X PUT -d '[{"host":"entry-'"$home"'","address":"127.0.0.1","zone":"brest-a","state":"leaving"}]' \
    "http://$HOSTLIST/hosts" >/dev/null
wait_for_log "daemon-$entry" 'event=member.state .*state=leaving'
echo "ok: the entry daemon sees the home daemon leaving"
expect "response while the home daemon is leaving" "$(send_chat "$entry")" '"total_tokens":12'
