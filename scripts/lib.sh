# Shared by the scripts that start processes: stand-ins, instances, and their end.

bin=build/release/src
caller_key=demo-caller-key
operator_key=demo-operator-key
peer_key=demo-peer-key-0123456789
work=$(mktemp -d)
pids=()

sha256() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

stop_all() {
    local pid
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do
        for _ in $(seq 50); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
        kill -9 "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}

# await SECONDS COMMAND...: repeats the command until it succeeds.
await() {
    local tries=$(($1 * 20))
    shift
    for _ in $(seq "$tries"); do "$@" >/dev/null 2>&1 && return 0; sleep 0.05; done
    echo "gave up waiting for: $*" >&2
    return 1
}

# start_standins NAME ARGUMENTS...: addresses end up in $work/NAME.out.
start_standins() {
    local name=$1
    shift
    "$bin/guavaspan-standins" "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
    await 10 grep -q '^ready' "$work/$name.out"
}

address_of() { awk -v name="$2" '$1 == name { print $2 }' "$work/$1.out"; }

# write_settings NAME DOMAIN CALLERS PEERS EXTRA_YAML
write_settings() {
    cat >"$work/$1.yaml" <<YAML
instance: { name: $1, failure_domain: $2, region: west }
listen: { callers: "$3", peers: "$4" }
platform: { key_value_service: "$platform", instance_list: "$platform" }
peers: { key: $peer_key }
operators: { key_hashes: [$(sha256 "$operator_key")] }
traces: { file: $work/$1.spans }
${5:-}
YAML
}

# start_instance NAME DOMAIN EXTRA_YAML: the address ends up in $work/NAME.address.
start_instance() {
    local name=$1
    write_settings "$name" "$2" 127.0.0.1:0 127.0.0.1:0 "${3:-}"
    "$bin/guavaspan" serve --settings "$work/$name.yaml" >"$work/$name.log" 2>&1 &
    pids+=($!)
    last_pid=$!
    await 10 grep -q '"listening"' "$work/$name.log"
    sed -n 's/.*"listening".*"callers":"\([^"]*\)".*/\1/p' "$work/$name.log" | head -n 1 >"$work/$name.address"
    sed -n 's/.*"listening".*"peers":"\([^"]*\)".*/\1/p' "$work/$name.log" | head -n 1 >"$work/$name.peers"
}

# publish_list NAMES...: puts the instances on the platform's list.
publish_list() {
    local items="" name
    for name in "$@"; do
        items+="${items:+,}{\"name\":\"$name\",\"peers\":\"$(cat "$work/$name.peers")\",\"callers\":\"$(cat "$work/$name.address")\",\"state\":\"live\"}"
    done
    curl -sf "http://$platform/instances" -d "{\"instances\":[$items],\"targets\":[]}" >/dev/null
}

guavaspan() { GUAVASPAN_KEY=$operator_key "$bin/guavaspan" "$@"; }

# supervise NAME COMMAND...: runs the command again whenever it ends; its id is in $work/NAME.pid.
supervise() {
    local name=$1
    shift
    (
        trap 'kill "$child" 2>/dev/null; exit 0' TERM
        while true; do
            "$@" >>"$work/$name.log" 2>&1 &
            child=$!
            echo "$child" >"$work/$name.pid"
            wait "$child" 2>/dev/null || true
            sleep 0.5
        done
    ) 2>/dev/null &
    pids+=($!)
}

# free_port: a port that the kernel just chose; it is used again at once by the same process after a restart.
free_port() { "$bin/guavaspan-standins" --probe-port; }

# supervise_instance NAME DOMAIN EXTRA_YAML: as start_instance, on a port that survives restarts.
supervise_instance() {
    local name=$1 callers peers
    callers=$(free_port)
    peers=$(free_port)
    write_settings "$name" "$2" "127.0.0.1:$callers" "127.0.0.1:$peers" "${3:-}"
    echo "127.0.0.1:$callers" >"$work/$name.address"
    echo "127.0.0.1:$peers" >"$work/$name.peers"
    supervise "$name" "$bin/guavaspan" serve --settings "$work/$name.yaml"
    await 10 curl -sf "http://127.0.0.1:$callers/healthz"
}
