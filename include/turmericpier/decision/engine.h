#pragma once

#include "turmericpier/decision/model.h"

#include <functional>
#include <memory>
#include <variant>

/// The decisions of the control leader. Pure: typed events and the time go in, typed actions come out; the same input
/// gives the same output on every machine.
///
///     Engine engine({});
///     engine.handle(WorkerAnnounced { worker }, now);
///     engine.handle(JobSubmitted { job }, now);
///     for (const Action& action : engine.tick(now))
///         carryOut(action); // PlaceTask
namespace turmericpier::decision {

// Events.

/// A worker announced itself, also after a restart or with changed capacity. A restarted worker runs nothing.
struct WorkerAnnounced {
    Worker worker;
    Incarnation incarnation;
};
/// Usage of tasks that run on the worker. After a leader change each running task has to be reported once within
/// 10 minutes, because a restored placement that nothing confirms is stopped.
struct WorkerReport {
    WorkerId worker;
    std::vector<TaskUsage> usage;
};
/// Nothing was heard of the worker; its tasks may still run until their leases end.
struct WorkerLost {
    WorkerId worker;
};
/// The worker takes no new work; its tasks are moved or run to their end.
struct WorkerDraining {
    WorkerId worker;
    bool draining = true;
};
/// It is certain that nothing runs on the worker.
struct WorkerGone {
    WorkerId worker;
};
struct JobSubmitted {
    Job job;
    bool accepted = false; ///< Given again after a leader change: not refused, as it may run already.
};
struct JobCancelled {
    JobId job;
};
struct PolicyChanged {
    Policy policy;
};
struct TeamChanged {
    Team team;
};
/// Without it or a report of the task within a lease after the placement, the task is stopped and placed again.
struct TaskStarted {
    TaskId task;
    Epoch epoch;
};
struct TaskEnded {
    TaskId task;
    Epoch epoch;
    TaskEnd end = TaskEnd::Finished;
    std::string reason;
};
struct TaskCheckpointed {
    TaskId task;
    Epoch epoch;
    uint64_t checkpoint = 0;
};
/// The placement could not be committed, so that the task was not started: it is queued again.
struct PlacementRefused {
    TaskId task;
    Epoch epoch;
};
/// Rebuilds the engine after a leader change. Jobs and workers were given before; `endedTasks` do not run again.
struct Restored {
    std::vector<Placement> placements;
    std::vector<TaskId> endedTasks;
    Epoch nextEpoch;
};

using Event = std::variant<WorkerAnnounced, WorkerReport, WorkerLost, WorkerDraining, WorkerGone, JobSubmitted,
    JobCancelled, PolicyChanged, TeamChanged, TaskStarted, TaskEnded, TaskCheckpointed, PlacementRefused, Restored>;

// Actions.

/// Place the task: commit it, then start it, unless a StopTask of the same epoch came meanwhile. The capacity is taken
/// from this moment, and the lease of the task begins with it. A service whose replicas are moved or lost has tasks
/// beyond its declared number for a while; their indexes start at `Job::tasks`.
struct PlaceTask {
    Placement placement;
    uint64_t checkpoint = 0; ///< To resume from; 0 to start afresh.
};
/// The lease of the task is not to be renewed from now on. A worker that does not run this epoch of the task answers
/// with TaskEnded as well, and refuses a later start of the epoch.
struct StopTask {
    TaskId task;
    WorkerId worker;
    Epoch epoch;
    std::string reason;
};
/// Checkpoint, then stop. Used for preemption of tasks that can be resumed.
struct CheckpointTask {
    TaskId task;
    WorkerId worker;
    Epoch epoch;
};
struct ThrottleTask {
    TaskId task;
    WorkerId worker;
    Epoch epoch;
    Resources limit;
};
/// The job can not run: it ends with NOT_RUN and the reason.
struct RefuseJob {
    JobId job;
    std::string reason;
};
/// The job fits no present worker, but may fit one that comes later.
struct JobParked {
    JobId job;
    std::string reason;
};
struct JobDone {
    JobId job;
    Outcome outcome = Outcome::Ran;
    std::string reason; ///< Empty if all tasks finished.
};
struct WorkerQuarantined {
    WorkerId worker;
    bool quarantined = true;
    std::string reason;
};

using Action
    = std::variant<PlaceTask, StopTask, CheckpointTask, ThrottleTask, RefuseJob, JobParked, JobDone, WorkerQuarantined>;
using Actions = std::vector<Action>;

/// What the score of a worker for a task is computed from. Higher scores win; ties go to the lower worker id.
struct ScoreInput {
    Resources request;
    Resources free;
    Resources capacity;
    uint32_t sameJobInRack = 0;
    uint32_t sameJobInDataCentre = 0;
};
using ScoreFunction = std::function<double(const ScoreInput&)>;

struct EngineOptions {
    Duration taskLease = std::chrono::seconds(30);
    Duration clockSkewBound = std::chrono::milliseconds(500); ///< Added to each lease before capacity is reused.
    uint32_t placementsPerTick = 2'000; ///< Bounds the time of one tick.
    uint32_t poisonWorkers = 3; ///< A task that failed on this many distinct workers ends its job.
    std::function<ScoreFunction(ScoreKind)> scoreFor; ///< Without it the built-in scores are used.
};

class Engine {
public:
    explicit Engine(EngineOptions options);
    ~Engine();

    /// Takes in one event. Stops and refusals come out at once, placements with the next tick.
    Actions handle(const Event& event, TimePoint now);
    /// Places waiting tasks and ends leases. To be called at least every 100 ms, and after a batch of events.
    Actions tick(TimePoint now);

    /// Why the job waits, where its tasks were placed and why, or why it was refused, with the figures used. JSON
    /// object.
    std::string explain(const JobId& job) const;
    std::string dump() const; ///< Whole state as a JSON object.

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::decision
