#pragma once

#include "turmericpier/decision/model.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <compare>
#include <optional>
#include <vector>

/// Dominant-resource fairness (DRF) with guaranteed quotas per team.
///
///     FairShare shares;
///     shares.setCapacity(cell);
///     shares.setTeam(team);
///     shares.setWaiting(team.id, true);
///     if (auto next = shares.next(); shares.admission(*next, request) != FairShare::Admission::Refused)
///         shares.addUsage(*next, request);
namespace turmericpier::decision {

/// Tracks the quota and usage of each team and orders the teams that have waiting tasks. An update of one team takes
/// O(log teams).
class FairShare {
public:
    /// Whether a team may start a task.
    enum class Admission {
        Quota, ///< The task fits into the team's own quota.
        Borrowed, ///< The task exceeds the team's quota and uses idle quota of other teams.
        Refused, ///< The task fits neither into the team's quota nor into idle quota.
    };

    /// A team whose usage exceeds its quota.
    struct OverQuota {
        TeamId team;
        Resources excess; ///< Usage above quota; zero in each dimension that is within quota.
        double share = 0; ///< Largest excess of any dimension as a fraction of the cell's capacity.
    };

    /// Sets the capacity of the whole cell. Capacity that no quota covers can be borrowed. Takes O(teams log teams).
    void setCapacity(const Resources& capacity);
    /// Adds a team or changes its quota. A team that has not been set has a quota of zero.
    void setTeam(const Team& team);
    /// Removes the team's quota. The team keeps its usage and its waiting state.
    void removeTeam(const TeamId& team);

    /// Sets whether the team has tasks that wait for placement.
    void setWaiting(const TeamId& team, bool waiting);
    /// Adds the resources of a started task to the team's usage.
    void addUsage(const TeamId& team, const Resources& resources);
    /// Subtracts the resources of an ended task from the team's usage.
    void removeUsage(const TeamId& team, const Resources& resources);

    /// Returns whether the team may start a task of this size now. Waiting tasks of other teams do not prevent
    /// borrowing: next() returns those teams first, and borrowed quota can be reclaimed.
    Admission admission(const TeamId& team, const Resources& request) const;

    /// Returns the waiting team to serve next: teams within quota come before borrowers, then the team with the lowest
    /// ratio of usage to quota.
    std::optional<TeamId> next() const;
    /// Returns the waiting team after `team` in the order of next(), for use when no task of `team` can be placed.
    std::optional<TeamId> nextAfter(const TeamId& team) const;

    /// Returns the teams above their quota, largest excess first.
    std::vector<OverQuota> overQuota() const;
    /// Returns the team's usage above its quota.
    Resources excess(const TeamId& team) const;
    bool isOverQuota(const TeamId& team) const { return excess(team) != Resources {}; }

    Resources usage(const TeamId& team) const;
    Resources quota(const TeamId& team) const;
    /// Returns the largest fraction of any resource of the cell that the team uses.
    double dominantShare(const TeamId& team) const;

private:
    struct State {
        Resources quota;
        Resources usage;
        bool waiting = false;

        friend bool operator==(const State&, const State&) = default;
    };
    /// Sort key of a team; lower ranks come first.
    struct Rank {
        bool borrows = false;
        double ratio = 0;
        TeamId team;

        friend bool operator==(const Rank&, const Rank&) = default;
        friend std::partial_ordering operator<=>(const Rank&, const Rank&) = default;
    };

    /// Returns the dominant share of the resources in the capacity of the cell.
    double shareOf(const Resources& resources) const;
    Rank rankOf(const TeamId& team, const State& state) const;
    Rank excessRankOf(const TeamId& team, const State& state) const;
    void eraseRanks(const TeamId& team, const State& state);
    void insertRanks(const TeamId& team, const State& state);
    /// Applies `change` to the team's state and moves the team to its new ranks.
    template <typename Change> void update(const TeamId& team, const Change& change);
    const State& stateOf(const TeamId& team) const;

    absl::btree_map<TeamId, State> m_teams;
    absl::btree_set<Rank> m_waiting;
    absl::btree_set<Rank> m_overQuota; ///< Ranked by the negated excess, so that the largest comes first.
    Resources m_capacity;
    Resources m_quotas; ///< Sum of the quotas of all teams.
    Resources m_usage; ///< Sum of the usage of all teams.
};

} // namespace turmericpier::decision
