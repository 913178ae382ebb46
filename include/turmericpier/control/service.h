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

/// The control role of an instance: it keeps a replica of the control log and, while it leads, makes the scheduling
/// decisions.
namespace turmericpier::control {

/// Functions through which the control service reaches other parts of the instance.
struct ServiceHooks {
    /// Queues a message to another instance. Returns false if the message was dropped.
    std::function<bool(const InstanceId& to, peer::Envelope envelope)> send;
    /// Writes the outcome of a job to the ledger and calls `done` once the ledger has it. May be called again with the
    /// same record, for example after a leader change.
    std::function<void(rpc::LedgerRecord record, std::function<void()> done)> recordJob;
};

/// Replicates the control log and answers the heartbeats and operator requests of entries. All methods may be called
/// from any thread.
class Service {
public:
    /// Opens the local replica of the control log; returns the error of the consensus group if that fails.
    static absl::StatusOr<std::unique_ptr<Service>> open(
        const settings::Settings& settings, ServiceHooks hooks, const Clock& clock, Metrics& metrics);
    ~Service();

    void start();
    /// Transfers leadership to another voter if this instance leads and there is one, then stops.
    void stop();

    void receiveConsensus(const InstanceId& from, consensus::Message message);
    /// Handles an operator request that an entry forwarded and replies to the sender. The body must be of type Forward.
    void forward(peer::Envelope envelope);
    /// Handles the heartbeat of an entry and replies to the sender. The body must be of type EntryHeartbeat.
    void heartbeat(peer::Envelope envelope);
    /// Returns the state of the service as a JSON object.
    std::string dump() const;

private:
    struct Impl;
    explicit Service(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::control
