#pragma once

#include "turmericpier/decision/model.h"

#include <functional>
#include <optional>
#include <span>
#include <vector>

/// Plans which running tasks to stop so that a request fits on a worker.
///
///     if (auto plan = planPreemption(request, candidates, {}))
///         for (const PreemptionVictim& victim : plan->victims)
///             stop(victim); // checkpointed first where victim.checkpointFirst
namespace turmericpier::decision {

/// A running task as the planner sees it.
struct RunningTask {
    TaskId task;
    JobId job;
    TeamId team;
    JobKind kind = JobKind::Batch;
    uint32_t priority = 0;
    Resources limit; ///< Released when the task has stopped.
    Duration running { 0 }; ///< Since its start.
    Duration lostWork { 0 }; ///< Since its last checkpoint, or its start; for a gang the sum over its tasks.
    bool canResume = false; ///< It has checkpointed before, so that a checkpoint on request can be expected.
    bool stopping = false; ///< A stop is under way: no victim, and its resources are counted as `incoming`.
    uint32_t preemptions = 0;
    uint32_t maxPreemptions = 3;
};

/// A worker on which the request could run.
struct PreemptionCandidate {
    WorkerId worker;
    Resources free;
    Resources incoming; ///< Of tasks being stopped that no other request has claimed.
    std::vector<RunningTask> tasks;
};

struct PreemptionRequest {
    TeamId team;
    Resources request;
    uint32_t priority = 0;
    /// The team is within its quota with this request, so that it may also reclaim what others borrowed, from tasks of
    /// any priority. A borrower that is not urgent stops lower priorities only in its own team and in teams over quota:
    /// others would reclaim the place at once.
    bool withinQuota = false;
};

struct PreemptionOptions {
    /// A task that was preempted before is not preempted again until it ran that long, unless for urgent work. A first
    /// preemption is allowed at any age: a young task loses least, and the work that needs the place need not wait.
    Duration minRunning = std::chrono::seconds(60);
    /// Work counted as lost for each stop besides what ran since the checkpoint: fetching data and starting again.
    Duration restartCost = std::chrono::seconds(30);
    /// Time a victim has for its checkpoint before it is stopped without one.
    Duration checkpointTime = std::chrono::seconds(10);
    /// The same for urgent work. Commands and reports travel by 200 ms heartbeats, so that 1.5 s of the 3.5 s remain.
    Duration urgentCheckpointTime = std::chrono::milliseconds(1'500);
    uint32_t maxVictims = 8; ///< Per worker; a plan that stops more is refused.
    /// Replicas of a service job above its floor; not called for other jobs. Without it services are never stopped.
    std::function<uint32_t(const JobId&)> spareReplicas;
    /// Usage of a team above its quota. Without it no team is over quota.
    std::function<Resources(const TeamId&)> excess;
};

struct PreemptionVictim {
    TaskId task;
    WorkerId worker;
    bool checkpointFirst = false;
    Duration checkpointTime { 0 }; ///< After it the task is stopped without a checkpoint.
    double cost = 0;
};

struct PreemptionPlan {
    WorkerId worker;
    std::vector<PreemptionVictim> victims; ///< Empty if the request fits once the stops under way are done.
    double cost = 0; ///< In seconds of lost work, weighted; see costOf().
};

/// Cost of stopping the task, in weighted seconds: lost work and restart cost, doubled if it cannot resume, halved for
/// a team over quota, and growing with its priority.
double costOf(const RunningTask& task, bool overQuota, const PreemptionOptions& options);

/// The cheapest plan on any of the candidates; none if the request cannot be made to fit. Ties go to fewer victims,
/// then to the earlier candidate.
std::optional<PreemptionPlan> planPreemption(const PreemptionRequest& request,
    std::span<const PreemptionCandidate> candidates, const PreemptionOptions& options);

/// Plans for `count` tasks of a gang, several of which may share a worker: all tasks or an empty result. A gang that is
/// stopped in part has to be stopped as a whole by the caller.
std::vector<PreemptionPlan> planGangPreemption(const PreemptionRequest& request, uint32_t count,
    std::span<const PreemptionCandidate> candidates, const PreemptionOptions& options);

} // namespace turmericpier::decision
