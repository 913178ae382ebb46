#!/usr/bin/env bash
# Demonstrates the system end to end on loopback: 3 instances with all roles, 2 more entries, 8 stand-in workers, a service, a
# batch job, a gang, and 10,000 requests of which 1,000 are non-repeatable. Midway it kills the control leader and one entry and
# drains one worker. Ends with "ledger reconcile: N requests, 0 differences"; exits with an error on any difference.
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
start_cluster "$folder"
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
killed_entry=e4
[ -n "$leader" ] || fail "no control leader before the kill"
kill -KILL "$(pid_of "$leader")" "$(pid_of "$killed_entry")"
echo "killed the control leader $leader and the entry $killed_entry"
wait_for accepted cli worker drain w8
drained_at=$(cut -d " " -f 1 /proc/uptime)
echo "drained worker w8; control leader: $(cli status | sed -n 's/^leader: //p')"
wait "$load" || fail "load: $(cat "$folder/load.txt")"
cat "$folder/load.txt"

check_executions "$folder"
awk -v drained="$drained_at" '$1 == "begin" { last = $5 / 1e9 } END { printf "last request on the drained worker: %.2f s after the drain was accepted (negative: before)\n", last - drained }' \
    "$folder/w8.executions"
cli ledger reconcile "$folder/partner.jsonl" --region "$region" --partner duftwerk
