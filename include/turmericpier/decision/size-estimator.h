#pragma once

#include "turmericpier/decision/model.h"

#include <absl/container/btree_map.h>
#include <cstdint>
#include <list>
#include <string>
#include <vector>

/// Learns task sizes and run times per job family from delayed usage reports, and plans relief for overloaded workers.
///
///     SizeEstimator sizes({});
///     sizes.recordUsage(job.family, { .task = id, .peak = peak, .limit = limit, .running = age });
///     Resources size = sizes.estimate(job.family, job.request, job.declaredRunTime).size; // used for placement
namespace turmericpier::decision {

struct SizeEstimatorOptions {
    size_t maxFamilies = 4'096; ///< The least recently updated family is evicted; 4,096 take about 8 MB.
    /// Reports of tasks that have run for less time are ignored: usage is reported late and grows after the start.
    Duration settleTime = std::chrono::seconds(30);
    /// Learned sizes and run times differ from declared ones by at most this factor, in either direction.
    double maxFactor = 10;
    uint32_t minSamples = 3; ///< With fewer samples, estimates are never below the declared values.
    double margin = 0.05; ///< Safety margin with many samples, as a fraction.
    double firstSampleMargin = 0.5; ///< Divided by the number of samples and added to `margin`.
    /// A task whose usage is at its limit may need more. Until there are `minSamples` samples below their limits,
    /// samples at the limit are raised by this factor, so that later tasks get enough room to show what they need. This
    /// ends once a task has used more than its limit, because limits are then evidently not enforced.
    double cappedFactor = 1.5;
    Duration defaultRunTime = std::chrono::hours(1); ///< Run time assumed when none is declared or learned.
};

/// Peak usage of one task so far.
struct UsageSample {
    TaskId task;
    Resources peak;
    Resources limit;
    Duration running { 0 }; ///< Time since the task started.
    bool finished = false; ///< The task has finished; its peak counts however short the run.
    Resources declared; ///< Declared size of the job's tasks; zero if unknown.
};

/// Estimated size and run time of the tasks of a family.
struct SizeEstimate {
    /// Above the declared size only if a task needed more. Accelerators are always as declared, since they are
    /// allocated whole.
    Resources size;
    Duration runTime { 0 }; ///< Exceeded by about one task in ten; zero if none is declared or learned.
    double margin = 0; ///< Safety margin included in `size`, as a fraction.
    uint32_t sizeSamples = 0;
    uint32_t runTimeSamples = 0;
};

namespace detail {

    /// Peak usage of one resource by one task.
    struct SampledAmount {
        int64_t peak = 0;
        int64_t declared = 0;
        bool capped = false; ///< The usage was at the limit, so that the task may need more.
    };

    /// Usage sample of one task.
    struct Sample {
        uint64_t taskHash = 0;
        SampledAmount cpu;
        SampledAmount memory;
    };

    /// Keeps the latest items up to a capacity.
    template <typename T> struct RingBuffer {
        std::vector<T> items;
        size_t next = 0; ///< Index that is overwritten next once the buffer is full.

        void add(const T& item, size_t capacity);
    };

    /// Samples of one job family.
    struct Family {
        RingBuffer<Sample> usage; ///< Samples of tasks below their limits.
        /// Samples at a limit, kept apart so that they do not displace the more reliable ones.
        RingBuffer<Sample> capped;
        RingBuffer<Duration> runTimes;
        std::list<std::string>::iterator recentUse; ///< Position in SizeEstimator::m_byRecentUse.
    };

} // namespace detail

/// Estimates sizes and run times per job family. A size is learned either from the amounts used, or from the ratio of
/// used to declared amounts if that varies less between the tasks of the family, as it does when jobs of different
/// sizes are declared well. Memory is bounded by the number of families and of samples per family.
class SizeEstimator {
public:
    explicit SizeEstimator(SizeEstimatorOptions options);

    /// Records the usage of a running or finished task. A task counts as one sample, however often it is reported.
    void recordUsage(const std::string& family, const UsageSample& sample);
    /// Records the run time of a finished task.
    void recordRunTime(const std::string& family, Duration runTime);

    /// Returns the estimate for tasks of the family with this declared size and run time. Without samples the size is
    /// the declared one, and the run time is the declared one times SizeEstimatorOptions::maxFactor.
    SizeEstimate estimate(const std::string& family, const Resources& declared, Duration declaredRunTime) const;
    /// Returns the expected remaining run time of a task that has run for `elapsed`, from the median of the samples
    /// that ran longer. A task that has run longer than all samples is expected to run for as long again.
    Duration remainingRunTime(const std::string& family, Duration declaredRunTime, Duration elapsed) const;

    /// Number of families with samples.
    size_t families() const { return m_families.size(); }

private:
    using Sample = detail::Sample;
    using Family = detail::Family;

    /// Returns the family, added if necessary, and marks it as most recently used.
    Family& touch(const std::string& family);
    int64_t learnedSize(
        const std::vector<detail::SampledAmount>& samples, double quantile, double margin, int64_t declared) const;
    detail::SampledAmount sampledAmount(int64_t peak, int64_t limit, int64_t declared, bool& exceeded) const;

    SizeEstimatorOptions m_options;
    absl::btree_map<std::string, Family> m_families;
    std::list<std::string> m_byRecentUse; ///< Most recently updated first.
    bool m_cpuExceeded = false; ///< A task has exceeded its CPU limit, so CPU limits are not enforced.
    bool m_memoryExceeded = false; ///< The same for memory.
};

/// Usage of a task on a worker, as last reported.
struct TaskLoad {
    TaskId task;
    Resources usage;
    Resources limit;
    MemoryMib memoryGrowthPerSecond; ///< Growth between the last two reports; negative if usage shrinks.
    uint32_t priority = 0;
    bool canResume = false; ///< The task can resume from a checkpoint.
    bool movable = true; ///< False for a service at its floor or a task that is being stopped.
};

/// Bounds of the usage of a worker. A worker whose tasks are all within their limits may be used up to its capacity.
/// The fractions of the capacity below apply while a task exceeds its limit, or is projected to within the horizon.
struct ReliefOptions {
    double memoryHighShare = 0.92; ///< Memory cannot be throttled, so tasks are moved before the worker is full.
    double cpuHighShare = 0.97;
    /// Time over which memory usage is projected: a report is up to 10 s old, and moving a task takes about as long.
    Duration horizon = std::chrono::seconds(20);
};

/// An action that reduces the load of a worker.
struct Relief {
    enum class Kind {
        Throttle, ///< Limit the CPU usage to `cpu`.
        Move, ///< Checkpoint and stop the task, and place it again.
    };
    Kind kind = Kind::Throttle;
    TaskId task;
    MilliCpu cpu; ///< New CPU limit of a throttled task.
    std::string reason; ///< Explanation with the usage and the bounds.
};

/// Returns the tasks to throttle or move so that the worker does not run out of memory or CPU. Tasks above their own
/// limit come first, then lower priorities, then tasks that can resume. The result is empty if the worker is within its
/// bounds.
std::vector<Relief> planRelief(
    const Resources& capacity, const std::vector<TaskLoad>& tasks, const ReliefOptions& options = {});

} // namespace turmericpier::decision
