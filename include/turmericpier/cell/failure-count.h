#pragma once

#include "turmericpier/base/clock.h"

#include <string>
#include <vector>

/// Recent failures on a worker.
namespace turmericpier::cell {

/// Weighted number of recent failures on a worker, which halves every few seconds. Failures of tasks may be the fault
/// of their job, so that one job adds less than what takes a worker out of use.
///
///     FailureCount failures;
///     failures.record(1, now); // A start was refused.
///     failures.recordTask("5c0e7a21d94b36f8", 1, now); // A task of this job has failed.
///     if (failures.value(now) < maxRecentFailures)
///         place(task);
class FailureCount {
public:
    /// Records a failure of the worker itself.
    void record(double weight, TimePoint now);
    /// Records a failure of a task of the job.
    void recordTask(const std::string& job, double weight, TimePoint now);
    /// Halves the count.
    void recordSuccess(TimePoint now);
    /// Removes what tasks of the job have added, once the job is known to be at fault.
    void forgetJob(const std::string& job);
    double value(TimePoint now) const { return isEmpty() ? 0 : sumAt(now); }
    /// Time of the last failure.
    TimePoint lastAt() const { return m_lastAt; }

private:
    struct Decaying {
        double value = 0;
        TimePoint at;

        double valueAt(TimePoint now) const;
        void add(double weight, TimePoint now, double most);
    };
    struct JobFailures {
        std::string job;
        Decaying count;
    };

    bool isEmpty() const { return m_own.value == 0 && m_jobs.empty(); }
    double sumAt(TimePoint now) const;

    Decaying m_own;
    std::vector<JobFailures> m_jobs;
    TimePoint m_lastAt;
};

/// A worker with at least this many recent failures gets no tasks.
inline constexpr double maxRecentFailures = 2.5;
/// Time after the last failure by which each count is below this limit again.
inline constexpr std::chrono::seconds maxTimeOutOfUse { 13 };

} // namespace turmericpier::cell
