#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/consensus/group.h"
#include "turmericpier/peer/transport.h"
#include "turmericpier/settings/settings.h"

#include <absl/status/statusor.h>
#include <functional>
#include <memory>

namespace turmericpier::rpc {
class LedgerRecord;
}

/// The control role of one instance: a replica of the control log and, on the leader, the decisions.
namespace turmericpier::control {

struct ServiceHooks {
    std::function<bool(const InstanceId& to, peer::Envelope envelope)> send;
    /// Hands the outcome of a job to the ledger. May be called again with the same record.
    /// `done` runs once the record is in the ledger.
    std::function<void(rpc::LedgerRecord record, std::function<void()> done)> recordJob;
};

/// Handles messages of entries and replicas; all methods may be called from any thread.
class Service {
public:
    static absl::StatusOr<std::unique_ptr<Service>> open(
        const settings::Settings& settings, ServiceHooks hooks, const Clock& clock, Metrics& metrics);
    ~Service();

    void start();
    /// Hands leadership over if there is another voter, then stops.
    void stop();

    void receiveConsensus(const InstanceId& from, consensus::Message message);
    void forward(peer::Envelope envelope); ///< A body of type Forward; the reply goes to the sender.
    void heartbeat(peer::Envelope envelope); ///< A body of type EntryHeartbeat.
    std::string dump() const; ///< JSON object.

private:
    struct Impl;
    explicit Service(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::control
