# Functions that start and stop a small fleet on loopback: the platform stand-in, upstreams and entry instances. To be sourced.
# Every process has its own address in 127.0.0.0/8, so that all can use the same ports.

bin=build/release
run_dir=$(mktemp -d)
pids=""
store_address=127.0.9.1:9000

fleet_cleanup() {
    for pid in $pids; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -9 "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$run_dir"
}
trap fleet_cleanup EXIT
trap 'exit 130' INT TERM

# start NAME PROGRAM [ARGUMENT]...: starts a program in the background and writes its pid to $run_dir/NAME.pid.
start() {
    name=$1
    shift
    "$@" >"$run_dir/$name.out" 2>"$run_dir/$name.log" &
    echo $! >"$run_dir/$name.pid"
    pids="$pids $!"
}

pid_of() {
    cat "$run_dir/$1.pid"
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds; fails after about SECONDS.
wait_for() {
    tries=$(($1 * 20))
    shift
    while ! "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        if [ "$tries" -le 0 ]; then
            echo "timed out waiting for: $*" >&2
            return 1
        fi
        sleep 0.05
    done
}

start_platform() {
    start platform "$bin/filbertmount-standin-platform" --address "$store_address"
    wait_for 10 curl -sf "http://$store_address/counters"
}

# start_upstreams SERVICE NETWORK COUNT SLOTS MEAN_MS ZONES: starts upstreams at 127.0.NETWORK.N:8000 and registers them with
# the platform.
start_upstreams() {
    service=$1
    network=$2
    rows=""
    index=1
    while [ "$index" -le "$3" ]; do
        address=127.0.$network.$index
        start "$service-$index" "$bin/filbertmount-standin-upstream" --id "$service-$index" --address "$address" --port 8000 \
            --slots "$4" --service-ms "$5" --seed "$index" --execution-log "$run_dir/$service-$index.executions"
        zone=zone-$((index % $6 + 1))
        rows="$rows{\"id\":\"$service-$index\",\"address\":\"$address:8000\",\"zone\":\"$zone\",\"state\":\"live\",\"incarnation\":1},"
        index=$((index + 1))
    done
    curl -sf -X PUT --data "{\"instances\":[${rows%,}]}" "http://$store_address/instances?service=$service" >/dev/null
}

# token_hash TEAM: prints the SHA-256 of the team's token, which is "token-of-TEAM".
token_hash() {
    printf %s "token-of-$1" | sha256sum | cut -d' ' -f1
}

entry_settings() {
    index=$1
    cat <<SETTINGS
drain_grace = "1s"

[instance]
id = "entry-$index"
region = "demo"
zone = "zone-$((index % 4 + 1))"

[addresses]
callers = "127.0.1.$index:8080"
administration = "127.0.1.$index:7001"
peers = "127.0.1.$index:7002"

[peers]
addresses = ["127.0.1.1:7002", "127.0.1.2:7002"]

[store]
address = "$store_address"

[[teams]]
name = "spieku-darbnica"
tokens_sha256 = ["$(token_hash spieku-darbnica)"]

[[teams]]
name = "kaya"
tokens_sha256 = ["$(token_hash kaya)"]
SETTINGS
}

start_entry() {
    entry_settings "$1" >"$run_dir/entry-$1.toml"
    start "entry-$1" "$bin/filbertmountd" --settings "$run_dir/entry-$1.toml"
}

start_entries() {
    index=1
    while [ "$index" -le "$1" ]; do
        start_entry "$index"
        index=$((index + 1))
    done
}

wait_ready() {
    wait_for 15 curl -sf "http://127.0.1.$1:7001/readyz"
}

# control TEAM ARGUMENT...: runs filbertmountctl with the token of a team against entry instance 1.
control() {
    team=$1
    shift
    FILBERTMOUNT_TOKEN=token-of-$team "$bin/filbertmountctl" --server 127.0.1.1:7001 "$@"
}

# start_load SERVICE RATE SECONDS ORDER_PATH READ_PATH ENTRIES [OPTION]...: starts the load generator in the background.
start_load() {
    service=$1
    rate=$2
    seconds=$3
    order_path=$4
    read_path=$5
    entries=$6
    shift 6
    targets=""
    for index in $entries; do
        targets="$targets --entry 127.0.1.$index:8080"
    done
    logs=""
    for file in "$run_dir/$service"-*.pid; do
        name=$(basename "$file" .pid)
        logs="$logs --execution-log $run_dir/$name.executions"
    done
    # shellcheck disable=SC2086
    start "load-$service" "$bin/filbertmount-standin-loadgen" --service "$service" --rate "$rate" --seconds "$seconds" \
        --order-path "$order_path" --read-path "$read_path" $targets $logs "$@"
}
