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
    double margin = 0.05; ///< Safety margin with many samples.
    double firstMargin = 0.5; ///< Added to it for one sample; divided by the number of samples.
    /// A task that uses just its limit may need more. Until enough samples below their limits are known, such samples
    /// are raised by this factor, so that later tasks get the room to show what they need. Not done any more once a
    /// task used more than its limit: limits do not hold tasks back then.
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
    Resources declared; ///< Of its job; zero if not known.
};

struct SizeEstimate {
    /// Never above the declared size unless a task needed more. Accelerators are always as declared: they are handed
    /// out whole.
    Resources size;
    Duration runTime { 0 }; ///< Exceeded by about one task in ten; zero if nothing is known.
    double margin = 0; ///< Safety margin contained in `size`.
    uint32_t sizeSamples = 0;
    uint32_t runTimeSamples = 0;
};

namespace detail {

    struct SampledAmount {
        int64_t peak = 0;
        int64_t declared = 0;
        bool capped = false; ///< The task used just its limit.
    };

    struct Sample {
        uint64_t taskHash = 0;
        SampledAmount cpu;
        SampledAmount memory;
    };

    template <typename T> struct LatestRing {
        std::vector<T> items;
        size_t next = 0;

        void add(const T& item, size_t capacity);
    };

    struct Family {
        LatestRing<Sample> usage; ///< Of tasks below their limits.
        LatestRing<Sample> capped; ///< Kept apart, or they would push out what tasks with room have shown.
        LatestRing<Duration> runTimes;
        std::list<std::string>::iterator recent;
    };

} // namespace detail

/// Learned sizes: either the amounts used, or the ratio of used to declared amounts if that varies less between the
/// tasks of the family, as it does when jobs of many sizes are declared well. Memory is bounded by the number of
/// families and the samples kept for each.
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
    using Sample = detail::Sample;
    using Family = detail::Family;

    Family& touch(const std::string& family);
    int64_t sizeOf(
        const std::vector<detail::SampledAmount>& samples, double quantile, double margin, int64_t declared) const;
    detail::SampledAmount amountOf(int64_t peak, int64_t limit, int64_t declared, bool& exceeded) const;

    SizeEstimatorOptions m_options;
    absl::btree_map<std::string, Family> m_families;
    std::list<std::string> m_recent; ///< Most recently updated first.
    bool m_cpuExceeded = false; ///< A task was seen above its limit, so that limits do not hold tasks back.
    bool m_memoryExceeded = false;
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

/// A worker whose tasks keep to their limits may be used up to its capacity. The shares below apply while a task is
/// above its limit, or will be within the horizon.
struct ReliefOptions {
    double memoryHighShare = 0.92; ///< Memory cannot be throttled, so that tasks are moved before the worker is full.
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
