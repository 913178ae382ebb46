#pragma once

#include "control/state.h"
#include "turmericpier/base/clock.h"
#include "turmericpier/decision/grant-policy.h"

#include <vector>

namespace turmericpier::peer::wire {
struct EntryHeartbeatT;
}

/// Management of the slot grants of entries by the control leader.
namespace turmericpier::control {

struct GrantOptions {
    Duration inRegionLease = std::chrono::minutes(75); ///< Lease of a grant on a worker in the entry's own region.
    Duration crossRegionLease = std::chrono::seconds(10); ///< Lease of a grant on a worker in another region.
    Duration clockSkewBound = std::chrono::milliseconds(500);
    Duration entryTimeout = std::chrono::seconds(3); ///< An entry without a heartbeat for this long gets no new slots.
};

/// The last heartbeat of an entry, as the leader keeps it.
struct EntryInfo {
    InstanceId id;
    uint64_t incarnation = 0;
    DataCentreId dataCentre;
    RegionId region;
    bool isDraining = false;
    uint64_t configVersion = 0;
    TimePoint lastHeartbeat;
    std::vector<decision::GrantDemand> demand;
    std::map<WorkerId, uint32_t> slotsInUse;
    std::set<WorkerId> streams; ///< Workers whose stream the entry holds.
};

/// Tracks the leases of the grants in the replicated state and plans changes to the grants.
class GrantManager {
public:
    /// Treats every grant in the state as renewed at `now`, because a former leader may have renewed it just before.
    GrantManager(GrantOptions options, const ControlState& state, TimePoint now);

    /// Renews the grants of the entry as of `now`, the time at which its heartbeat was received. Returns false and
    /// renews nothing while the removal of an expired grant of the entry is being replicated.
    bool renewLeases(const InstanceId& entry, const ControlState& state, TimePoint now);
    /// Returns true if the grant has expired and its removal was proposed; the entry must not use it again.
    bool isExpiring(const log::Grant& grant) const;
    /// Returns the grants whose reduction the entry confirms with this heartbeat, with the held amounts lowered to the
    /// granted ones. A heartbeat that has not seen the grants of `appliedVersion` confirms nothing.
    std::vector<log::Grant> findConfirmedReductions(
        const peer::wire::EntryHeartbeatT& heartbeat, const ControlState& state, Index appliedVersion) const;
    /// Returns the grant changes to replicate: the removal of expired grants or, if there are none, the changes that
    /// the grant policy plans.
    std::vector<log::Grant> plan(
        const ControlState& state, const std::map<InstanceId, EntryInfo>& entries, TimePoint now);

private:
    bool hasExpired(const log::Grant& grant, TimePoint now) const;
    /// Marks the grants whose lease has ended as expiring and returns their removals.
    std::vector<log::Grant> expireGrants(const ControlState& state, TimePoint now);
    decision::GrantInput buildPolicyInput(
        const ControlState& state, const std::map<InstanceId, EntryInfo>& entries, TimePoint now) const;
    /// Builds the grant that the planned change results in, with a new epoch. `entry` is null if the entry is not
    /// known.
    log::Grant buildGrant(const ControlState& state, const EntryInfo* entry, const decision::GrantChange& change);

    GrantOptions m_options;
    decision::GrantPolicy m_policy;
    std::map<GrantKey, TimePoint> m_renewedAt; ///< Start of the current lease.
    std::map<GrantKey, uint64_t> m_expiring; ///< Epochs of the expired grants whose removal was proposed.
    Epoch m_nextEpoch;
};

} // namespace turmericpier::control
