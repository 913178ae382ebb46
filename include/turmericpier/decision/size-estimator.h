#pragma once

#include "turmericpier/decision/model.h"

#include <absl/container/btree_map.h>
#include <cstdint>
#include <list>
#include <string>
#include <vector>

/// Sizes and run times per job family, learned from lagged usage reports, and relief of workers that run out.
///
///     SizeEstimator sizes({});
///     sizes.recordUsage(job.family, { .task = id, .peak = peak, .limit = limit, .running = age });
///     Resources size = sizes.estimate(job.family, job.request, job.declaredRunTime).size; // to place by
namespace turmericpier::decision {

struct SizeEstimatorOptions {
    size_t maxFamilies = 4'096; ///< The family unused for longest is forgotten; 4,096 take about 8 MB.
    /// Reports of younger tasks are not used: usage lags and tasks grow into their size.
    Duration settleTime = std::chrono::seconds(30);
    /// Declared sizes and run times are taken to be off by this factor at most, in either direction.
    double maxFactor = 10;
    uint32_t minSamples = 3; ///< With fewer, sizes are never taken below the declared ones.
    double margin = 0.1; ///< Safety margin with many samples.
    double firstMargin = 0.5; ///< Added to it for one sample; shrinks with the square root of their number.
    /// A task that uses nearly all of its limit may need more; its sample is raised by this factor.
    double cappedFactor = 1.5;
    Duration unknownRunTime = std::chrono::hours(1); ///< Assumed when nothing is declared or learned.
};

/// Largest usage of one task so far.
struct UsageSample {
    TaskId task;
    Resources peak;
    Resources limit;
    Duration running { 0 }; ///< Since its start.
    bool finished = false; ///< The peak is final, however short the run.
};

struct SizeEstimate {
    Resources size; ///< Accelerators are always as declared: they are handed out whole.
    Duration runTime { 0 }; ///< Exceeded by about one task in ten; zero if nothing is known.
    double margin = 0; ///< Safety margin contained in `size`.
    uint32_t sizeSamples = 0;
    uint32_t runTimeSamples = 0;
};

/// Learned sizes. Memory is bounded by the number of families and the samples kept for each.
class SizeEstimator {
public:
    explicit SizeEstimator(SizeEstimatorOptions options);

    /// To be called with the reports of running tasks and at their end. A task counts as one sample however often it
    /// is reported.
    void recordUsage(const std::string& family, const UsageSample& sample);
    /// Run time of a task that finished.
    void recordRunTime(const std::string& family, Duration runTime);

    SizeEstimate estimate(const std::string& family, const Resources& declared, Duration declaredRunTime) const;
    /// Run time that is left to a task which has run for `elapsed`: the median of the samples that took longer. A task
    /// older than all samples is expected to run for as long again.
    Duration remainingRunTime(const std::string& family, Duration declaredRunTime, Duration elapsed) const;

    size_t families() const { return m_families.size(); }

private:
    struct Sample {
        uint64_t taskHash = 0;
        MilliCpu cpu;
        MemoryMib memory;
    };
    struct Family {
        std::vector<Sample> usage; ///< Ring of the latest tasks.
        std::vector<Duration> runTimes; ///< Ring of the latest run times.
        size_t nextUsage = 0;
        size_t nextRunTime = 0;
        std::list<std::string>::iterator recent;
    };

    Family& touch(const std::string& family);

    SizeEstimatorOptions m_options;
    absl::btree_map<std::string, Family> m_families;
    std::list<std::string> m_recent; ///< Most recently updated first.
};

/// A task on a worker, as last reported.
struct TaskLoad {
    TaskId task;
    Resources usage;
    Resources limit;
    MemoryMib memoryGrowthPerSecond; ///< Between the last two reports; negative when it shrinks.
    uint32_t priority = 0;
    bool canResume = false;
    bool movable = true; ///< False for a service at its floor or a task whose stop is under way.
};

struct ReliefOptions {
    /// Memory cannot be throttled, so that tasks are moved before the worker is full.
    double memoryHighShare = 0.92;
    double cpuHighShare = 0.97;
    /// Usage is projected this far: a report is up to 10 s old and a move takes about as long.
    Duration horizon = std::chrono::seconds(20);
};

struct Relief {
    enum class Kind {
        Throttle, ///< Limit processors to `cpu`.
        Move, ///< Checkpoint, stop and place again.
    };
    Kind kind = Kind::Throttle;
    TaskId task;
    MilliCpu cpu;
    std::string reason; ///< With the figures used.
};

/// Tasks to throttle or move so that the worker does not run out of memory or processors. Tasks above their own limit
/// come first, then lower priorities, then tasks that can resume. Empty if the worker has enough.
std::vector<Relief> planRelief(
    const Resources& capacity, const std::vector<TaskLoad>& tasks, const ReliefOptions& options = {});

} // namespace turmericpier::decision
