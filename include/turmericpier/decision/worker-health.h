#pragma once

#include "turmericpier/decision/model.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <string>
#include <vector>

/// Tells workers that fail everything apart from jobs that fail everywhere.
///
///     WorkerHealth health({});
///     health.addWorker(worker);
///     for (const HealthChange& change : health.taskFailed(worker, job, now))
///         report(change); // the worker was quarantined
///     if (health.admission(worker, now) == WorkerHealth::Admission::All)
///         place(worker);
namespace turmericpier::decision {

struct WorkerHealthOptions {
    uint32_t suspectJobs = 3; ///< Distinct jobs that fail on a worker and succeed elsewhere, to suspect the worker.
    uint32_t suspectWorkers = 3; ///< Distinct workers, good for other jobs, on which a job fails, to suspect the job.
    Duration window = std::chrono::minutes(10); ///< Older failures are not counted.
    /// How much better the outcomes on a worker have to be explained by "fails 9 of 10 tasks" than by the failure rate
    /// of the other workers. 5,000 takes three failures in a row where 5% of the tasks fail, and eight where 30% do.
    double likelihoodRatio = 5'000;
    /// Above a third, so that a fault of one rack row or one of three data centres is covered, and below a half, so
    /// that the larger part of the cell keeps taking work whatever fails.
    double maxQuarantinedShare = 0.4;
    Duration firstProbeDelay = std::chrono::seconds(10);
    Duration maxProbeDelay = std::chrono::minutes(10); ///< The delay doubles with each failed probe.
    uint32_t successesToReturn = 2; ///< Successful probes before a worker takes work again.
    size_t maxJobs = 50'000; ///< Jobs remembered; the one unused for longest is forgotten.
    size_t maxFailuresPerWorker = 16; ///< Distinct failed jobs remembered for a worker.
};

struct HealthChange {
    WorkerId worker;
    bool quarantined = true;
    std::string reason;
};

/// Judges workers and jobs by the outcomes of tasks.
class WorkerHealth {
public:
    enum class Admission {
        All,
        Probe, ///< One task, announced by probeStarted().
        None,
    };

    explicit WorkerHealth(WorkerHealthOptions options);

    void addWorker(const WorkerId& worker);
    /// Forgets the worker, for example because it is gone or was restarted.
    void removeWorker(const WorkerId& worker);

    /// A task finished, or a service task has run for long enough to call it started.
    std::vector<HealthChange> taskSucceeded(const WorkerId& worker, const JobId& job, TimePoint now);
    /// A task failed by itself: not stopped, preempted or lost with its worker.
    std::vector<HealthChange> taskFailed(const WorkerId& worker, const JobId& job, TimePoint now);
    /// The probe ended without telling anything, for example because its job was cancelled.
    void probeAborted(const WorkerId& worker, TimePoint now);
    void probeStarted(const WorkerId& worker);

    Admission admission(const WorkerId& worker, TimePoint now) const;
    /// From 0 (no recent failure) to 1 (suspect). Lowers the score of a worker before there is proof against it, and
    /// when the bound on quarantined workers is reached.
    double suspicion(const WorkerId& worker, TimePoint now) const;
    /// The job failed on several distinct workers which run other jobs well.
    bool isSuspect(const JobId& job) const;
    /// Whether a failure of the job on the worker says something about the job: not if the worker is quarantined, or if
    /// other jobs failed there as well and none has succeeded since.
    bool countsAgainstJob(const WorkerId& worker, const JobId& job, TimePoint now) const;
    /// Distinct workers on which the job failed, up to the number remembered (8).
    size_t failedWorkers(const JobId& job) const;
    size_t quarantinedWorkers() const { return m_quarantined.size(); }
    /// Drops what is known of a job that ended. Failures proved against workers stay.
    void jobEnded(const JobId& job);

private:
    struct Failure {
        JobId job;
        TimePoint at;
        bool proved = false; ///< The job has succeeded on another worker.
    };
    struct Success {
        JobId job;
        TimePoint at;
    };
    struct WorkerState {
        std::vector<Failure> failures; ///< One for each distinct job, the latest last.
        std::vector<Success> successes; ///< One for each of up to 8 distinct jobs, the latest last.
        uint32_t failuresSinceSuccess = 0;
        bool quarantined = false;
        bool probing = false;
        TimePoint nextProbe;
        Duration probeDelay { 0 };
        uint32_t probeSuccesses = 0;
    };
    struct Evidence {
        double failed = 0; ///< Distinct jobs.
        uint32_t succeeded = 0; ///< Distinct jobs that succeeded after the first of the failures.
        double logRatio = 0; ///< Of the likelihoods of a bad and a good worker; not negative.
    };
    struct JobState {
        std::vector<WorkerId> failedOn; ///< Distinct, up to 8.
        std::vector<WorkerId> succeededOn; ///< Distinct, up to 2: enough to know of another worker than a given one.
        uint64_t lastUse = 0;
    };

    JobState& touch(const JobId& job);
    bool succeededElsewhere(const JobId& job, const WorkerId& worker) const;
    bool runsOthersWell(const WorkerId& worker, const JobId& job) const;
    void countOutcomes(uint32_t failures);
    Evidence evidence(const WorkerState& state, TimePoint now, double unprovedWeight) const;
    void prove(const JobId& job, const WorkerId& worker, TimePoint now, std::vector<HealthChange>& changes);
    void endProbe(WorkerState& state, bool failed, TimePoint now);
    void judge(const WorkerId& worker, TimePoint now, std::vector<HealthChange>& changes);
    bool mayQuarantineOneMore() const;

    WorkerHealthOptions m_options;
    absl::btree_map<WorkerId, WorkerState> m_workers;
    absl::btree_map<JobId, JobState> m_jobs;
    absl::btree_map<uint64_t, JobId> m_jobsByUse;
    absl::btree_set<WorkerId> m_quarantined;
    uint64_t m_uses = 0;
    double m_failures = 0; ///< Of tasks on workers that also succeed, to know the ordinary failure rate.
    double m_outcomes = 0;
};

} // namespace turmericpier::decision
