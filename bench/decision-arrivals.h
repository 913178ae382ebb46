#pragma once

#include "turmericpier/decision/model.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

/// Fixed arrival lists for decision-quality-bench.
namespace turmericpier::decision {

/// Closed range of values; samples are spread evenly over it.
struct Range {
    double minimum = 0, maximum = 0;
};

/// Jobs with the same label and properties that arrive at a constant rate between two points in time.
struct Stream {
    const char* label;
    int count = 0;
    double beginSeconds = 0, endSeconds = 0;
    uint32_t priority = 0;
    Range runSeconds, cores, gigabytes;
    uint32_t gangTasks = 0; ///< Number of tasks of each gang, with one accelerator each; 0 for batch jobs of one task.
    double declaredFactor = 1; ///< Ratio of declared to actual task sizes.
};

/// Workload and configuration of one run of the benchmark.
struct Scenario {
    const char* name;
    ScoreKind score = ScoreKind::WaitingFirst;
    Resources capacity; ///< Capacity of each worker.
    Resources gangTaskSize; ///< Size of a gang task, used to count how many more would fit.
    Duration packingPeriod { 0 }; ///< Packing is averaged over this time from the start.
    size_t failingWorkers = 0; ///< Number of workers, from the first one, on which every task fails.
    std::vector<Stream> streams;
};

/// Submission of one job with its actual resource usage and run time.
struct Arrival {
    double atSeconds = 0;
    const Stream* stream = nullptr;
    Job job;
    Resources actual;
    double runSeconds = 0;
};

/// Converts cores and GiB to resources.
inline Resources makeResources(double cores, double gigabytes, int64_t accelerators = 0)
{
    return { { std::llround(cores * 1'000) }, { std::llround(gigabytes * 1'024) }, { accelerators } };
}

/// Returns the arrivals of all streams of the scenario in order of time. The result is the same on every call.
inline std::vector<Arrival> arrivalsOf(const Scenario& scenario)
{
    std::mt19937_64 random(20'261'204);
    const auto pick
        = [&](const Range& r) { return r.minimum + (r.maximum - r.minimum) * double(random() % 1'000) / 1'000; };
    std::vector<Arrival> list;
    for (const Stream& stream : scenario.streams) {
        for (int i = 0; i < stream.count; ++i) {
            const double cores = pick(stream.cores), gigabytes = pick(stream.gigabytes), factor = stream.declaredFactor;
            const int64_t accelerators = stream.gangTasks > 0;
            Arrival arrival { stream.beginSeconds + (stream.endSeconds - stream.beginSeconds) * i / stream.count,
                &stream, {}, makeResources(cores, gigabytes, accelerators), pick(stream.runSeconds) };
            // The jobs of a stream belong to ten families and declare their actual run times.
            arrival.job = { JobId(stream.label + std::to_string(i)), TeamId("team"), PolicyId("p"),
                stream.gangTasks > 0 ? JobKind::Gang : JobKind::Batch, std::max(1U, stream.gangTasks),
                makeResources(cores * factor, gigabytes * factor, accelerators), stream.priority,
                std::chrono::seconds(std::llround(arrival.runSeconds)), stream.label + std::to_string(i % 10) };
            list.push_back(std::move(arrival));
        }
    }
    std::stable_sort(
        list.begin(), list.end(), [](const Arrival& a, const Arrival& b) { return a.atSeconds < b.atSeconds; });
    return list;
}

/// Returns all scenarios of the benchmark.
inline std::vector<Scenario> scenarios()
{
    using std::chrono::minutes;
    const Resources tillWorker = makeResources(16, 32), archiveWorker = makeResources(64, 256, 4);
    // Label, count, begin and end, priority, run time, cores, GiB, tasks of a gang, declared factor.
    return {
        // Long calculations keep the cell full, and price checks arrive in three bursts of 20 per second.
        { "till-rush", ScoreKind::WaitingFirst, tillWorker, makeResources(4, 8), minutes(20), 0,
            { { "stock", 1'500, 0, 1'200, 0, { 180, 720 }, { 2, 2 }, { 4, 4 } },
                { "till-a", 3'600, 300, 480, 500, { 1, 4 }, { 0.5, 0.5 }, { 0.25, 0.25 } },
                { "till-b", 3'600, 600, 780, 500, { 1, 4 }, { 0.5, 0.5 }, { 0.25, 0.25 } },
                { "till-c", 3'600, 900, 1'080, 500, { 1, 4 }, { 0.5, 0.5 }, { 0.25, 0.25 } } } },
        // Many short reconciliation jobs arrive at once in a cell that is full of long calculations.
        { "closing-time", ScoreKind::WaitingFirst, tillWorker, makeResources(4, 8), minutes(5), 0,
            { { "forecast", 400, 0, 10, 0, { 600, 1'200 }, { 2, 2 }, { 4, 4 } },
                { "report", 600, 30, 60, 10, { 60, 240 }, { 1, 1 }, { 2, 2 } },
                { "reconcile", 1'200, 60, 70, 300, { 20, 40 }, { 1, 1 }, { 2, 2 } },
                { "loyalty", 300, 60, 120, 600, { 5, 10 }, { 1, 1 }, { 1, 1 } } } },
        // A backlog of scans that each take from an eighth to more than half of a worker, together with gangs.
        { "archive", ScoreKind::PackingFirst, archiveWorker, makeResources(16, 64, 1), minutes(60), 0,
            { { "scan", 1'500, 0, 1'800, 0, { 300, 1'500 }, { 8, 40 }, { 16, 160 } },
                { "gang", 40, 60, 1'800, 0, { 1'200, 2'400 }, { 16, 16 }, { 64, 64 }, 8 } } },
        // The actual usage is 82% of the cell. Half of the jobs declare ten times their size, the others a tenth.
        { "sizes-off", ScoreKind::Mixed, tillWorker, makeResources(4, 8), minutes(20), 0,
            { { "declared-large", 1'500, 0, 1'200, 0, { 120, 360 }, { 0.2, 0.2 }, { 0.4, 0.4 }, 0, 10 },
                { "declared-small", 1'500, 0, 1'200, 0, { 120, 360 }, { 2, 2 }, { 4, 4 }, 0, 0.1 } } },
        // Every task fails after one second on 16 of the 50 workers.
        { "third-failing", ScoreKind::WaitingFirst, tillWorker, makeResources(4, 8), minutes(15), 16,
            { { "batch", 1'800, 0, 900, 0, { 60, 180 }, { 2, 2 }, { 3, 3 } } } },
    };
}

} // namespace turmericpier::decision
