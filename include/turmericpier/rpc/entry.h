#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/peer/transport.h"
#include "turmericpier/settings/settings.h"

#include <absl/status/status.h>
#include <functional>
#include <memory>
#include <vector>

namespace turmericpier::log {
class Claim;
}

namespace turmericpier::rpc {
class LedgerRecord;

/// Returns the claims that are at least `age` old and have no outcome.
using AbandonedClaims = std::function<std::vector<log::Claim>(Duration age)>;

/// Queues a message to another process. Returns false if the queue is full or the process is unknown.
using SendFunction = std::function<bool(const InstanceId& to, peer::Envelope envelope)>;

/// The entry role of an instance: serves the gRPC interfaces for callers, operators and workers.
class Entry {
public:
    Entry(const settings::Settings& settings, Incarnation incarnation, SendFunction send,
        AbandonedClaims abandonedClaims, const Clock& clock, Metrics& metrics);
    ~Entry();

    /// Starts the gRPC server. Fails with ADDRESS_IN_USE if it cannot listen on the configured address.
    absl::Status start();
    /// Refuses new calls with DRAINING; their outcome is NOT_RUN unless they are resends. Blocks until the calls in
    /// flight have ended, at most for `limit`.
    void drain(Duration limit);
    /// Closes all worker streams, fails the remaining calls with an unknown outcome and stops the server.
    void stop();

    /// Handles a reply, a refusal or a heartbeat reply. Thread-safe.
    void receive(peer::Envelope envelope);
    /// Commits an outcome to the ledger of its home region. Retries until it is committed, then calls `done`.
    /// Thread-safe.
    void recordOutcome(LedgerRecord record, std::function<void()> done);
    /// Returns true once the state of a control leader has been applied. Thread-safe.
    bool isReady() const;
    /// Returns the internal state as a JSON object. Thread-safe.
    std::string dump() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::rpc
