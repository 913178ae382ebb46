#pragma once

#include "turmericpier/decision/model.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <utility>
#include <vector>

/// Finds the workers for which a preemption is worth planning, so that planPreemption() sees a few dozen candidates and
/// not the whole cell.
///
///     for (const WorkerId& worker : index.belowPriority(job.priority, job.request, 64))
///         candidates.push_back(candidateOf(worker));
namespace turmericpier::decision {

/// Running tasks of each worker, summed by priority and by team. Updates cost O(log workers).
class PreemptionIndex {
public:
    /// Adds a worker or changes its free resources, which include what stops under way will release.
    void setFree(const WorkerId& worker, const Resources& free);
    void removeWorker(const WorkerId& worker);

    /// Adds a task that could be preempted: one that is not being stopped and has its preemption bound not used up.
    /// The worker has to be there.
    void addTask(const WorkerId& worker, const TeamId& team, uint32_t priority, const Resources& limit);
    /// Removes a task that was added with the same arguments.
    void removeTask(const WorkerId& worker, const TeamId& team, uint32_t priority, const Resources& limit);

    /// Up to `max` workers on which the request fits once all tasks below the priority are stopped; those with the
    /// lowest running priority first.
    std::vector<WorkerId> belowPriority(uint32_t priority, const Resources& request, size_t max) const;
    /// Up to `max` workers on which the request fits once all tasks of the team are stopped, in order of id.
    std::vector<WorkerId> ofTeam(const TeamId& team, const Resources& request, size_t max) const;

private:
    struct Sum {
        Resources limits;
        uint32_t tasks = 0;
    };
    struct State {
        Resources free;
        absl::btree_map<uint32_t, Sum> byPriority;
        absl::btree_map<TeamId, Sum> byTeam;
    };

    void rank(const WorkerId& worker, const State& state);
    void unrank(const WorkerId& worker, const State& state);

    absl::btree_map<WorkerId, State> m_workers;
    absl::btree_set<std::pair<uint32_t, WorkerId>> m_byLowest; ///< By the lowest running priority.
    absl::btree_map<TeamId, absl::btree_set<WorkerId>> m_ofTeam;
};

} // namespace turmericpier::decision
