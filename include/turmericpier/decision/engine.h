#pragma once

#include "turmericpier/decision/model.h"

#include <functional>
#include <memory>
#include <variant>

/// Scheduling decisions of the control leader. The engine is deterministic and does no I/O: it maps events and the
/// current time to actions, and the same input gives the same output on every machine.
///
///     Engine engine({});
///     engine.handle(WorkerAnnounced { worker }, now);
///     engine.handle(JobSubmitted { job }, now);
///     for (const Action& action : engine.tick(now))
///         execute(action); // PlaceTask
namespace turmericpier::decision {

// Events.

/// A worker announced itself for the first time, after a restart or with changed capacity. A higher incarnation means
/// that the worker was restarted and that no task runs on it any more.
struct WorkerAnnounced {
    Worker worker;
    Incarnation incarnation;
};
/// A worker reported the resource usage of its running tasks. After a leader change, each running task must be reported
/// once within 10 minutes; a restored placement that is not confirmed in that time is stopped.
struct WorkerReport {
    WorkerId worker;
    std::vector<TaskUsage> usage;
};
/// Contact to the worker was lost. Its tasks may keep running until their leases end.
struct WorkerLost {
    WorkerId worker;
};
/// Draining of the worker was started or cancelled. A draining worker gets no new tasks; its running tasks are moved or
/// run to completion.
struct WorkerDraining {
    WorkerId worker;
    bool draining = true;
};
/// The worker was removed, and it is certain that none of its tasks runs any more.
struct WorkerGone {
    WorkerId worker;
};
/// A job was submitted. A job id that is already known is ignored.
struct JobSubmitted {
    Job job;
    /// True if an earlier leader accepted the job. It is then never refused on submission, because it may already run.
    bool accepted = false;
};
/// A job was cancelled. Its running tasks are stopped.
struct JobCancelled {
    JobId job;
};
/// A policy was added or changed. The change also applies to jobs that are waiting or running.
struct PolicyChanged {
    Policy policy;
};
/// A team was added or its quota was changed.
struct TeamChanged {
    Team team;
};
/// A worker confirmed that the task runs. A task that is neither confirmed nor reported within one lease of its
/// placement is stopped and placed again.
struct TaskStarted {
    TaskId task;
    Epoch epoch;
};
/// A task ended, or its worker confirmed a stop. `reason` describes a failure.
struct TaskEnded {
    TaskId task;
    Epoch epoch;
    TaskEnd end = TaskEnd::Finished;
    std::string reason;
};
/// A task wrote a checkpoint from which it can be resumed. Checkpoint numbers are greater than zero.
struct TaskCheckpointed {
    TaskId task;
    Epoch epoch;
    uint64_t checkpoint = 0;
};
/// The placement could not be committed and the task was not started. The task is queued again.
struct PlacementRefused {
    TaskId task;
    Epoch epoch;
};
/// Restores the placements after a leader change. Jobs and workers must be passed in before. Tasks in `endedTasks` are
/// not run again.
struct Restored {
    std::vector<Placement> placements;
    std::vector<TaskId> endedTasks;
    Epoch nextEpoch;
};

using Event = std::variant<WorkerAnnounced, WorkerReport, WorkerLost, WorkerDraining, WorkerGone, JobSubmitted,
    JobCancelled, PolicyChanged, TeamChanged, TaskStarted, TaskEnded, TaskCheckpointed, PlacementRefused, Restored>;

// Actions.

/// Commit the placement and then start the task, unless a StopTask for the same epoch is emitted in between. The engine
/// counts the capacity as used and the lease as running from the moment this action is emitted. While replicas of a
/// service are moved or lost, the service has more tasks than declared; the indexes of these start at `Job::tasks`.
struct PlaceTask {
    Placement placement;
    uint64_t checkpoint = 0; ///< Checkpoint to resume from; 0 starts the task from the beginning.
};
/// Stop the task and do not renew its lease any more. A worker that does not run this epoch of the task also answers
/// with TaskEnded and refuses a later start of the same epoch.
struct StopTask {
    TaskId task;
    WorkerId worker;
    Epoch epoch;
    std::string reason;
};
/// Write a checkpoint of the task and then stop it. Used to preempt or move tasks that can be resumed.
struct CheckpointTask {
    TaskId task;
    WorkerId worker;
    Epoch epoch;
};
/// Change the resource limit of a running task.
struct ThrottleTask {
    TaskId task;
    WorkerId worker;
    Epoch epoch;
    Resources limit;
};
/// The job cannot run. It ends with the outcome NOT_RUN and the given reason.
struct RefuseJob {
    JobId job;
    std::string reason;
};
/// The job fits no worker that is present, but stays queued because a suitable worker may be announced later.
struct JobParked {
    JobId job;
    std::string reason;
};
/// The job has ended: none of its tasks runs or will run again.
struct JobDone {
    JobId job;
    Outcome outcome = Outcome::Ran;
    std::string reason; ///< Empty if all tasks finished.
};
/// The worker was put into quarantine or released from it.
struct WorkerQuarantined {
    WorkerId worker;
    bool quarantined = true;
    std::string reason;
};

using Action
    = std::variant<PlaceTask, StopTask, CheckpointTask, ThrottleTask, RefuseJob, JobParked, JobDone, WorkerQuarantined>;
using Actions = std::vector<Action>;

/// Input of a score function. The worker with the highest score is chosen; ties go to the lower worker id.
struct ScoreInput {
    Resources request; ///< Request of the task.
    Resources free; ///< Free resources of the worker.
    Resources capacity; ///< Total resources of the worker.
    uint32_t sameJobInRack = 0; ///< Replicas of the same service in the rack of the worker.
    uint32_t sameJobInDataCentre = 0; ///< Replicas of the same service in the data centre of the worker.
};
using ScoreFunction = std::function<double(const ScoreInput&)>;

struct EngineOptions {
    Duration taskLease = std::chrono::seconds(30); ///< Time for which a task may run without a renewal of its lease.
    Duration clockSkewBound = std::chrono::milliseconds(500); ///< Added to each lease before its capacity is reused.
    uint32_t placementsPerTick = 2'000; ///< Maximum number of placements per tick; bounds the duration of a tick.
    uint32_t poisonWorkers = 3; ///< Number of distinct workers on which a task has to fail before its job is ended.
    std::function<ScoreFunction(ScoreKind)> scoreFor; ///< Returns custom scores; if empty, the built-in ones are used.
};

/// Decides where tasks run and which tasks are stopped. Not thread-safe. Times passed to it must not decrease.
class Engine {
public:
    explicit Engine(EngineOptions options);
    ~Engine();

    /// Processes one event. Stops and refusals are returned immediately; placements follow with the next tick.
    Actions handle(const Event& event, TimePoint now);
    /// Places waiting tasks and expires leases. Must be called at least every 100 ms and after each batch of events.
    Actions tick(TimePoint now);

    /// Returns a JSON object that explains why the job waits, where and why its tasks were placed, or why it was
    /// refused, with the figures that the decisions were based on.
    std::string explain(const JobId& job) const;
    /// Returns the state of the engine as a JSON object. Long lists of jobs are truncated.
    std::string dump() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::decision
