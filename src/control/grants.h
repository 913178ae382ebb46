#pragma once

#include "control/state.h"
#include "turmericpier/base/clock.h"
#include "turmericpier/decision/grant-policy.h"

#include <vector>

namespace turmericpier::peer::wire {
struct EntryHeartbeatT;
}

/// Slot grants of the entries, as the control leader manages them.
namespace turmericpier::control {

struct GrantOptions {
    Duration inRegionLease = std::chrono::minutes(75);
    Duration crossRegionLease = std::chrono::seconds(10);
    Duration clockSkewBound = std::chrono::milliseconds(500);
    Duration entryLost = std::chrono::seconds(3); ///< Without a heartbeat, after which an entry gets no new slots.
};

/// What the leader knows of one entry.
struct EntryInfo {
    InstanceId id;
    uint64_t incarnation = 0;
    DataCentreId dataCentre;
    RegionId region;
    bool isDraining = false;
    uint64_t configVersion = 0;
    TimePoint lastHeard;
    std::vector<decision::GrantDemand> demand;
    std::map<WorkerId, uint32_t> slotsInUse;
    std::set<WorkerId> streams;
};

/// Follows the leases of the grants in the replicated state and decides their changes.
class GrantManager {
public:
    /// Grants in the state count as renewed at `now`, because a former leader may just have done so.
    GrantManager(GrantOptions options, const ControlState& state, TimePoint now);

    /// The entry's grants are renewed by the reply to a heartbeat received at `now`, unless the result is false: the
    /// removal of an expired grant of the entry is on its way.
    bool renewed(const InstanceId& entry, const ControlState& state, TimePoint now);
    /// The grant has expired and its removal was proposed: the entry must not take it up again.
    bool isExpiring(const log::Grant& grant) const;
    /// Reductions that the entry confirms with this heartbeat.
    std::vector<log::Grant> confirmed(
        const peer::wire::EntryHeartbeatT& heartbeat, const ControlState& state, Index appliedVersion) const;
    /// Changes to log: expired grants are removed, then slots are shared out anew.
    std::vector<log::Grant> plan(
        const ControlState& state, const std::map<InstanceId, EntryInfo>& entries, TimePoint now);

private:
    bool hasExpired(const log::Grant& grant, TimePoint now) const;
    std::vector<log::Grant> expired(const ControlState& state, TimePoint now);
    decision::GrantInput inputFrom(
        const ControlState& state, const std::map<InstanceId, EntryInfo>& entries, TimePoint now) const;
    log::Grant changed(const ControlState& state, const EntryInfo* entry, const decision::GrantChange& change);

    GrantOptions m_options;
    decision::GrantPolicy m_policy;
    std::map<GrantKey, TimePoint> m_renewed;
    std::map<GrantKey, uint64_t> m_expiring; ///< Epochs of expired grants whose removal was proposed.
    Epoch m_nextEpoch;
};

} // namespace turmericpier::control
