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
    Service, ///< Long-running replicas that are spread over racks and data centres.
    Gang, ///< Tasks that are placed all at once or not at all.
};

/// Built-in score functions.
enum class ScoreKind {
    Mixed, ///< Balances short waits and tight packing.
    WaitingFirst, ///< Prefers short waits.
    PackingFirst, ///< Prefers tight packing.
};

/// Lowest priority of urgent jobs, which start within 3.5 s even if the cell is full.
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
    Resources quota; ///< Guaranteed resources. Idle quota can be borrowed by other teams; preemption reclaims it.
};

struct Policy {
    PolicyId id;
    ScoreKind score = ScoreKind::Mixed;
    uint32_t maxPreemptions = 3; ///< Maximum number of preemptions per task.
    uint32_t maxRetries = 3; ///< Maximum number of retries after failures per task.
};

struct Job {
    JobId id;
    TeamId team;
    PolicyId policy;
    JobKind kind = JobKind::Batch;
    uint32_t tasks = 1;
    Resources request; ///< Declared resources per task.
    uint32_t priority = 0;
    Duration declaredRunTime { 0 }; ///< Zero if unknown. Backfill never relies on it alone.
    std::string family; ///< Jobs of the same family share learned task sizes. Empty disables learning.
    uint32_t minAvailable = 0; ///< Minimum number of replicas of a service that preemption and draining keep running.
};

/// Returns the id of task `index` of a job: the job id, a dot and the index.
TaskId taskIdOf(const JobId& job, uint32_t index);

enum class TaskEnd {
    Finished,
    Failed,
    Stopped, ///< The worker confirmed that the task does not run any more.
};

/// Resource usage of a running task as reported by its worker. Reports lag behind the actual usage.
struct TaskUsage {
    TaskId task;
    Epoch epoch;
    Resources usage;
};

/// Assignment of a task to a worker, as recorded in the replicated state.
struct Placement {
    TaskId task;
    WorkerId worker;
    Epoch epoch;
    Resources limit;
    /// Incarnation of the worker when the task was placed; zero if not known. A later incarnation must refuse the
    /// start.
    Incarnation incarnation;
};

} // namespace turmericpier::decision
