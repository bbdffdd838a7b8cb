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

# start_instance NAME DOMAIN EXTRA_YAML: the address ends up in $work/NAME.address.
start_instance() {
    local name=$1 domain=$2 extra=${3:-}
    cat >"$work/$name.yaml" <<YAML
instance: { name: $name, failure_domain: $domain, region: west }
listen: { callers: "127.0.0.1:0", peers: "127.0.0.1:0" }
platform: { key_value_service: "$platform", instance_list: "$platform" }
peers: { key: $peer_key }
operators: { key_hashes: [$(sha256 "$operator_key")] }
traces: { file: $work/$name.spans }
$extra
YAML
    "$bin/guavaspan" serve --settings "$work/$name.yaml" 2>"$work/$name.log" &
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
