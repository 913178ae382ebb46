#pragma once

#include "turmericpier/decision/model.h"

#include <functional>
#include <optional>
#include <span>
#include <vector>

/// Plans which running tasks to preempt so that a request fits on a worker.
///
///     if (auto plan = planPreemption(request, candidates, {}))
///         for (const PreemptionVictim& victim : plan->victims)
///             stop(victim); // checkpointed first where victim.checkpointFirst
namespace turmericpier::decision {

/// A running task that may be preempted.
struct RunningTask {
    TaskId task;
    JobId job;
    TeamId team;
    JobKind kind = JobKind::Batch;
    uint32_t priority = 0;
    Resources limit; ///< Resources that are released when the task has stopped.
    Duration running { 0 }; ///< Time since the task started.
    Duration lostWork { 0 }; ///< Time since its last checkpoint or its start; for a gang the sum over its tasks.
    /// The task has written a checkpoint before, so that it is expected to write one on request.
    bool canResume = false;
    /// The task is already being stopped. It is never a victim; its resources are part of
    /// PreemptionCandidate::releasing.
    bool stopping = false;
    uint32_t preemptions = 0; ///< How often the task has been preempted.
    uint32_t maxPreemptions = 3; ///< Number of preemptions after which the task is no longer a victim.
};

/// A worker on which the request could run.
struct PreemptionCandidate {
    WorkerId worker;
    Resources free;
    Resources releasing; ///< Resources of tasks being stopped that no other request has claimed.
    std::vector<RunningTask> tasks;
};

/// A task that needs a place.
struct PreemptionRequest {
    TeamId team;
    Resources request;
    uint32_t priority = 0;
    /// The request fits into the team's quota. The team may then also reclaim borrowed quota, from tasks of any
    /// priority. A request above quota that is not urgent only preempts lower priorities of its own team and of teams
    /// over quota, because a team within quota would reclaim the place at once.
    bool withinQuota = false;
};

struct PreemptionOptions {
    /// Time for which a task that was preempted before has to run until it can be preempted again, except by urgent
    /// requests. The first preemption is allowed at any age: a young task loses the least work, and the request does
    /// not have to wait.
    Duration minRunning = std::chrono::seconds(60);
    /// Cost of each stop in addition to the lost work: fetching data and starting again.
    Duration restartCost = std::chrono::seconds(30);
    /// Time that a victim has to write a checkpoint before it is stopped without one.
    Duration checkpointTime = std::chrono::seconds(10);
    /// The same for urgent requests, which have to start within 3.5 s. Commands and reports are sent with heartbeats
    /// every 200 ms, which leaves 1.5 s for the checkpoint.
    Duration urgentCheckpointTime = std::chrono::milliseconds(1'500);
    uint32_t maxVictims = 8; ///< Per worker; a plan with more victims is rejected.
    /// Returns the number of running replicas above the floor of a service job; not called for other jobs. If empty,
    /// services are never preempted.
    std::function<uint32_t(const JobId&)> spareReplicas;
    /// Returns the usage of a team above its quota. If empty, no team is over quota.
    std::function<Resources(const TeamId&)> excess;
};

/// A task to preempt.
struct PreemptionVictim {
    TaskId task;
    WorkerId worker;
    bool checkpointFirst = false;
    Duration checkpointTime { 0 }; ///< Time after which the task is stopped without a checkpoint.
    double cost = 0; ///< See costOf(); zero for further tasks of a gang that is stopped anyway.
};

/// The tasks to stop on one worker.
struct PreemptionPlan {
    WorkerId worker;
    std::vector<PreemptionVictim> victims; ///< Empty if the request fits once the pending stops have finished.
    double cost = 0; ///< Sum of the costs of the victims in weighted seconds; see costOf().
};

/// Returns the cost of stopping the task in weighted seconds: lost work plus restart cost, doubled if the task cannot
/// resume from a checkpoint, halved if its team is over quota, and increasing with its priority.
double costOf(const RunningTask& task, bool overQuota, const PreemptionOptions& options);

/// Returns the cheapest plan on any of the candidates, or nothing if the request fits on none of them. Of plans with
/// equal cost the one with fewer victims is chosen, then the one of the earlier candidate.
std::optional<PreemptionPlan> planPreemption(const PreemptionRequest& request,
    std::span<const PreemptionCandidate> candidates, const PreemptionOptions& options);

/// Returns a plan for each of the `count` tasks of a gang, several of which may share a worker, or an empty vector if
/// some of them cannot be placed. If a victim belongs to a gang, the caller has to stop that whole gang.
std::vector<PreemptionPlan> planGangPreemption(const PreemptionRequest& request, uint32_t count,
    std::span<const PreemptionCandidate> candidates, const PreemptionOptions& options);

} // namespace turmericpier::decision
