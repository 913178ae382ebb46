# Functions that start and stop a loopback cluster; sourced by other scripts. They signal only process ids that they started.

binary=build/turmericpier
standin=build/standin-worker

# write_settings FOLDER INSTANCE NUMBER DATA_CENTRE REGION ROLES: writes the settings file of one instance. The
# cluster has the instances e1 to e5, of which e1 to e3 hold the control and ledger logs. Ports are offsets from $base_port.
write_settings() {
    local folder=$1 instance=$2 number=$3 data_centre=$4 region=$5 roles=$6
    local peers="" i
    for i in 1 2 3 4 5; do
        peers="$peers${peers:+, }\"e$i\": \"127.0.0.1:$((base_port + 100 + i))\""
    done
    cat > "$folder/$instance.json" <<JSON
{
  "instance": "$instance", "data_centre": "$data_centre", "region": "$region", "roles": [$roles],
  "rpc_address": "127.0.0.1:$((base_port + number))",
  "peer_address": "127.0.0.1:$((base_port + 100 + number))",
  "admin_address": "127.0.0.1:$((base_port + 200 + number))",
  "data_folder": "$folder/$instance",
  "peers": { $peers },
  "control_voters": ["e1", "e2", "e3"],
  "ledger_voters": { "east": ["e1", "e2", "e3"] },
  "leases": { "grant_in_region_ms": 10000, "task_ms": 10000 }
}
JSON
}

# start_instance FOLDER INSTANCE: starts the process and stores its process id in pid_INSTANCE.
start_instance() {
    "$binary" run --settings "$1/$2.json" >> "$1/$2.log" 2>&1 &
    eval "pid_$2=$!"
}

# start_worker FOLDER NUMBER DATA_CENTRE REGION [FLAG...]: starts the stand-in worker wNUMBER.
start_worker() {
    local folder=$1 number=$2 data_centre=$3 region=$4
    shift 4
    "$standin" --id "w$number" --address "127.0.0.1:$((base_port + 300 + number))" --entries "$entries" \
        --data_centre "$data_centre" --region "$region" --rack "rack$(((number - 1) / 8))" --services till \
        --execution_log "$folder/w$number.executions" ${worker_flags:-} "$@" >> "$folder/w$number.log" 2>&1 &
    eval "pid_w$number=$!"
}

# pid_of NAME: prints the process id of an instance or worker.
pid_of() {
    eval "echo \${pid_$1:-}"
}

# stop_all: sends SIGTERM to every process, and SIGKILL to those that still run after 20 s.
stop_all() {
    local name pid waited=0
    for name in w1 w2 w3 w4 w5 w6 w7 w8 e5 e4 e3 e2 e1; do
        pid=$(pid_of "$name")
        [ -n "$pid" ] && kill -TERM "$pid" 2>/dev/null
    done
    while [ -n "$(jobs -rp)" ] && [ "$waited" -lt 200 ]; do
        sleep 0.1
        waited=$((waited + 1))
    done
    for pid in $(jobs -rp); do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
}

# start_cluster FOLDER: starts 5 instances and 8 workers, waits until all workers are attached and sets $entries.
start_cluster() {
    local folder=$1 i
    data_centres=("" vienna graz vienna graz vienna)
    entries=""
    for i in 1 2 3 4 5; do entries="$entries${entries:+,}127.0.0.1:$((base_port + i))"; done
    for i in 1 2 3; do write_settings "$folder" "e$i" "$i" "${data_centres[$i]}" "$region" '"entry", "control", "ledger"'; done
    for i in 4 5; do write_settings "$folder" "e$i" "$i" "${data_centres[$i]}" "$region" '"entry"'; done
    for i in 1 2 3 4 5; do start_instance "$folder" "e$i"; done
    for i in 1 2 3 4 5 6 7 8; do start_worker "$folder" "$i" "${data_centres[$((i % 2 + 1))]}" "$region"; done
    wait_for "workers: 8" cli status
}

# cli ARGUMENT...: runs the command line against the entries of this cluster.
cli() {
    "$binary" "$@" --entries "$entries"
}

# fail TEXT: prints the text and the last lines of each log, and exits with status 1.
fail() {
    echo "failed: $1" >&2
    tail -n 5 "$folder"/*.log >&2
    exit 1
}

# wait_for TEXT COMMAND...: repeats the command every 0.2 s until its output contains the text; fails after 300 tries.
wait_for() {
    local text=$1 tries=0
    shift
    until "$@" 2>/dev/null | grep -q -- "$text"; do
        tries=$((tries + 1))
        [ "$tries" -gt 300 ] && fail "no \"$text\" from: $*"
        sleep 0.2
    done
}

# check_executions FOLDER: fails if a non-repeatable request ran twice, or any request ran in two places at once.
check_executions() {
    local found
    found=$(cat "$1"/w*.executions | sort -n -k5 | awk -f scripts/check-executions.awk)
    echo "$found"
    [ "$found" = "non-repeatable requests run twice: 0, requests run in two places at once: 0" ] || fail "a request ran twice"
}
