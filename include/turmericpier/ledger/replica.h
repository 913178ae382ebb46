#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/consensus/group.h"
#include "turmericpier/peer/transport.h"
#include "turmericpier/settings/settings.h"

#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <vector>

/// The ledger role of one instance for one region.
namespace turmericpier::log {
class Claim;
}

namespace turmericpier::ledger {

/// Name of the replicated log of a region's ledger.
GroupId groupOf(const RegionId& region);

/// A replica of one region's ledger; its leader takes batches and answers reads. Callable from any thread.
class Replica {
public:
    using Send = std::function<bool(const InstanceId& to, peer::Envelope envelope)>;

    static absl::StatusOr<std::unique_ptr<Replica>> open(
        const settings::Settings& settings, const RegionId& region, Send send, const Clock& clock, Metrics& metrics);
    ~Replica();

    void start();
    /// Hands leadership over if there is another voter, then stops.
    void stop();
    void receiveConsensus(const InstanceId& from, consensus::Message message);
    void submit(peer::Envelope envelope); ///< A body of type LedgerSubmit; the reply goes to the sender.
    void read(peer::Envelope envelope); ///< A body of type LedgerRead.
    /// To be called about every second: asks another replica for outcomes that a snapshot named and that are missing
    /// here.
    void requestBackfill();
    void handleBackfillReply(const peer::Envelope& envelope); ///< A body of type LedgerReadReply that answers requestBackfill().
    /// On the leader, claims that have had no outcome for at least `age`; empty on other replicas.
    std::vector<log::Claim> abandonedClaims(Duration age);
    std::string dump() const; ///< JSON object.

private:
    struct Impl;
    explicit Replica(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::ledger
