#include "turmericpier/decision/preemption-index.h"

namespace turmericpier::decision {

void PreemptionIndex::setFree(const WorkerId& worker, const Resources& free) { m_workers[worker].free = free; }

void PreemptionIndex::removeWorker(const WorkerId& worker)
{
    auto it = m_workers.find(worker);
    if (it == m_workers.end())
        return;
    eraseRank(worker, it->second);
    for (const auto& [team, sum] : it->second.byTeam)
        m_ofTeam[team].erase(worker);
    m_workers.erase(it);
}

void PreemptionIndex::addTask(const WorkerId& worker, const TeamId& team, uint32_t priority, const Resources& limit)
{
    State& state = m_workers.at(worker);
    eraseRank(worker, state);
    for (Sum* sum : { &state.byPriority[priority], &state.byTeam[team] }) {
        sum->limits += limit;
        ++sum->tasks;
    }
    m_ofTeam[team].insert(worker);
    insertRank(worker, state);
}

void PreemptionIndex::removeTask(const WorkerId& worker, const TeamId& team, uint32_t priority, const Resources& limit)
{
    auto it = m_workers.find(worker);
    if (it == m_workers.end())
        return;
    State& state = it->second;
    eraseRank(worker, state);
    const auto subtract = [&](auto& sums, const auto& key) {
        Sum& sum = sums[key];
        sum.limits -= limit;
        if (--sum.tasks > 0)
            return false;
        sums.erase(key);
        return true;
    };
    subtract(state.byPriority, priority);
    if (subtract(state.byTeam, team))
        m_ofTeam[team].erase(worker);
    insertRank(worker, state);
}

std::vector<WorkerId> PreemptionIndex::belowPriority(uint32_t priority, const Resources& request, size_t max) const
{
    std::vector<WorkerId> result;
    for (const auto& [lowest, worker] : m_byLowestPriority) {
        if (lowest >= priority || result.size() >= max)
            break;
        const State& state = m_workers.at(worker);
        Resources available = state.free;
        for (const auto& [taskPriority, sum] : state.byPriority) {
            if (taskPriority >= priority || fits(request, available))
                break;
            available += sum.limits;
        }
        if (fits(request, available))
            result.push_back(worker);
    }
    return result;
}

std::vector<WorkerId> PreemptionIndex::ofTeam(const TeamId& team, const Resources& request, size_t max) const
{
    std::vector<WorkerId> result;
    auto it = m_ofTeam.find(team);
    if (it == m_ofTeam.end())
        return result;
    for (const WorkerId& worker : it->second) {
        if (result.size() >= max)
            break;
        const State& state = m_workers.at(worker);
        if (fits(request, state.free + state.byTeam.at(team).limits))
            result.push_back(worker);
    }
    return result;
}

void PreemptionIndex::insertRank(const WorkerId& worker, const State& state)
{
    if (!state.byPriority.empty())
        m_byLowestPriority.emplace(state.byPriority.begin()->first, worker);
}

void PreemptionIndex::eraseRank(const WorkerId& worker, const State& state)
{
    if (!state.byPriority.empty())
        m_byLowestPriority.erase({ state.byPriority.begin()->first, worker });
}

} // namespace turmericpier::decision
