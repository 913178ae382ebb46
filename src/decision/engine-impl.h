#pragma once

#include "decision/history.h"
#include "decision/placement-index.h"
#include "decision/tables.h"
#include "decision/timers.h"
#include "decision/wait-queue.h"
#include "turmericpier/decision/engine.h"
#include "turmericpier/decision/fair-share.h"
#include "turmericpier/decision/preemption.h"
#include "turmericpier/decision/restart-pacer.h"
#include "turmericpier/decision/size-estimator.h"
#include "turmericpier/decision/worker-health.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

namespace turmericpier::decision {

/// A policy with its score function and the matching search order.
struct PolicyRecord {
    Policy policy;
    ScoreFunction score;
    SearchOrder order = SearchOrder::BothEnds;
};

/// Capacity that is kept for the waiting tasks of one job until running tasks release it. A claim of a gang covers all
/// of its tasks at once, so that two gangs never wait for each other.
struct Claim {
    struct Part {
        WorkerIndex worker;
        uint32_t tasks;
    };
    JobIndex job = JobIndex::None;
    PackedResources request;
    TimePoint since;
    bool reservation = false; ///< Waits for running tasks to end. Other claims stop victims when they are made.
    bool preempting = false; ///< Tasks on the claimed workers are being stopped, so that backfill is not allowed.
    std::vector<Part> parts;
};

/// Resources of a team that FairShare does not track.
struct TeamTotals {
    Resources stopping; ///< Part of the usage of the team that is held by tasks whose stop was requested.
    Resources claimed; ///< Claimed resources, which are not part of the usage yet.
};

/// A way to reserve capacity on a worker for one more task of a job.
struct ReservationOption {
    double missing = 0; ///< Additional share of the worker that has to become free.
    uint32_t task = 0; ///< Number of tasks of the job on the worker, including this one.
    WorkerIndex worker = WorkerIndex::None;
};

/// The worker chosen for a task; None if no worker was found.
struct Choice {
    WorkerIndex worker = WorkerIndex::None;
    double score = 0;
    uint32_t candidates = 0;
    bool backfill = false;
    bool probe = false;
};

/// Restored placement of an unknown job. Its capacity stays reserved until its lease has ended.
struct OrphanedPlacement {
    TimePoint until;
    WorkerIndex worker = WorkerIndex::None;
    PackedResources limit;
};

/// When a task that stopped running is queued again.
enum class Requeue {
    Immediately,
    Paced, ///< After the loss of a worker; the restarts of many tasks are spread over time.
    Backoff, ///< After a failure of the task.
};

struct Engine::Impl {
    explicit Impl(EngineOptions engineOptions);

    // Events (engine-workers.cc, engine-jobs.cc, engine-tasks.cc, engine-usage.cc).
    void on(const WorkerAnnounced& event);
    void on(const WorkerReport& event);
    void on(const WorkerLost& event);
    void on(const WorkerDraining& event);
    void on(const WorkerGone& event);
    void on(const JobSubmitted& event);
    void on(const JobCancelled& event);
    void on(const PolicyChanged& event);
    void on(const TeamChanged& event);
    void on(const TaskStarted& event);
    void on(const TaskEnded& event);
    void on(const TaskCheckpointed& event);
    void on(const PlacementRefused& event);
    void on(const Restored& event);
    void tick();

    // Workers (engine-workers.cc).
    /// Updates the placement index and the totals after the state or the allocations of the worker have changed.
    void refreshWorker(WorkerIndex worker);
    /// Resets the health of a restarted worker and reschedules or fences its tasks.
    void restartWorker(WorkerIndex worker);
    void stopTasksOverCapacity(WorkerIndex worker);
    void dropClaimsOn(WorkerIndex worker);
    void expireLeasesOfLostWorkers();
    void applyHealth(const std::vector<HealthChange>& changes);
    void updateSuspicion(WorkerIndex worker);
    void findProbes();
    void reconcileServicesOn(WorkerIndex worker);
    template <typename Visit> void forEachTaskOn(WorkerIndex worker, const Visit& visit);

    // Jobs (engine-jobs.cc).
    bool fitsAnyAnnounced(const PackedResources& request) const;
    bool refuseImpossible(const Job& job);
    std::string largestWorkerText(const PackedResources& request) const;
    /// Emits JobParked once for a job that no present worker could run. The job stays queued.
    void park(JobIndex job, std::string reason, WaitReason why);
    /// Refuses parked jobs that still fit no worker after the grace period for announcements.
    void recheckParked();
    void endJob(JobIndex job, std::string reason, bool refused = false);
    /// Emits JobDone or RefuseJob and removes the job if all of its tasks have ended. Returns true if it was removed.
    bool finishIfDone(JobIndex job, bool refused = false);
    void enqueueTask(TaskIndex task);
    void dequeueTask(TaskIndex task);
    void enqueueJob(JobIndex job);
    void dequeueJob(JobIndex job);
    WaitQueue& queue(uint32_t number);
    void updateWaiting(uint32_t queueNumber);
    PackedResources effectiveRequest(const JobRecord& job) const;
    PolicyRecord& policyOf(const JobRecord& job) { return policies[job.policy]; }

    // Tasks (engine-tasks.cc).
    /// Returns the task if this epoch of it occupies a worker, otherwise None.
    TaskIndex findPlaced(const TaskId& id, Epoch epoch) const;
    void requestStop(TaskIndex task, const std::string& reason, Duration checkpointTime = Duration { 0 });
    void sendStop(TaskIndex task, const std::string& reason);
    void releaseTask(TaskIndex task);
    /// Handles the end of a task whose result is unknown, such as the loss of its worker or lease.
    void handleLostTask(TaskIndex task, Requeue how);
    void handleFailedTask(TaskIndex task, WorkerIndex worker, const std::string& reason);
    void markEnded(TaskIndex task);
    void requeue(TaskIndex task, Requeue how);
    /// Stops all tasks of the gang, so that it is queued again as a whole.
    void restartGang(JobIndex job, const std::string& reason);
    /// Queues the gang, or finishes its job, once all of its tasks have stopped.
    void requeueGang(JobIndex job);
    void fireTimers();
    void handleStartTimeout(TaskIndex task);
    void restorePlacement(const Placement& placement);
    TaskIndex addReplicaRecord(const TaskId& id);

    // Services (engine-services.cc).
    void reconcileService(JobIndex job);
    uint32_t runningReplicas(const JobRecord& job) const;
    uint32_t spareReplicas(const JobRecord& job) const;
    bool isBelowFloor(const JobRecord& job) const;
    void stopStuckDrainingReplicas();

    // Placement (engine-placement.cc).
    enum class Attempt {
        Placed, ///< All queued tasks of the job were placed.
        MoreQueued, ///< Some tasks were placed, and others of the job can be tried now.
        Blocked, ///< No further task of the job can be placed in this round.
        BudgetExhausted, ///< The tick has made its maximum number of placements.
    };
    void placeWaiting();
    bool placeQueue(WaitQueue::Round& round);
    bool placeTeams();
    bool tryAndAdvance(WaitQueue::Round& round, JobIndex job);
    Attempt tryJob(JobIndex job);
    Attempt tryTasks(JobIndex job);
    Attempt tryGang(JobIndex job);
    bool tryGangIn(JobIndex job, std::optional<uint16_t> dataCentre, std::vector<TaskIndex>& placed);
    /// Stores why the job waits and parks it if it fits no present worker.
    void recordBlockedJob(JobIndex job, WaitReason reason);
    bool isKnownUnplaceable(const PackedResources& request, uint32_t count) const;
    void recordUnplaceableRequest(const PackedResources& request, uint32_t count);
    bool chooseWorker(const JobRecord& job, TaskIndex task, Choice& choice);
    bool chooseSpread(const JobRecord& job, TaskIndex task, Choice& choice);
    bool chooseProbe(const JobRecord& job, TaskIndex task, Choice& choice);
    bool chooseBackfill(const JobRecord& job, TaskIndex task, Choice& choice);
    void scoreCandidates(const JobRecord& job, TaskIndex task, Choice& choice);
    void allocate(TaskIndex task, const Choice& choice);
    void undoAllocation(TaskIndex task);
    void emitPlacement(TaskIndex task, const Choice& choice);
    TaskIndex nextQueued(JobRecord& job) const;
    uint32_t replicasIn(JobIndex job, uint32_t place, bool rack) const;
    void countReplica(const TaskRecord& task, int change);

    // Claims and preemption (engine-claims.cc, engine-preemption.cc, engine-reservations.cc).
    bool isCovered(const JobRecord& job) const;
    void queueForPlanning(JobIndex job);
    void processPlanQueue();
    bool mayBePreempted(const TaskRecord& task, const JobRecord& by, bool withinQuota) const;
    void claimFor(JobIndex job, FairShare::Admission admission);
    bool planVictims(JobIndex job);
    bool planGangVictims(JobIndex job, FairShare::Admission admission);
    bool victimsOffsetUsage(const JobRecord& job, uint32_t count, FairShare::Admission admission,
        std::span<const PreemptionPlan> plans) const;
    std::vector<ReservationOption> reservationOptions(const JobRecord& job, uint32_t needed) const;
    bool mayBorrowMore(const JobRecord& job, uint32_t count) const;
    void reserve(JobIndex job, FairShare::Admission admission);
    std::vector<PreemptionCandidate> candidatesFor(const JobRecord& job, bool withinQuota, size_t limit);
    PreemptionCandidate candidateOf(WorkerIndex worker) const;
    RunningTask runningTaskOf(const TaskRecord& task) const;
    PreemptionOptions preemptionOptions() const;
    void executePlan(const PreemptionPlan& plan, JobIndex forJob);
    void preempt(TaskIndex task, Duration checkpointTime, JobIndex forJob);
    Claim& addClaim(JobIndex job);
    void addPart(Claim& claim, WorkerIndex worker, uint32_t tasks);
    void unreservePart(const Claim& claim, const Claim::Part& part);
    void dropClaim(uint32_t id);
    void progressClaims();
    bool progressClaim(Claim& claim);
    bool isReady(const Claim& claim, const Claim::Part& part, bool withoutBackfill) const;
    void stopBackfill(Claim& claim);
    void preemptForReservation(Claim& claim);
    void placeTaskOn(TaskIndex task, WorkerIndex worker);

    // Usage (engine-usage.cc).
    void recordUsage(WorkerIndex worker, const TaskUsage& usage);
    void relieve(WorkerIndex worker);
    TaskLoad loadOf(const TaskRecord& task) const;
    void throttle(TaskIndex task, MilliCpu cpu);
    void liftThrottles(WorkerIndex worker);

    // explain.cc
    std::string explain(const JobId& job) const;
    std::string dump() const;

    void recordDecision(
        DecisionKind kind, const JobRecord& job, const TaskRecord* task, const Choice* choice = nullptr);
    /// Returns the time after which a task whose lease is not renewed has certainly ended.
    Duration leaseWithSkewBound() const { return options.taskLease + options.clockSkewBound; }
    void markCapacityFreed();
    /// Requests a full round, which tries all waiting jobs and not only those that fit into freed capacity.
    void retryAll();
    bool mayFitFreedCapacity(const WaitQueue& waiting) const;
    bool isAdmitted(uint32_t queueNumber) const;
    /// Returns the admission of `count` more tasks of the job. Claimed resources of the team count as used.
    FairShare::Admission admissionOf(const JobRecord& job, uint32_t count) const;
    TeamTotals& totalsOf(uint32_t team);

    void updateMaxFreedCapacity();

    EngineOptions options;
    Tables tables;
    PlacementIndex index;
    FairShare shares;
    RestartPacer pacer;
    WorkerHealth health;
    SizeEstimator sizes;
    Timers timers;
    History history;

    std::vector<WaitQueue> queues; ///< Queue 0 is for urgent jobs and services below their minimum; then one per team.
    std::vector<PolicyRecord> policies;
    std::vector<TeamTotals> teamTotals;
    absl::btree_map<uint32_t, Claim> claims;
    uint32_t nextClaim = 1;
    uint32_t reservations = 0;
    absl::flat_hash_map<uint64_t, uint32_t> replicaCounts; ///< Replicas by job and rack or data centre. Never iterated.
    /// Distinct workers on which a task has failed. Iterated only to erase entries, which does not depend on the order.
    absl::flat_hash_map<TaskIndex, absl::InlinedVector<WorkerIndex, 4>> failedOn;
    absl::flat_hash_map<JobIndex, std::string> endReasons;
    std::deque<std::pair<TimePoint, WorkerIndex>> lostLeases; ///< Lease ends of lost workers, in order of time.
    std::deque<OrphanedPlacement> orphans; ///< Sorted by the end of their leases.
    std::vector<PackedResources> maximalCapacities; ///< Announced capacities that fit into no other announced capacity.
    absl::btree_set<std::pair<uint64_t, JobIndex>> parkedJobs; ///< Jobs that fit no worker announced so far.
    absl::btree_set<std::pair<uint64_t, JobIndex>> movingServices; ///< Services with replicas on draining workers.
    std::vector<WorkerIndex> probes; ///< Quarantined workers that are due for a probe.
    Resources capacity; ///< Total capacity of the schedulable workers.
    uint32_t schedulableWorkers = 0; ///< Number of workers that accept new tasks.
    bool capacityChanged = false;
    std::optional<TimePoint> firstWorkerAnnouncedAt;

    Epoch nextEpoch { 1 };
    uint64_t nextOrder = 1;
    TimePoint now;
    TimePoint nextPeriodicWork;
    TimePoint nextPlanBudgetReset;
    Actions actions;

    bool dirty = false; ///< Something has changed that may allow a waiting task to be placed.
    bool fullRound = false; ///< The next round tries all waiting jobs.
    bool retryRequested = false; ///< A full round was requested since the current round began.
    /// Workers with more available capacity than in the last round. Not maintained while `fullRound` is set.
    std::vector<WorkerIndex> freedWorkers;
    PackedResources maxFreedCapacity; ///< Largest amount of each resource that is available on any freed worker.
    bool claimsDirty = false; ///< Something has changed that may allow a claim to make progress.
    uint32_t placementBudget = 0;
    uint32_t planBudget = 0;
    uint32_t urgentPlanBudget = 0;
    /// Jobs that wait for preemption planning, sorted by inverted priority, order of submission and index.
    absl::btree_set<std::tuple<uint32_t, uint64_t, JobIndex>> planQueue;
    std::vector<bool> teamsOverQuota; ///< Indexed by team; computed by the first search of a tick.
    uint32_t candidateCursor = 0;
    uint32_t backfillCursor = 0;
    TimePoint nextReservation;
    std::vector<WorkerIndex> searchResults; ///< Result of the last index search, kept to reuse its memory.
    /// Requests that could not be placed in this round, each with its number of tasks.
    std::vector<std::pair<PackedResources, uint32_t>> unplaceableRequests;
};

template <typename Visit> void Engine::Impl::forEachTaskOn(WorkerIndex worker, const Visit& visit)
{
    // The visitor may remove tasks from the worker, so that the list is copied first.
    std::vector<TaskIndex> list;
    list.reserve(tables.at(worker).taskCount);
    for (auto task = tables.at(worker).firstTask; task != TaskIndex::None; task = tables.at(task).next)
        list.push_back(task);
    for (const auto task : list) {
        if (tables.at(task).occupiesWorker && tables.at(task).worker == worker)
            visit(task);
    }
}

std::string toText(const Resources& resources);

} // namespace turmericpier::decision
