# Shell functions that start a small fleet on the loopback interface: a fake store, a fake engine, a fake
# service and one daemon, each in its own process. Sourced by run-demo.sh and the end-to-end tests.
# BIN must name the folder with the programs. Sets WORK, CALLERS, ADMIN, STORE and TAMARACK_TOKEN.

# Ports stay below 32768, the start of the range of ephemeral ports. A program cannot listen on a port
# that an outgoing connection of another test uses.
# PORT_SLOT, 0 to 7, gives concurrent tests different ports. With ports derived from the process id
# alone, two concurrent tests got the same ones.
BASE_PORT=${BASE_PORT:-$((20000 + (($$ % 31) * 8 + ${PORT_SLOT:-7}) * 50))}
STORE=127.0.0.1:$((BASE_PORT + 1))
ENGINE=127.0.0.1:$((BASE_PORT + 2))
SERVICE=127.0.0.1:$((BASE_PORT + 3))
CALLERS=127.0.0.1:$((BASE_PORT + 4))
ADMIN=127.0.0.1:$((BASE_PORT + 5))
WORK=$(mktemp -d)
PIDS=""
export TAMARACK_TOKEN=demo-operator-token

stop_fleet() {
    # shellcheck disable=SC2086
    [ -z "$PIDS" ] || kill -KILL $PIDS 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$WORK"
}
trap stop_fleet EXIT

# start_process NAME COMMAND...: runs a program in the background. Its output goes to WORK/NAME.log.
start_process() {
    name=$1
    shift
    "$@" >"$WORK/$name.log" 2>&1 &
    PIDS="$PIDS $!"
}

# wait_for_url URL [curl options]: waits until a GET request for the URL gets a response.
wait_for_url() {
    url=$1
    shift
    curl -s -o /dev/null --retry 60 --retry-delay 1 --retry-all-errors "$@" "$url"
}

# start_backends: starts all processes except daemons and generates the operator's key pair. Sets
# public to the public key.
start_backends() {
    start_process store "$BIN/fake-store" --address "$STORE"
    # shellcheck disable=SC2086
    start_process engine "$BIN/fake-engine" --address "$ENGINE" ${ENGINE_OPTIONS:-}
    start_process service "$BIN/fake-service" --address "$SERVICE"
    "$BIN/tamarackctl" keygen >"$WORK/keys"
    sed -n 's/^private //p' "$WORK/keys" >"$WORK/operator.key"
    public=$(sed -n 's/^public //p' "$WORK/keys")
}

# start_fleet: starts the backends and one daemon.
start_fleet() {
    start_backends
    cat >"$WORK/settings.json" <<JSON
{
  "host": "entry-1",
  "zone": "brest-a",
  "callers": {"address": "$CALLERS"},
  "admin": {"address": "$ADMIN", "tokenSha256": "$("$BIN/tamarackctl" hash-key "$TAMARACK_TOKEN")"},
  "store": {"endpoints": ["$STORE"]},
  "operators": [{"id": "operator-1", "publicKey": "$public"}],
  "limits": {"flushIntervalMs": 100${MORE_LIMITS:-}}
}
JSON
    "$BIN/tamarackd" --settings "$WORK/settings.json" --check-settings
    start_process daemon "$BIN/tamarackd" --settings "$WORK/settings.json"
    wait_for_url "http://$ADMIN/v1/status"
}

# write_bundle FUNDED: writes WORK/bundle.json with a budget of FUNDED tokens.
write_bundle() {
    cat >"$WORK/bundle.json" <<JSON
{
  "accounts": [{
    "id": "onboarding",
    "keys": [{"sha256": "$("$BIN/tamarackctl" hash-key demo-caller-key)", "budget": "onboarding-2026"}]
  }],
  "budgets": [{"id": "onboarding-2026", "account": "onboarding", "funded": $1}],
  "upstreams": [
    {"id": "engine-1", "zone": "brest-a", "address": "$ENGINE", "models": ["small"]},
    {"id": "accounts-1", "zone": "brest-a", "address": "$SERVICE", "service": "accounts"}
  ],
  "routes": [{"service": "accounts", "idempotent": false, "price": 5}]
}
JSON
}

# submit VERSION: signs and submits WORK/bundle.json, then waits until the daemon has applied it.
submit() {
    "$BIN/tamarackctl" bundle submit --admin "$ADMIN" --version "$1" --operator operator-1 \
        --key "$WORK/operator.key" "$WORK/bundle.json"
    for _ in $(seq 100); do
        "$BIN/tamarackctl" status --admin "$ADMIN" | grep -q "\"bundle_version\":$1" && return 0
        sleep 0.1
    done
    echo "the daemon did not apply bundle version $1 in time" >&2
    return 1
}

# chat BODY [curl options]: sends a chat completion request with the API key CALLER_KEY.
CALLER_KEY=demo-caller-key
chat() {
    body=$1
    shift
    curl -s -N -H "Authorization: Bearer $CALLER_KEY" -H "Content-Type: application/json" \
        "$@" -d "$body" "http://$CALLERS/v1/chat/completions"
}
