// Measures the time and memory of ledger operations by number of records.
#include "log.pb.h"
#include "turmericpier/ledger/state.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>
#include <filesystem>
#include <malloc.h>
#include <unistd.h>

using namespace turmericpier;
using namespace turmericpier::ledger;

namespace {

constexpr int itemsPerBatch = 32;

/// Adds a claim or an outcome of request `number`, whose id has the length of a UUID.
void addItem(log::LedgerBatch& batch, uint64_t number, bool isClaim)
{
    std::string id = std::to_string(number);
    id.insert(0, 36 - id.size(), '0');
    const std::string worker = "worker-" + std::to_string(number % 8'500);
    if (isClaim) {
        auto& claim = *batch.add_items()->mutable_claim();
        claim.set_key(requestKey("duftwerk", "east", id));
        claim.set_entry("entry-" + std::to_string(number % 7));
        claim.set_incarnation(3);
        claim.set_worker(worker);
        claim.set_attempt(1);
        claim.set_service("refill-price");
        return;
    }
    auto& record = *batch.add_items()->mutable_outcome();
    record.set_partner("duftwerk");
    record.set_home_region("east");
    record.set_request_id(id);
    record.set_service("refill-price");
    record.set_outcome(rpc::RAN);
    record.set_worker(worker);
    record.set_attempts(1);
}

/// Applies outcomes of `count` requests, with a claim before the outcome of every fourth.
void fill(LedgerState& state, uint64_t count)
{
    uint64_t index = 0;
    for (uint64_t number = 0; number < count;) {
        log::LedgerBatch claims;
        log::LedgerBatch outcomes;
        for (int i = 0; i < itemsPerBatch && number < count; ++i, ++number) {
            if (number % 4 == 0)
                addItem(claims, number, true);
            addItem(outcomes, number, false);
        }
        state.apply(Index { ++index }, claims);
        state.apply(Index { ++index }, outcomes);
    }
}

size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Measures the time to apply an outcome at the given number of records, and the memory per record.
void applyOutcomes(benchmark::State& bench)
{
    const auto records = static_cast<uint64_t>(bench.range(0));
    const auto before = heapBytes();
    LedgerState state;
    fill(state, records);
    const auto after = heapBytes();
    uint64_t number = records;
    uint64_t index = records * 2;
    for (auto _ : bench) {
        bench.PauseTiming();
        log::LedgerBatch batch;
        for (int i = 0; i < itemsPerBatch; ++i)
            addItem(batch, number++, false);
        bench.ResumeTiming();
        benchmark::DoNotOptimize(state.apply(Index { ++index }, batch));
    }
    bench.SetItemsProcessed(static_cast<int64_t>(bench.iterations()) * itemsPerBatch);
    bench.counters["bytes_per_record"] = static_cast<double>(after - before) / static_cast<double>(records);
}
BENCHMARK(applyOutcomes)->Arg(10'000)->Arg(100'000)->Arg(1'000'000)->Iterations(2'000);

/// Measures memory, the slowest batch of 32 outcomes and the snapshot with older records in segment files.
void applyWithSegments(benchmark::State& bench)
{
    const auto records = static_cast<uint64_t>(bench.range(0));
    const auto folder = std::filesystem::temp_directory_path() / ("ledger-bench-" + std::to_string(::getpid()));
    for (auto _ : bench) {
        std::filesystem::remove_all(folder);
        const auto before = heapBytes();
        LedgerState state({ .folder = folder });
        uint64_t index = 0;
        double slowest = 0;
        double total = 0;
        for (uint64_t number = 0; number < records;) {
            log::LedgerBatch batch;
            for (int i = 0; i < itemsPerBatch; ++i)
                addItem(batch, number++, false);
            const auto start = std::chrono::steady_clock::now();
            state.apply(Index { ++index }, batch);
            const std::chrono::duration<double> spent = std::chrono::steady_clock::now() - start;
            slowest = std::max(slowest, spent.count());
            total += spent.count();
        }
        bench.counters["heap_mb"] = static_cast<double>(heapBytes() - before) / 1e6;
        bench.counters["batch_us"] = total * 1e6 * itemsPerBatch / static_cast<double>(records);
        bench.counters["slowest_batch_ms"] = slowest * 1e3;
        const auto start = std::chrono::steady_clock::now();
        bench.counters["snapshot_mb"] = static_cast<double>(state.snapshot().size()) / 1e6;
        const std::chrono::duration<double> spent = std::chrono::steady_clock::now() - start;
        bench.counters["snapshot_ms"] = spent.count() * 1e3;
        std::filesystem::remove_all(folder);
    }
}
BENCHMARK(applyWithSegments)->Arg(100'000)->Arg(1'000'000)->Arg(5'000'000)->Iterations(1)->Unit(benchmark::kSecond);

/// Measures snapshot and restore with the given number of records.
void snapshotAndRestore(benchmark::State& bench)
{
    LedgerState state;
    fill(state, static_cast<uint64_t>(bench.range(0)));
    size_t size = 0;
    for (auto _ : bench) {
        const auto data = state.snapshot();
        size = data.size();
        LedgerState other;
        if (!other.restore(data).ok())
            bench.SkipWithError("restore failed");
    }
    bench.counters["snapshot_bytes"] = static_cast<double>(size);
}
BENCHMARK(snapshotAndRestore)->Arg(10'000)->Arg(100'000)->Arg(1'000'000)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
