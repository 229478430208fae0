#!/usr/bin/env bash
# Rolls out bundles to two daemons with tamarackctl. Guards against a rollout that reports success
# before all daemons have the version, hides a daemon that lacks it, or accepts a version number that
# is already taken.
set -euo pipefail
BIN=${1:?usage: e2e-rollout.sh BIN_FOLDER}
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
FIRST=${PIDS##* }
ADMIN2=127.0.0.1:$((BASE_PORT + 7))
sed "s/entry-1/entry-2/; s/$CALLERS/127.0.0.1:$((BASE_PORT + 6))/; s/$ADMIN/$ADMIN2/" \
    "$WORK/settings.json" >"$WORK/settings2.json"
start_process daemon2 "$BIN/tamarackd" --settings "$WORK/settings2.json"
SECOND=${PIDS##* }
wait_for_url "http://$ADMIN2/v1/status"

# rollout VERSION [options]: rolls out WORK/bundle.json to both daemons. Prints output and exit status.
rollout() {
    version=$1
    shift
    status=0
    "$BIN/tamarackctl" bundle rollout "$WORK/bundle.json" --admin "$ADMIN" --admin "$ADMIN2" \
        --version "$version" --operator operator-1 --key "$WORK/operator.key" "$@" 2>&1 || status=$?
    echo "status=$status"
}

write_bundle 1000
output=$(rollout 1)
expect "both daemons have the version" "$output" 'status=0'
expect "table lists the second host" "$output" 'entry-2'
write_bundle 2000
expect "JSON output" "$(rollout 2 --json)" '"reached":true'
write_bundle 3000
output=$(rollout 2)
expect "version number already taken" "$output" 'version 2 by operator operator-1 is accepted'
expect "exit code of a refusal" "$output" 'status=1'
kill -TERM "$SECOND"
wait "$SECOND"
output=$(rollout 3 --timeout-ms 2000)
expect "unreachable daemon is reported" "$output" 'cannot be reached'
expect "exit code of an incomplete rollout" "$output" 'status=4'
"$BIN/tamarackctl" bundle sign "$WORK/bundle.json" --version 4 --operator operator-1 \
    --key "$WORK/operator.key" --out "$WORK/signed.json"
expect "bundle signed in advance" \
    "$("$BIN/tamarackctl" bundle submit "$WORK/signed.json" --admin "$ADMIN")" '"version":4'
expect "bundle history" "$("$BIN/tamarackctl" bundle history --admin "$ADMIN")" '"version":1'

sed -i "s/\"tokenSha256\": \"[0-9a-f]*\"/\"tokensSha256\": [\"$("$BIN/tamarackctl" hash-key next-token)\"]/" \
    "$WORK/settings.json"
kill -HUP "$FIRST"
for _ in $(seq 100); do
    grep -q settings.reloaded "$WORK/daemon.log" && break
    sleep 0.05
done
expect "new token is accepted" "$(TAMARACK_TOKEN=next-token "$BIN/tamarackctl" status --admin "$ADMIN")" 'entry-1'
expect "old token is rejected" "$("$BIN/tamarackctl" status --admin "$ADMIN" 2>&1 || true)" 'token is missing or wrong'
echo '{' >"$WORK/settings.json"
kill -HUP "$FIRST"
for _ in $(seq 100); do
    grep -q settings.reload_failed "$WORK/daemon.log" && break
    sleep 0.05
done
expect "invalid settings are not applied" \
    "$(TAMARACK_TOKEN=next-token "$BIN/tamarackctl" status --admin "$ADMIN")" 'entry-1'
