#!/usr/bin/env bash
# Restarts every instance and every worker once, in turn, by SIGTERM while callers send requests. A planned stop must
# interrupt no request: every execution that began has an answer, and the ledgers agree. Exits with an error otherwise.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/lib-cluster.sh

base_port=${BASE_PORT:-26000}
region=east
scripts/build.sh build > /dev/null || exit 1
folder=$(mktemp -d)
cleanup() {
    stop_all
    [ -n "${KEEP_DATA:-}" ] && echo "data kept in $folder" || rm -rf "$folder"
}
trap cleanup EXIT
start_cluster "$folder"
cli service put till --partner duftwerk > /dev/null || fail "service"
sleep 2 # Entries refuse requests for the service as unknown until they have received it.
timeout 300 "$binary" request load --entries "$entries" --service till --partner duftwerk --region "$region" \
    --count "${REQUESTS:-15000}" --rate 500 --callers 16 --deadline_ms 5000 --record "$folder/partner.jsonl" > "$folder/load.txt" &
load=$!
for i in 1 2 3 4 5; do
    sleep 1
    kill -TERM "$(pid_of "e$i")"
    wait "$(pid_of "e$i")" || fail "e$i did not stop cleanly"
    start_instance "$folder" "e$i"
    wait_for ok "$binary" dump readyz --admin "127.0.0.1:$((base_port + 200 + i))"
done
for i in 1 2 3 4 5 6 7 8; do
    kill -TERM "$(pid_of "w$i")"
    wait "$(pid_of "w$i")" || fail "w$i did not stop cleanly"
    start_worker "$folder" "$i" "${data_centres[$((i % 2 + 1))]}" "$region"
done
echo "restarted 5 instances and 8 workers"
wait "$load" || fail "load: $(cat "$folder/load.txt")"
cat "$folder/load.txt"
check_executions "$folder"
executions=$(cat "$folder"/w*.executions | grep -c '^begin')
answered=$(sed -n 's/^answered: //p' "$folder/load.txt")
echo "executions: $executions, answered: $answered"
[ "$executions" -eq "$answered" ] || fail "a planned stop interrupted requests in flight"
cli ledger export --region "$region" --partner duftwerk | grep -v '"outcome":"RAN"' | grep -o '"reason":"[A-Z_]*"' | sort | uniq -c
cli ledger reconcile "$folder/partner.jsonl" --region "$region" --partner duftwerk
