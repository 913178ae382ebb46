#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/ids.h"

#include <cstdint>
#include <map>
#include <vector>

/// Decides the number of slots in the grants that let entries send requests to workers.
///
///     GrantPolicy policy({});
///     for (const GrantChange& change : policy.plan(input, now))
///         propose(change);
namespace turmericpier::decision {

/// A worker with the slots that it offers.
struct GrantWorker {
    WorkerId worker;
    DataCentreId dataCentre;
    RegionId region;
    std::vector<ServiceId> services; ///< Services whose requests the worker accepts.
    uint32_t slots = 8;
    uint32_t connections = 64;
    bool leaving = false; ///< All its grants are released. Also set for lost and quarantined workers.
};

/// Requests of one service at one entry.
struct GrantDemand {
    ServiceId service;
    uint32_t waiting = 0; ///< Requests queued at the entry.
    uint32_t running = 0; ///< Requests sent to workers and not yet answered.
};

/// An entry and its current demand.
struct GrantEntry {
    InstanceId entry;
    DataCentreId dataCentre;
    RegionId region;
    bool alive = true; ///< False for an entry that is lost or shuts down; its grants are released.
    std::vector<GrantDemand> demand;
};

/// An existing grant. It has to stay in the input until its lease has expired, or the entry or the worker has confirmed
/// that it is no longer used.
struct StandingGrant {
    WorkerId worker;
    InstanceId entry;
    Epoch epoch;
    uint32_t slots = 0; ///< Number last decided; 0 if the grant is withdrawn.
    uint32_t connections = 0;
    uint32_t heldSlots = 0; ///< Most slots that the entry may still use; above `slots` until it confirms a shrink.
    uint32_t heldConnections = 0;
    uint32_t inUse = 0; ///< Slots in use, as last reported by the entry.
};

/// State of the cell from which GrantPolicy::plan() computes the grants.
struct GrantInput {
    std::vector<GrantWorker> workers;
    std::vector<GrantEntry> entries;
    std::vector<StandingGrant> grants; ///< If a worker and an entry have grants of several epochs, all of them count.
};

/// A grant to create or an existing one to change.
struct GrantChange {
    enum class Kind {
        New,
        Grow,
        Shrink,
        Release, ///< Sets the slots to zero.
    };
    Kind kind = Kind::New;
    WorkerId worker;
    InstanceId entry;
    Epoch epoch; ///< Epoch of the existing grant; zero for a new one.
    uint32_t slots = 0; ///< New total of this grant.
    uint32_t connections = 0;
};

struct GrantPolicyOptions {
    /// Slots granted per running or waiting request, so that an entry can grow before its next heartbeat.
    double headroom = 1.5;
    uint32_t floorSlots = 4; ///< Slots that each live entry with any demand gets before demand is met.
    /// The floor is raised to this fraction of the entry's proportional share of all slots, limited by its demand.
    double floorShare = 0.25;
    /// Fraction of the remaining slots that is also granted to entries of the same data centre, so that a burst needs
    /// no new grant. The rest stays free for entries that grow.
    double spareShare = 0.5;
    /// Grants grow when an entry has fewer slots than its floor, or than its demand times this factor. It is below
    /// `headroom`, so that small changes of demand change no grants.
    double growMargin = 1.125;
    /// Grants shrink when they exceed this multiple of the target, or at once when another entry lacks slots.
    double shrinkFactor = 1.5;
    uint32_t shrinkSlack = 2; ///< Slots added to the bound of `shrinkFactor`.
    /// Demand is taken at its recent peak, which decays with this half-life.
    Duration demandHalfLife = std::chrono::seconds(10);
    /// Time for which an entry keeps its floor after its last demand.
    Duration floorRetention = std::chrono::minutes(10);
};

/// Plans slot grants. Only the recent peaks of demand are kept between calls; losing them only causes some additional
/// changes of grants.
class GrantPolicy {
public:
    explicit GrantPolicy(GrantPolicyOptions options);

    /// Returns the changes to the existing grants. The slots and connections that entries may still use never sum above
    /// those of a worker: slots withdrawn from one entry go to another in a later call, after the withdrawal has been
    /// confirmed. Entries get slots in their data centre first, then in their region, then over the paid link.
    std::vector<GrantChange> plan(const GrantInput& input, TimePoint now);

private:
    /// Decaying maximum of the demand.
    struct Peak {
        double value = 0;
        TimePoint at; ///< Time at which `value` was computed.
        TimePoint lastDemand;
    };
    struct DemandKey {
        InstanceId entry;
        ServiceId service;
        friend auto operator<=>(const DemandKey&, const DemandKey&) = default;
    };

    /// Updates the peak of the entry's demand for the service and returns it.
    double recentDemand(const InstanceId& entry, const GrantDemand& demand, TimePoint now);

    GrantPolicyOptions m_options;
    std::map<DemandKey, Peak> m_peaks;
};

} // namespace turmericpier::decision
