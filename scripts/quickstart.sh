#!/usr/bin/env bash
# Shows the whole path on loopback: 3 instances with all roles, 2 more entries, 8 stand-in workers, a service, a batch job,
# a gang, and 10,000 requests of which 1,000 are non-repeatable. Midway it kills the control leader and one entry and drains
# one worker. Ends with "ledger reconcile: N requests, 0 differences"; exits with an error on any difference.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/lib-cluster.sh

base_port=${BASE_PORT:-21000}
requests=${REQUESTS:-10000}
region=east
scripts/install-packages.sh || exit 1
scripts/build.sh build > /dev/null || exit 1

folder=$(mktemp -d)
cleanup() {
    stop_all
    [ -n "${KEEP_DATA:-}" ] && echo "data kept in $folder" || rm -rf "$folder"
}
trap cleanup EXIT
fail() {
    echo "quick start failed: $1" >&2
    tail -n 5 "$folder"/*.log >&2
    exit 1
}

entries=""
for i in 1 2 3 4 5; do entries="$entries${entries:+,}127.0.0.1:$((base_port + i))"; done
cli() { "$binary" "$@" --entries "$entries"; }

# wait_for TEXT COMMAND...: repeats the command until its output contains the text.
wait_for() {
    local text=$1 tries=0
    shift
    until "$@" 2>/dev/null | grep -q -- "$text"; do
        tries=$((tries + 1))
        [ "$tries" -gt 300 ] && fail "no \"$text\" from: $*"
        sleep 0.2
    done
}

data_centres=("" vienna graz vienna graz vienna)
for i in 1 2 3; do write_settings "$folder" "e$i" "$i" "${data_centres[$i]}" "$region" '"entry", "control", "ledger"'; done
for i in 4 5; do write_settings "$folder" "e$i" "$i" "${data_centres[$i]}" "$region" '"entry"'; done
for i in 1 2 3 4 5; do start_instance "$folder" "e$i"; done
for i in 1 2 3 4 5 6 7 8; do start_worker "$folder" "$i" "${data_centres[$((i % 2 + 1))]}" "$region"; done
wait_for "workers: 8" cli status
echo "started 5 instances and 8 workers; control leader: $(cli status | sed -n 's/^leader: //p')"

cli team put desk --cpu 64000 --memory_mib 131072 > /dev/null || fail "team"
cli policy put packing --score packing-first > /dev/null || fail "policy"
cli service put till --partner duftwerk > /dev/null || fail "service"
cli job submit archive --team desk --partner office --tasks 6 --cpu 1000 --memory_mib 512 --policy packing > /dev/null || fail "job"
cli gang submit match --team desk --partner office --tasks 4 --cpu 2000 --memory_mib 1024 > /dev/null || fail "gang"
wait_for "jobs_ended: 2" cli status
wait_for "services: 1" cli status
wait_for '"grants":' cli status --json

timeout 240 "$binary" request load --entries "$entries" --service till --partner duftwerk --region "$region" --count "$requests" --rate 1000 \
    --non_repeatable_every 10 --callers 32 --deadline_ms 5000 --record "$folder/partner.jsonl" > "$folder/load.txt" &
load=$!
sleep 3
leader=$(cli status | sed -n 's/^leader: //p')
victim=e4
[ -n "$leader" ] || fail "no control leader before the kill"
kill -KILL "$(pid_of "$leader")" "$(pid_of "$victim")"
echo "killed the control leader $leader and the entry $victim"
wait_for accepted cli worker drain w8
echo "drained worker w8; control leader: $(cli status | sed -n 's/^leader: //p')"
wait "$load" || fail "load: $(cat "$folder/load.txt")"
cat "$folder/load.txt"

executions=$(cat "$folder"/w*.executions | sort -n -k5 | awk -f scripts/check-executions.awk)
echo "$executions"
[ "$executions" = "non-repeatable requests run twice: 0, requests run in two places at once: 0" ] || fail "a request ran twice"
cli ledger reconcile "$folder/partner.jsonl" --region "$region" --partner duftwerk
