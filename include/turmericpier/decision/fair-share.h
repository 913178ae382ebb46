#pragma once

#include "turmericpier/decision/model.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <compare>
#include <optional>
#include <vector>

/// Quotas and dominant-resource fair shares of teams.
///
///     FairShare shares;
///     shares.setCapacity(cell);
///     shares.setTeam(team);
///     shares.setWaiting(team.id, true);
///     if (auto next = shares.next(); shares.admission(*next, request) != FairShare::Admission::Refused)
///         shares.addUsage(*next, request);
namespace turmericpier::decision {

/// Usage and quota per team. Updates of one team cost O(log teams).
class FairShare {
public:
    enum class Admission {
        Quota, ///< Within the team's own quota.
        Borrowed, ///< Above it, from quota that others leave idle.
        Refused,
    };

    struct OverQuota {
        TeamId team;
        Resources excess; ///< Usage above quota; zero in the dimensions within quota.
        double share = 0; ///< Largest excess as a share of the cell's capacity.
    };

    /// Capacity of the whole cell. What no quota covers can be borrowed. Costs O(teams log teams).
    void setCapacity(const Resources& capacity);
    /// Adds a team or changes its quota. A team that was not set has no quota.
    void setTeam(const Team& team);
    /// Drops the quota; usage and waiting work of the team stay.
    void removeTeam(const TeamId& team);

    /// Says whether the team has tasks that wait for a place.
    void setWaiting(const TeamId& team, bool waiting);
    void addUsage(const TeamId& team, const Resources& resources);
    void removeUsage(const TeamId& team, const Resources& resources);

    /// Whether the team may start a task of this size now. Waiting work of other teams does not prevent borrowing: the
    /// order of next() serves them first, and what is borrowed can be reclaimed.
    Admission admission(const TeamId& team, const Resources& request) const;

    /// The waiting team to serve next: teams within quota before borrowers, then the lowest usage relative to quota.
    std::optional<TeamId> next() const;
    /// The waiting team after `team` in that order, for when nothing of `team` can be placed.
    std::optional<TeamId> nextAfter(const TeamId& team) const;

    /// Teams above their quota, largest excess first.
    std::vector<OverQuota> overQuota() const;
    /// Usage of the team above its quota.
    Resources excess(const TeamId& team) const;
    bool isOverQuota(const TeamId& team) const { return excess(team) != Resources {}; }

    Resources usage(const TeamId& team) const;
    Resources quota(const TeamId& team) const;
    /// Largest share that the team has of any resource of the cell.
    double dominantShare(const TeamId& team) const;

private:
    struct State {
        Resources quota;
        Resources usage;
        bool waiting = false;

        friend bool operator==(const State&, const State&) = default;
    };
    struct Rank {
        bool borrows = false;
        double ratio = 0;
        TeamId team;

        friend bool operator==(const Rank&, const Rank&) = default;
        friend std::partial_ordering operator<=>(const Rank&, const Rank&) = default;
    };

    double shareOf(const Resources& resources) const;
    Rank rankOf(const TeamId& team, const State& state) const;
    Rank excessRankOf(const TeamId& team, const State& state) const;
    void unrank(const TeamId& team, const State& state);
    void rank(const TeamId& team, const State& state);
    template <typename Change> void update(const TeamId& team, const Change& change);
    const State& stateOf(const TeamId& team) const;

    absl::btree_map<TeamId, State> m_teams;
    absl::btree_set<Rank> m_waiting;
    absl::btree_set<Rank> m_overQuota; ///< Ratio is the negative excess, so that the largest comes first.
    Resources m_capacity;
    Resources m_quotas; ///< Sum over teams.
    Resources m_usage; ///< Sum over teams.
};

} // namespace turmericpier::decision
