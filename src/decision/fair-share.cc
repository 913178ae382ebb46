#include "turmericpier/decision/fair-share.h"

#include <algorithm>

namespace turmericpier::decision {

namespace {

    // Lower bound of the quota share in the ratio of usage to quota, which keeps the ratio finite for teams without a
    // quota. They still rank after every team within a quota.
    constexpr double minQuotaShare = 1e-6;

    double ratio(int64_t part, int64_t whole)
    {
        return part <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(std::max<int64_t>(whole, 1));
    }

    // Returns true if one resource fits into the team's quota or, with the usage of all teams, into `borrowable`, which
    // all teams share.
    bool canBorrow(int64_t wanted, int64_t quota, int64_t total, int64_t borrowable)
    {
        return wanted <= quota || total <= borrowable;
    }

} // namespace

void FairShare::setCapacity(const Resources& capacity)
{
    m_waiting.clear();
    m_overQuota.clear();
    m_capacity = capacity;
    for (const auto& [team, state] : m_teams)
        insertRanks(team, state);
}

void FairShare::setTeam(const Team& team)
{
    update(team.id, [&](State& state) {
        m_quotas += team.quota - state.quota;
        state.quota = team.quota;
    });
}

void FairShare::removeTeam(const TeamId& team) { setTeam(Team { team, {} }); }

void FairShare::setWaiting(const TeamId& team, bool waiting)
{
    update(team, [&](State& state) { state.waiting = waiting; });
}

void FairShare::addUsage(const TeamId& team, const Resources& resources)
{
    update(team, [&](State& state) {
        state.usage += resources;
        m_usage += resources;
    });
}

void FairShare::removeUsage(const TeamId& team, const Resources& resources)
{
    update(team, [&](State& state) {
        state.usage -= resources;
        m_usage -= resources;
    });
}

FairShare::Admission FairShare::admission(const TeamId& team, const Resources& request) const
{
    const State& state = stateOf(team);
    const Resources wanted = state.usage + request;
    if (fits(wanted, state.quota))
        return Admission::Quota;
    const Resources total = m_usage + request;
    const Resources& quota = state.quota;
    const bool canBorrowAll = canBorrow(wanted.cpu.value, quota.cpu.value, total.cpu.value,
                                  std::max(m_capacity.cpu.value, m_quotas.cpu.value))
        && canBorrow(wanted.memory.value, quota.memory.value, total.memory.value,
            std::max(m_capacity.memory.value, m_quotas.memory.value))
        && canBorrow(wanted.accelerators.value, quota.accelerators.value, total.accelerators.value,
            std::max(m_capacity.accelerators.value, m_quotas.accelerators.value));
    return canBorrowAll ? Admission::Borrowed : Admission::Refused;
}

std::optional<TeamId> FairShare::next() const
{
    if (m_waiting.empty())
        return std::nullopt;
    return m_waiting.begin()->team;
}

std::optional<TeamId> FairShare::nextAfter(const TeamId& team) const
{
    auto it = m_waiting.upper_bound(rankOf(team, stateOf(team)));
    if (it == m_waiting.end())
        return std::nullopt;
    return it->team;
}

std::vector<FairShare::OverQuota> FairShare::overQuota() const
{
    std::vector<OverQuota> result;
    result.reserve(m_overQuota.size());
    for (const Rank& rank : m_overQuota)
        result.push_back({ rank.team, excess(rank.team), -rank.ratio });
    return result;
}

Resources FairShare::excess(const TeamId& team) const
{
    const State& state = stateOf(team);
    return excessOver(state.usage, state.quota);
}

Resources FairShare::usage(const TeamId& team) const { return stateOf(team).usage; }

Resources FairShare::quota(const TeamId& team) const { return stateOf(team).quota; }

double FairShare::dominantShare(const TeamId& team) const { return shareOf(stateOf(team).usage); }

double FairShare::shareOf(const Resources& resources) const
{
    return std::max(
        { ratio(resources.cpu.value, m_capacity.cpu.value), ratio(resources.memory.value, m_capacity.memory.value),
            ratio(resources.accelerators.value, m_capacity.accelerators.value) });
}

FairShare::Rank FairShare::rankOf(const TeamId& team, const State& state) const
{
    const bool borrows = state.quota == Resources {} || !fits(state.usage, state.quota);
    return { borrows, shareOf(state.usage) / std::max(shareOf(state.quota), minQuotaShare), team };
}

FairShare::Rank FairShare::excessRankOf(const TeamId& team, const State& state) const
{
    return { true, -shareOf(excessOver(state.usage, state.quota)), team };
}

void FairShare::eraseRanks(const TeamId& team, const State& state)
{
    if (state.waiting)
        m_waiting.erase(rankOf(team, state));
    if (!fits(state.usage, state.quota))
        m_overQuota.erase(excessRankOf(team, state));
}

void FairShare::insertRanks(const TeamId& team, const State& state)
{
    if (state.waiting)
        m_waiting.insert(rankOf(team, state));
    if (!fits(state.usage, state.quota))
        m_overQuota.insert(excessRankOf(team, state));
}

template <typename Change> void FairShare::update(const TeamId& team, const Change& change)
{
    State& state = m_teams[team];
    eraseRanks(team, state);
    change(state);
    insertRanks(team, state);
    if (state == State {})
        m_teams.erase(team);
}

const FairShare::State& FairShare::stateOf(const TeamId& team) const
{
    static const State none;
    auto it = m_teams.find(team);
    return it == m_teams.end() ? none : it->second;
}

} // namespace turmericpier::decision
