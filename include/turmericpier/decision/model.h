#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/error.h"
#include "turmericpier/base/ids.h"
#include "turmericpier/base/units.h"

#include <string>
#include <vector>

/// Value types of the decision engine.
namespace turmericpier::decision {

enum class JobKind {
    Batch,
    Service, ///< Long-running replicas, spread over racks and data centres.
    Gang, ///< All tasks or none.
};

enum class ScoreKind {
    Mixed,
    WaitingFirst,
    PackingFirst,
};

/// Jobs of this priority or above are urgent: they start within 3.5 s also on a full cell.
inline constexpr uint32_t urgentPriority = 1'000;

struct Worker {
    WorkerId id;
    DataCentreId dataCentre;
    RegionId region;
    RackId rack;
    Resources capacity;
};

struct Team {
    TeamId id;
    Resources quota; ///< Guaranteed; idle quota of others may be borrowed and is reclaimed by preemption.
};

struct Policy {
    PolicyId id;
    ScoreKind score = ScoreKind::Mixed;
    uint32_t maxPreemptions = 3; ///< Per task; a task preempted that often is not preempted again.
    uint32_t maxRetries = 3; ///< Per task.
};

struct Job {
    JobId id;
    TeamId team;
    PolicyId policy;
    JobKind kind = JobKind::Batch;
    uint32_t tasks = 1;
    Resources request; ///< Per task, as declared.
    uint32_t priority = 0;
    Duration declaredRunTime { 0 }; ///< Zero if unknown; never trusted for backfill on its own.
    std::string family; ///< Jobs of one family share learned sizes.
    uint32_t minAvailable = 0; ///< Floor of running replicas of a service.
};

/// Id of task `index` of a job: the job id, a dot and the index.
TaskId taskIdOf(const JobId& job, uint32_t index);

enum class TaskEnd {
    Finished,
    Failed,
    Stopped, ///< Confirmed: nothing of the task runs any more.
};

/// Usage of one running task as reported, with a lag.
struct TaskUsage {
    TaskId task;
    Epoch epoch;
    Resources usage;
};

/// A placement that stands in the replicated state.
struct Placement {
    TaskId task;
    WorkerId worker;
    Epoch epoch;
    Resources limit;
    /// Of the worker when the task was placed. A later incarnation has to refuse the start. Zero if not known.
    Incarnation incarnation;
};

} // namespace turmericpier::decision
