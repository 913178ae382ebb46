#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/ids.h"

#include <cstdint>
#include <map>
#include <vector>

/// Sizes the slot grants which let entries send requests to workers.
///
///     GrantPolicy policy({});
///     for (const GrantChange& change : policy.plan(input, now))
///         propose(change);
namespace turmericpier::decision {

struct GrantWorker {
    WorkerId worker;
    DataCentreId dataCentre;
    RegionId region;
    std::vector<ServiceId> services; ///< Whose requests it takes.
    uint32_t slots = 8;
    uint32_t connections = 64;
    bool leaving = false; ///< Its grants are released and it gets none. Set also for lost and quarantined workers.
};

struct GrantDemand {
    ServiceId service;
    uint32_t waiting = 0;
    uint32_t running = 0;
};

struct GrantEntry {
    InstanceId entry;
    DataCentreId dataCentre;
    RegionId region;
    bool alive = true; ///< False for an entry that is lost or stops: its grants are released.
    std::vector<GrantDemand> demand;
};

/// A grant that stands. It stays in the input until the lease has ended, or the entry or the worker has confirmed that
/// it is not used any more.
struct StandingGrant {
    WorkerId worker;
    InstanceId entry;
    Epoch epoch;
    uint32_t slots = 0; ///< As last decided; 0 if withdrawn.
    uint32_t connections = 0;
    uint32_t heldSlots = 0; ///< The most that the entry may still act on; above `slots` until it confirms a shrink.
    uint32_t heldConnections = 0;
    uint32_t inUse = 0; ///< As last reported by the entry.
};

struct GrantInput {
    std::vector<GrantWorker> workers;
    std::vector<GrantEntry> entries;
    std::vector<StandingGrant> grants; ///< Several of one worker and entry (older epochs) all count.
};

struct GrantChange {
    enum class Kind {
        New,
        Grow,
        Shrink,
        Release,
    };
    Kind kind = Kind::New;
    WorkerId worker;
    InstanceId entry;
    Epoch epoch; ///< Of the standing grant that changes; zero for a new one.
    uint32_t slots = 0; ///< The new total of this grant.
    uint32_t connections = 0;
};

struct GrantPolicyOptions {
    /// Slots granted for each request running or waiting, so that growth does not wait for the next heartbeat.
    double headroom = 1.5;
    uint32_t floorSlots = 4; ///< Of a live entry with any demand, before demand is met.
    /// The floor grows to this part of an entry's proportional share of all slots.
    double floorShare = 0.25;
    /// Part of the slots left over that is granted to entries of the same data centre as well: a burst then needs no
    /// new grant. The rest stays free for entries that grow.
    double spareShare = 0.5;
    /// Grants grow as soon as there are fewer slots than the floor, or than demand times this. Below `headroom`, so
    /// that small changes of demand change nothing.
    double growMargin = 1.125;
    /// Grants are shrunk above this multiple of the target, or at once when another entry lacks the slots.
    double shrinkFactor = 1.5;
    uint32_t shrinkSlack = 2;
    /// Demand counts at its recent peak, which halves in this time.
    Duration demandHalfLife = std::chrono::seconds(10);
    Duration floorTime = std::chrono::minutes(10); ///< The floor is kept that long after the last demand.
};

/// Keeps only the recent peaks of demand between calls; losing them costs some changes of grants and nothing else.
class GrantPolicy {
public:
    explicit GrantPolicy(GrantPolicyOptions options);

    /// Changes to the standing grants. The grants of a worker, with all that may still be acted on, never sum above
    /// its slots or connections: slots taken from one entry are given to another in a later call, once confirmed.
    /// Entries get slots in their data centre first, then in their region, then over the paid link.
    std::vector<GrantChange> plan(const GrantInput& input, TimePoint now);

private:
    struct Peak {
        double value = 0;
        TimePoint at; ///< Of the value.
        TimePoint lastDemand;
    };
    struct DemandKey {
        InstanceId entry;
        ServiceId service;
        friend auto operator<=>(const DemandKey&, const DemandKey&) = default;
    };

    double recentDemand(const InstanceId& entry, const GrantDemand& demand, TimePoint now);

    GrantPolicyOptions m_options;
    std::map<DemandKey, Peak> m_peaks;
};

} // namespace turmericpier::decision
