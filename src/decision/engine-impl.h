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

/// A policy with what is derived from it.
struct PolicyRecord {
    Policy policy;
    ScoreFunction score;
    SearchOrder order = SearchOrder::BothEnds;
};

/// Capacity kept for the waiting tasks of one job until running tasks leave it. Claims of a gang cover all of its tasks
/// at once, so that two gangs never wait for each other.
struct Claim {
    struct Part {
        WorkerIndex worker;
        uint32_t tasks;
    };
    JobIndex job = JobIndex::None;
    PackedResources request;
    TimePoint since;
    bool reservation = false; ///< Waits for tasks to end; otherwise victims were stopped for it.
    bool preempting = false; ///< Tasks on the claimed workers are being stopped: no more backfill.
    std::vector<Part> parts;
};

/// Sums over a team beside its usage.
struct TeamTotals {
    Resources stopping; ///< Part of its usage that is about to be released.
    Resources claimed; ///< Not part of its usage yet.
};

/// Room for one more task on a worker.
struct ReservationOption {
    double missing = 0; ///< Share of the worker that has to become free for it.
    uint32_t task = 0; ///< It is this number of tasks of the job on the worker.
    WorkerIndex worker = WorkerIndex::None;
};

struct Choice {
    WorkerIndex worker = WorkerIndex::None;
    double score = 0;
    uint32_t candidates = 0;
    bool backfill = false;
    bool probe = false;
};

/// Capacity of a restored placement whose job is not known, kept until its lease has ended.
struct Orphan {
    TimePoint until;
    WorkerIndex worker = WorkerIndex::None;
    PackedResources limit;
};

enum class Requeue {
    AtOnce,
    Paced, ///< After a loss: restarts of many tasks are spread over time.
    Backoff, ///< After a failure.
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
    void refreshWorker(WorkerIndex worker);
    void restartWorker(WorkerIndex worker);
    void shrinkTo(WorkerIndex worker);
    void dropClaimsOn(WorkerIndex worker);
    void endLostLeases();
    void applyHealth(const std::vector<HealthChange>& changes);
    void updateSuspicion(WorkerIndex worker);
    void findProbes();
    void reconcileServicesOn(WorkerIndex worker);
    template <typename Visit> void forEachTaskOn(WorkerIndex worker, const Visit& visit);

    // Jobs (engine-jobs.cc).
    bool fitsAnyAnnounced(const PackedResources& request) const;
    bool refuseImpossible(const Job& job);
    std::string largestWorkerText(const PackedResources& request) const;
    void park(JobIndex job, std::string reason, WaitReason why);
    void recheckParked();
    void endJob(JobIndex job, std::string reason, bool refused = false);
    /// Emits JobDone, or RefuseJob, once no task is left. The job is gone if this returns true.
    bool finishIfDone(JobIndex job, bool refused = false);
    void enqueueTask(TaskIndex task);
    void unqueueTask(TaskIndex task);
    void enqueueJob(JobIndex job);
    void dequeueJob(JobIndex job);
    WaitQueue& queue(uint32_t number);
    void updateWaiting(uint32_t queueNumber);
    PackedResources effectiveRequest(const JobRecord& job) const;
    PolicyRecord& policyOf(const JobRecord& job) { return policies[job.policy]; }

    // Tasks (engine-tasks.cc).
    /// The task if this epoch of it holds a place; otherwise None.
    TaskIndex findPlaced(const TaskId& id, Epoch epoch) const;
    void requestStop(TaskIndex task, const std::string& reason, Duration checkpointTime = Duration { 0 });
    void sendStop(TaskIndex task, const std::string& reason);
    void leave(TaskIndex task);
    /// The task does not run any more, and it is not known how it ended.
    void lostTask(TaskIndex task, Requeue how);
    void failedTask(TaskIndex task, WorkerIndex worker, const std::string& reason);
    void markEnded(TaskIndex task);
    void requeue(TaskIndex task, Requeue how);
    void breakGang(JobIndex job, const std::string& reason);
    void requeueGang(JobIndex job);
    void fireTimers();
    void startTimedOut(TaskIndex task);
    void restorePlacement(const Placement& placement);
    TaskIndex addReplicaRecord(const TaskId& id);

    // Services (engine-services.cc).
    void reconcileService(JobIndex job);
    uint32_t runningReplicas(const JobRecord& job) const;
    uint32_t spareReplicas(const JobRecord& job) const;
    bool isBelowFloor(const JobRecord& job) const;
    void moveWithoutReplacement();

    // Placement (engine-placement.cc).
    enum class Attempt {
        Placed, ///< No queued task is left.
        More, ///< Some were placed; others can be tried now.
        Blocked,
        Budget,
    };
    void placeWaiting();
    bool placeQueue(WaitQueue::Round& round);
    bool placeTeams();
    bool advance(WaitQueue::Round& round, JobIndex job);
    Attempt tryJob(JobIndex job);
    Attempt tryTasks(JobIndex job);
    Attempt tryGang(JobIndex job);
    bool tryGangIn(JobIndex job, std::optional<uint16_t> dataCentre, std::vector<TaskIndex>& placed);
    void blocked(JobIndex job, WaitReason reason);
    bool isKnownToFail(const PackedResources& request, uint32_t count) const;
    void rememberFailure(const PackedResources& request, uint32_t count);
    bool choose(const JobRecord& job, TaskIndex task, Choice& choice);
    bool chooseSpread(const JobRecord& job, TaskIndex task, Choice& choice);
    bool chooseProbe(const JobRecord& job, TaskIndex task, Choice& choice);
    bool chooseBackfill(const JobRecord& job, TaskIndex task, Choice& choice);
    void evaluate(const JobRecord& job, TaskIndex task, Choice& choice);
    void take(TaskIndex task, const Choice& choice);
    void giveBack(TaskIndex task);
    void emitPlacement(TaskIndex task, const Choice& choice);
    TaskIndex nextQueued(JobRecord& job) const;
    uint32_t replicasIn(JobIndex job, uint32_t place, bool rack) const;
    void countReplica(const TaskRecord& task, int change);

    // Claims and preemption (engine-claims.cc, engine-preemption.cc, engine-reservations.cc).
    bool isCovered(const JobRecord& job) const;
    void wantPlan(JobIndex job);
    void planQueued();
    bool mayBePreempted(const TaskRecord& task, const JobRecord& by, bool withinQuota) const;
    void claimFor(JobIndex job, FairShare::Admission admission);
    bool planVictims(JobIndex job);
    bool planGangVictims(JobIndex job, bool withinQuota);
    std::vector<ReservationOption> reservationOptions(const JobRecord& job, uint32_t needed) const;
    bool mayBorrowMore(const JobRecord& job, uint32_t count) const;
    void reserve(JobIndex job, FairShare::Admission admission);
    std::vector<PreemptionCandidate> candidatesFor(const JobRecord& job, bool withinQuota, size_t limit);
    PreemptionCandidate candidateOf(WorkerIndex worker) const;
    RunningTask runningTaskOf(const TaskRecord& task) const;
    PreemptionOptions preemptionOptions() const;
    void carryOut(const PreemptionPlan& plan, JobIndex forJob);
    void preempt(TaskIndex task, Duration checkpointTime, JobIndex forJob);
    Claim& addClaim(JobIndex job);
    void addPart(Claim& claim, WorkerIndex worker, uint32_t tasks);
    void unclaim(const Claim& claim, const Claim::Part& part);
    void dropClaim(uint32_t id);
    void progressClaims();
    bool progressClaim(Claim& claim);
    bool isReady(const Claim& claim, const Claim::Part& part, bool withoutBackfill) const;
    void stopBackfill(Claim& claim);
    void preemptForReservation(Claim& claim);
    void placeOn(TaskIndex task, WorkerIndex worker);

    // Usage (engine-usage.cc).
    void recordUsage(WorkerIndex worker, const TaskUsage& usage);
    void relieve(WorkerIndex worker);
    TaskLoad loadOf(const TaskRecord& task) const;
    void throttle(TaskIndex task, MilliCpu cpu);
    void liftThrottles(WorkerIndex worker);

    // explain.cc
    std::string explain(const JobId& job) const;
    std::string dump() const;

    void note(DecisionKind kind, const JobRecord& job, const TaskRecord* task, const Choice* choice = nullptr);
    Duration holdTime() const { return options.taskLease + options.clockSkewBound; }
    void capacityFreed();
    /// Everything that waits is tried again, not only what fits where tasks have ended.
    void retryAll();
    bool mayHaveRoom(const WaitQueue& waiting) const;
    bool isAdmitted(uint32_t queueNumber) const;
    /// Admission of `count` further tasks, with what is claimed for the team counted as used.
    FairShare::Admission admissionOf(const JobRecord& job, uint32_t count) const;
    TeamTotals& totalsOf(uint32_t team);

    void measureRoom();

    EngineOptions options;
    Tables tables;
    PlacementIndex index;
    FairShare shares;
    RestartPacer pacer;
    WorkerHealth health;
    SizeEstimator sizes;
    Timers timers;
    History history;

    std::vector<WaitQueue> queues; ///< 0 for urgent jobs and services below their floor, then one for each team.
    std::vector<PolicyRecord> policies;
    std::vector<TeamTotals> teamTotals;
    absl::btree_map<uint32_t, Claim> claims;
    uint32_t nextClaim = 1;
    uint32_t reservations = 0;
    absl::flat_hash_map<uint64_t, uint32_t> replicaCounts; ///< By job and rack or data centre; only looked up.
    absl::flat_hash_map<TaskIndex, absl::InlinedVector<WorkerIndex, 4>> failedOn; ///< Only looked up.
    absl::flat_hash_map<JobIndex, std::string> endReasons;
    std::deque<std::pair<TimePoint, WorkerIndex>> lostLeases; ///< In order of time.
    std::deque<Orphan> orphans; ///< In order of time.
    std::vector<PackedResources> largest; ///< Announced capacities that no other announced one covers.
    absl::btree_set<std::pair<uint64_t, JobIndex>> parkedJobs; ///< That fit no worker announced so far.
    absl::btree_set<std::pair<uint64_t, JobIndex>> movingServices;
    std::vector<WorkerIndex> probes; ///< Quarantined workers that are due for a probe.
    Resources capacity; ///< Of the workers that take work or may again.
    uint32_t liveWorkers = 0; ///< That take work.
    bool capacityChanged = false;
    std::optional<TimePoint> firstAnnounced;

    Epoch nextEpoch { 1 };
    uint64_t nextOrder = 1;
    TimePoint now;
    TimePoint nextSecond;
    TimePoint nextPlans;
    Actions actions;

    bool dirty = false; ///< Something changed that may let a waiting task start.
    bool fullRound = false;
    bool retryRequested = false; ///< Since the round began.
    std::vector<WorkerIndex> freed; ///< Workers with more room than in the last round, unless fullRound is set.
    PackedResources room; ///< Largest amount of each resource available on one of them.
    bool claimsDirty = false;
    uint32_t budget = 0;
    uint32_t plansLeft = 0;
    uint32_t urgentPlansLeft = 0;
    std::deque<std::pair<uint64_t, JobIndex>> planQueue; ///< Jobs to plan for, by order of submission and index.
    std::vector<bool> teamsOverQuota; ///< By team; filled by the first search of a tick.
    uint32_t candidateCursor = 0;
    uint32_t backfillCursor = 0;
    TimePoint nextReservation;
    std::vector<WorkerIndex> found; ///< Reused by searches.
    std::vector<std::pair<PackedResources, uint32_t>> failures; ///< Request and number of tasks without room.
};

template <typename Visit> void Engine::Impl::forEachTaskOn(WorkerIndex worker, const Visit& visit)
{
    // The visitor may take tasks off the worker.
    std::vector<TaskIndex> list;
    list.reserve(tables.at(worker).taskCount);
    for (auto task = tables.at(worker).firstTask; task != TaskIndex::None; task = tables.at(task).next)
        list.push_back(task);
    for (const auto task : list) {
        if (tables.at(task).holdsPlace && tables.at(task).worker == worker)
            visit(task);
    }
}

std::string toText(const Resources& resources);

} // namespace turmericpier::decision
