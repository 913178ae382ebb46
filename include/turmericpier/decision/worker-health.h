#pragma once

#include "turmericpier/decision/model.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <string>
#include <vector>

/// Distinguishes workers that fail every task from jobs that fail on every worker.
///
///     WorkerHealth health({});
///     health.addWorker(worker);
///     for (const HealthChange& change : health.taskFailed(worker, job, now))
///         report(change); // the worker was quarantined
///     if (health.admission(worker, now) == WorkerHealth::Admission::All)
///         place(worker);
namespace turmericpier::decision {

struct WorkerHealthOptions {
    uint32_t suspectJobs = 3; ///< Distinct jobs that have to fail on a worker and succeed elsewhere to quarantine it.
    uint32_t suspectWorkers = 3; ///< Distinct workers, good for other jobs, on which a job has to fail to be suspect.
    Duration window = std::chrono::minutes(10); ///< Older failures on a worker are not counted.
    /// Likelihood ratio at which a worker is quarantined: the likelihood of its outcomes if it fails 9 of 10 tasks,
    /// divided by their likelihood at the failure rate of good workers. 5,000 takes three failures in a row where 5% of
    /// the tasks fail, and eight where 30% do.
    double likelihoodRatio = 5'000;
    /// Largest fraction of the workers in quarantine. It is above a third, to cover the failure of a row of racks or of
    /// one of three data centres, and below a half, so that most of the cell keeps accepting tasks whatever fails.
    double maxQuarantinedShare = 0.4;
    Duration firstProbeDelay = std::chrono::seconds(10);
    Duration maxProbeDelay = std::chrono::minutes(10); ///< The delay doubles with each failed probe.
    uint32_t successesToReturn = 2; ///< Consecutive successful probes that end the quarantine.
    size_t maxJobs = 50'000; ///< Jobs to remember; the least recently used one is evicted.
    size_t maxFailuresPerWorker = 16; ///< Distinct failed jobs to remember per worker.
};

/// A worker that was quarantined or released from quarantine.
struct HealthChange {
    WorkerId worker;
    bool quarantined = true; ///< False if the quarantine ended.
    std::string reason; ///< Explanation for the log.
};

/// Quarantines workers and marks jobs as suspect by the outcomes of their tasks.
class WorkerHealth {
public:
    /// Which tasks may be placed on a worker.
    enum class Admission {
        All, ///< Any tasks.
        Probe, ///< One task, after which probeStarted() has to be called.
        None, ///< No task: the worker is unknown or quarantined and not due for a probe.
    };

    explicit WorkerHealth(WorkerHealthOptions options);

    /// Adds a worker. Does nothing if it is known already.
    void addWorker(const WorkerId& worker);
    /// Removes a worker and its history, for example because it is gone or was restarted.
    void removeWorker(const WorkerId& worker);

    /// Records that a task finished, or that a service task has run for long enough to count as started.
    std::vector<HealthChange> taskSucceeded(const WorkerId& worker, const JobId& job, TimePoint now);
    /// Records that a task failed by itself, as opposed to being stopped, preempted or lost with its worker.
    std::vector<HealthChange> taskFailed(const WorkerId& worker, const JobId& job, TimePoint now);
    /// Records that a probe ended without a result, for example because its job was cancelled.
    void probeAborted(const WorkerId& worker, TimePoint now);
    /// Records that a task was placed on a quarantined worker as a probe. There is one probe at a time.
    void probeStarted(const WorkerId& worker);

    /// Returns which tasks may be placed on the worker now.
    Admission admission(const WorkerId& worker, TimePoint now) const;
    /// Returns a value from 0 (no recent failure) to 1 (suspect) that lowers the placement score of a worker before its
    /// failures are confirmed, or when no more workers may be quarantined.
    double suspicion(const WorkerId& worker, TimePoint now) const;
    /// Returns whether the job has failed on several distinct workers on which other jobs succeed.
    bool isSuspect(const JobId& job) const;
    /// Returns whether a failure of the job on the worker counts against the job. It does not if the worker is
    /// quarantined, or if other jobs have failed there as well and none has succeeded since.
    bool countsAgainstJob(const WorkerId& worker, const JobId& job, TimePoint now) const;
    /// Number of distinct workers on which the job has failed, up to 8.
    size_t failedWorkers(const JobId& job) const;
    /// Number of workers in quarantine.
    size_t quarantinedWorkers() const { return m_quarantined.size(); }
    /// Removes the history of a job that ended. Confirmed failures of workers are kept.
    void jobEnded(const JobId& job);

private:
    struct Failure {
        JobId job;
        TimePoint at;
        bool confirmed = false; ///< The job has succeeded on another worker.
    };
    struct Success {
        JobId job;
        TimePoint at;
    };
    struct WorkerState {
        std::vector<Failure> failures; ///< One per distinct job, latest last.
        std::vector<Success> successes; ///< One per job for up to 8 distinct jobs, latest last.
        uint32_t failuresSinceSuccess = 0;
        bool quarantined = false;
        bool probing = false;
        TimePoint nextProbe;
        Duration probeDelay { 0 };
        uint32_t probeSuccesses = 0;
    };
    /// Outcomes that speak against a worker.
    struct Evidence {
        double failed = 0; ///< Distinct jobs that failed, weighted.
        uint32_t succeeded = 0; ///< Distinct jobs that succeeded since the first of these failures.
        double logRatio = 0; ///< Logarithm of the likelihood ratio of a bad to a good worker; not negative.
    };
    struct JobState {
        std::vector<WorkerId> failedOn; ///< Up to 8 distinct workers.
        std::vector<WorkerId> succeededOn; ///< Up to 2 distinct workers, so that one differs from any given worker.
        uint64_t lastUse = 0;
    };

    /// Returns the job, added if necessary, and marks it as most recently used.
    JobState& touch(const JobId& job);
    /// Returns whether the job has succeeded on a worker other than `worker`.
    bool succeededElsewhere(const JobId& job, const WorkerId& worker) const;
    /// Returns whether jobs other than `job` have succeeded on the worker and it is not quarantined.
    bool succeedsWithOtherJobs(const WorkerId& worker, const JobId& job) const;
    /// Adds one success and the failures before it to the failure rate of the cell.
    void countOutcomes(uint32_t failures);
    /// Returns the strongest evidence against the worker. A failure that is not confirmed counts with
    /// `unconfirmedWeight`.
    Evidence evaluateEvidence(const WorkerState& state, TimePoint now, double unconfirmedWeight) const;
    /// Confirms the failures of the job on workers other than `worker`, on which it has succeeded.
    void confirmFailures(const JobId& job, const WorkerId& worker, TimePoint now, std::vector<HealthChange>& changes);
    void endProbe(WorkerState& state, bool failed, TimePoint now);
    /// Quarantines the worker if the evidence against it suffices.
    void quarantineIfUnhealthy(const WorkerId& worker, TimePoint now, std::vector<HealthChange>& changes);
    bool canQuarantineAnother() const;

    WorkerHealthOptions m_options;
    absl::btree_map<WorkerId, WorkerState> m_workers;
    absl::btree_map<JobId, JobState> m_jobs;
    absl::btree_map<uint64_t, JobId> m_jobsByLastUse;
    absl::btree_set<WorkerId> m_quarantined;
    uint64_t m_uses = 0;
    double m_failures = 0; ///< Failed tasks on workers that also succeed; numerator of the baseline failure rate.
    double m_outcomes = 0; ///< Failed and successful tasks on these workers.
};

} // namespace turmericpier::decision
