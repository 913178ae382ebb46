#pragma once

#include "turmericpier/decision/model.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <utility>
#include <vector>

/// Selects the workers on which preemption can make room, so that planPreemption() has to look at a few dozen
/// candidates instead of the whole cell.
///
///     for (const WorkerId& worker : index.belowPriority(job.priority, job.request, 64))
///         candidates.push_back(candidateOf(worker));
namespace turmericpier::decision {

/// Sums the limits of the running tasks of each worker by priority and by team. An update takes O(log workers).
class PreemptionIndex {
public:
    /// Adds a worker or changes its free resources, which include those that pending stops will release.
    void setFree(const WorkerId& worker, const Resources& free);
    void removeWorker(const WorkerId& worker);

    /// Adds a task that can be preempted: it is not being stopped and has not reached its limit of preemptions. The
    /// worker has to be in the index.
    void addTask(const WorkerId& worker, const TeamId& team, uint32_t priority, const Resources& limit);
    /// Removes a task that was added with the same arguments.
    void removeTask(const WorkerId& worker, const TeamId& team, uint32_t priority, const Resources& limit);

    /// Returns up to `max` workers on which the request fits if all tasks below the priority are stopped. Workers with
    /// the lowest running priority come first.
    std::vector<WorkerId> belowPriority(uint32_t priority, const Resources& request, size_t max) const;
    /// Returns up to `max` workers on which the request fits if all tasks of the team are stopped, ordered by id.
    std::vector<WorkerId> ofTeam(const TeamId& team, const Resources& request, size_t max) const;

private:
    /// Totals of the tasks of one priority or team.
    struct Sum {
        Resources limits;
        uint32_t tasks = 0;
    };
    struct State {
        Resources free;
        absl::btree_map<uint32_t, Sum> byPriority;
        absl::btree_map<TeamId, Sum> byTeam;
    };

    void insertRank(const WorkerId& worker, const State& state);
    void eraseRank(const WorkerId& worker, const State& state);

    absl::btree_map<WorkerId, State> m_workers;
    absl::btree_set<std::pair<uint32_t, WorkerId>> m_byLowestPriority; ///< Workers by their lowest running priority.
    absl::btree_map<TeamId, absl::btree_set<WorkerId>> m_ofTeam;
};

} // namespace turmericpier::decision
