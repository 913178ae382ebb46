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

/// Claims whose entry has not recorded an outcome for at least `age`.
using AbandonedClaims = std::function<std::vector<log::Claim>(Duration age)>;

/// Sends one message to another process; false if its queue is full or the process is unknown.
using SendFunction = std::function<bool(const InstanceId& to, peer::Envelope envelope)>;

/// The entry role of one instance: gRPC services for callers, operators and workers.
class Entry {
public:
    Entry(const settings::Settings& settings, Incarnation incarnation, SendFunction send,
        AbandonedClaims abandonedClaims, const Clock& clock, Metrics& metrics);
    ~Entry();

    absl::Status start();
    /// From now on new calls are refused with NOT_RUN; returns once the calls in flight have ended, or after `limit`.
    void drain(Duration limit);
    void stop();

    /// Takes in a reply, a refusal or a heartbeat reply. Callable from any thread.
    void receive(peer::Envelope envelope);
    /// Commits an outcome to the ledger of its home region, retried until it is committed; then `done` runs. Callable
    /// from any thread.
    void recordOutcome(LedgerRecord record, std::function<void()> done);
    bool isReady() const; ///< A control leader answered and the state was taken over.
    std::string dump() const; ///< JSON object.

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::rpc
