#!/usr/bin/env bash
# Measures on loopback: the latency that an entry adds at 2,000 requests/s, the throughput of one entry without a rate limit, the
# memory of each process, the time until a configuration is in force on all entries, and the time from killing the control
# leader to the next accepted command.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/lib-cluster.sh

base_port=${BASE_PORT:-30000}
region=east
scripts/build.sh build > /dev/null || exit 1
folder=$(mktemp -d)
cleanup() {
    stop_all
    rm -rf "$folder"
}
trap cleanup EXIT
worker_flags="--service_time_ms 0"
start_cluster "$folder"
cli service put till --partner duftwerk > /dev/null || fail "service"
sleep 1
follower=""
leader=$(cli status | sed -n 's/^leader: //p')
for i in 4 5; do [ "e$i" != "$leader" ] && follower=$i; done
bench="build/entry-latency-bench --entry 127.0.0.1:$((base_port + follower)) --worker 127.0.0.1:$((base_port + 301))"
echo "at 2,000 requests/s through e$follower:"
timeout 120 $bench --rate 2000 --count 10000 --run_id a
cpu_before=$(awk '{ print $14 + $15 }' "/proc/$(pid_of "e$follower")/stat")
echo "without a rate limit:"
timeout 120 $bench --rate 0 --count 20000 --callers 32 --run_id b
cpu_after=$(awk '{ print $14 + $15 }' "/proc/$(pid_of "e$follower")/stat")
echo "processor time of e$follower for the 60,000 requests of that run: $(((cpu_after - cpu_before) * 10)) ms"
for i in 1 2 3 4 5; do
    echo "memory of e$i: $(awk '/VmRSS/ { print $2 }' "/proc/$(pid_of "e$i")/status") kB"
done
echo '{"round": 1}' > "$folder/config.json"
for version in 0 1 2; do
    cli config put "$folder/config.json" --expected_version "$version" > /dev/null || fail "config"
    start=$(date +%s%N)
    until [ "$(cli status --json | grep -o "\"e[1-5]\":$((version + 1))" | wc -l)" -eq 5 ]; do :; done
    echo "configuration $((version + 1)) reported in force on all 5 entries after $((($(date +%s%N) - start) / 1000000)) ms"
done
for round in 1 2 3; do
    leader=$(cli status | sed -n 's/^leader: //p')
    kill -KILL "$(pid_of "$leader")"
    start=$(date +%s%N)
    until cli team put "t$round" --cpu 1 --timeout_ms 5000 > /dev/null 2>&1; do :; done
    echo "leader $leader killed, next command accepted after $((($(date +%s%N) - start) / 1000000)) ms"
    start_instance "$folder" "$leader"
    sleep 3
done
