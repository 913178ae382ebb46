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

namespace turmericpier::log {
class Claim;
}

/// Implements the ledger role of an instance.
namespace turmericpier::ledger {

/// Returns the id of the consensus group that replicates the ledger of a region.
GroupId groupOf(const RegionId& region);

/// Replica of the ledger of one region. The leader accepts batches and answers reads. All functions are thread-safe.
class Replica {
public:
    using Send = std::function<bool(const InstanceId& to, peer::Envelope envelope)>;

    /// Recovers the replicated log from the data folder. Fails if the log cannot be recovered.
    static absl::StatusOr<std::unique_ptr<Replica>> open(
        const settings::Settings& settings, const RegionId& region, Send send, const Clock& clock, Metrics& metrics);
    ~Replica();

    void start();
    /// Transfers leadership if there is another voter, then stops.
    void stop();
    void receiveConsensus(const InstanceId& from, consensus::Message message);
    /// Proposes the batch of a LedgerSubmit message and replies to its sender.
    void submit(peer::Envelope envelope);
    /// Answers a LedgerRead message.
    void read(peer::Envelope envelope);
    /// Requests outcomes from another replica if segments that a snapshot refers to are missing here. Call it about
    /// every second.
    void requestBackfill();
    /// Stores the outcomes of the LedgerReadReply message that answers requestBackfill().
    void handleBackfillReply(const peer::Envelope& envelope);
    /// Returns the claims that this replica, as the leader, has seen without an outcome for at least `age`. The age of
    /// a claim counts from the first call that found it. Returns nothing on other replicas.
    std::vector<log::Claim> abandonedClaims(Duration age);
    /// Returns the state and the log as a JSON object.
    std::string dump() const;

private:
    struct Impl;
    explicit Replica(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::ledger
