#pragma once

#include "turmericpier/decision/model.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

/// Fixed arrival lists for the quality figures of scheduling decisions.
namespace turmericpier::decision {

struct Range {
    double least = 0, most = 0;
};

struct Stream { // Jobs that arrive evenly from `from` to `to` seconds.
    const char* label;
    int count = 0;
    double from = 0, to = 0;
    uint32_t priority = 0;
    Range runSeconds, cores, gigabytes;
    uint32_t gang = 0; ///< Tasks of each job, with an accelerator each; 0 for batch jobs of one task.
    double declaredFactor = 1; ///< Declared sizes are the real ones times this.
};

struct Scenario {
    const char* name;
    ScoreKind score = ScoreKind::WaitingFirst;
    Resources capacity; ///< Of each worker.
    Resources hole; ///< Size of a gang task, to count the places left for one.
    Duration measured { 0 }; ///< Packing is the mean over this time from the start.
    size_t badWorkers = 0; ///< The first ones fail everything.
    std::vector<Stream> streams;
};

struct Arrival {
    double at = 0;
    const Stream* stream = nullptr;
    Job job;
    Resources real;
    double runSeconds = 0;
};

inline Resources amounts(double cores, double gigabytes, int64_t accelerators = 0)
{
    return { { std::llround(cores * 1'000) }, { std::llround(gigabytes * 1'024) }, { accelerators } };
}

inline std::vector<Arrival> arrivalsOf(const Scenario& scenario)
{
    std::mt19937_64 random(20'261'204);
    const auto pick = [&](const Range& r) { return r.least + (r.most - r.least) * double(random() % 1'000) / 1'000; };
    std::vector<Arrival> list;
    for (const Stream& stream : scenario.streams) {
        for (int i = 0; i < stream.count; ++i) {
            const double cores = pick(stream.cores), gigabytes = pick(stream.gigabytes), factor = stream.declaredFactor;
            const int64_t accelerators = stream.gang > 0;
            Arrival arrival { stream.from + (stream.to - stream.from) * i / stream.count, &stream, {},
                amounts(cores, gigabytes, accelerators), pick(stream.runSeconds) };
            // Jobs of one stream belong to ten families. Their run times are declared as they are.
            arrival.job = { JobId(stream.label + std::to_string(i)), TeamId("team"), PolicyId("p"),
                stream.gang > 0 ? JobKind::Gang : JobKind::Batch, std::max(1U, stream.gang),
                amounts(cores * factor, gigabytes * factor, accelerators), stream.priority,
                std::chrono::seconds(std::llround(arrival.runSeconds)), stream.label + std::to_string(i % 10) };
            list.push_back(std::move(arrival));
        }
    }
    std::stable_sort(list.begin(), list.end(), [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
    return list;
}

inline std::vector<Scenario> scenarios()
{
    using std::chrono::minutes;
    const Resources till = amounts(16, 32), archive = amounts(64, 256, 4);
    // Label, count, from and to, priority, run time, cores, GiB, tasks of a gang, declared factor.
    return {
        // Calculations keep the cell full; price checks arrive in three bursts of 20 a second.
        { "till-rush", ScoreKind::WaitingFirst, till, amounts(4, 8), minutes(20), 0,
            { { "stock", 1'500, 0, 1'200, 0, { 180, 720 }, { 2, 2 }, { 4, 4 } },
                { "till-a", 3'600, 300, 480, 500, { 1, 4 }, { 0.5, 0.5 }, { 0.25, 0.25 } },
                { "till-b", 3'600, 600, 780, 500, { 1, 4 }, { 0.5, 0.5 }, { 0.25, 0.25 } },
                { "till-c", 3'600, 900, 1'080, 500, { 1, 4 }, { 0.5, 0.5 }, { 0.25, 0.25 } } } },
        // All counters reconcile at once on a cell that is full of long calculations.
        { "closing-time", ScoreKind::WaitingFirst, till, amounts(4, 8), minutes(5), 0,
            { { "forecast", 400, 0, 10, 0, { 600, 1'200 }, { 2, 2 }, { 4, 4 } },
                { "report", 600, 30, 60, 10, { 60, 240 }, { 1, 1 }, { 2, 2 } },
                { "reconcile", 1'200, 60, 70, 300, { 20, 40 }, { 1, 1 }, { 2, 2 } },
                { "loyalty", 300, 60, 120, 600, { 5, 10 }, { 1, 1 }, { 1, 1 } } } },
        // A backlog of scans that take from an eighth to more than half of a worker, and gangs.
        { "archive", ScoreKind::PackingFirst, archive, amounts(16, 64, 1), minutes(60), 0,
            { { "scan", 1'500, 0, 1'800, 0, { 300, 1'500 }, { 8, 40 }, { 16, 160 } },
                { "gang", 40, 60, 1'800, 0, { 1'200, 2'400 }, { 16, 16 }, { 64, 64 }, 8 } } },
        // Real sizes take 82% of the cell; half of the jobs declare ten times as much, half a tenth.
        { "sizes-off", ScoreKind::Mixed, till, amounts(4, 8), minutes(20), 0,
            { { "declared-large", 1'500, 0, 1'200, 0, { 120, 360 }, { 0.2, 0.2 }, { 0.4, 0.4 }, 0, 10 },
                { "declared-small", 1'500, 0, 1'200, 0, { 120, 360 }, { 2, 2 }, { 4, 4 }, 0, 0.1 } } },
        // 16 of 50 workers fail every task after a second.
        { "third-failing", ScoreKind::WaitingFirst, till, amounts(4, 8), minutes(15), 16,
            { { "batch", 1'800, 0, 900, 0, { 60, 180 }, { 2, 2 }, { 3, 3 } } } },
    };
}

} // namespace turmericpier::decision
