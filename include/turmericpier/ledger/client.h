#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/ids.h"
#include "turmericpier/base/metrics.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace turmericpier::log {
class LedgerItem;
class LedgerResult;
}
namespace turmericpier::peer::wire {
struct LedgerReplyT;
struct LedgerSubmitT;
struct RefusalT;
}

/// Sends the claims and outcomes of one entry in batches to the leaders of the ledger groups. Pure: no I/O, no threads,
/// no clock of its own.
///
///     Client client(options, hooks, metrics);
///     client.submit(group, item, now + std::chrono::seconds(2), done, now);
///     client.flush(now);
namespace turmericpier::ledger {

/// A ledger group and the instances that may lead it.
struct ClientGroup {
    GroupId group;
    std::vector<InstanceId> members;
    /// A batch leaves at once while fewer than this are in flight; what arrives in between is collected. 1 sends the
    /// fewest messages over a paid link, at the cost of up to one round trip of waiting.
    size_t maxInFlight = 4;
};

struct ClientOptions {
    std::vector<ClientGroup> groups;
    size_t maxItems = 512; ///< In a batch.
    size_t maxBytes = 256U << 10U; ///< Of a batch; a larger item travels alone.
    size_t maxItemBytes = 1U << 20U; ///< Larger items are refused: they would not fit into a frame with their batch.
    size_t maxQueued = 65'536; ///< Items waiting in each group; more are refused.
    Duration replyTimeout = std::chrono::milliseconds(500); ///< Doubled up to twice by further attempts.
    Duration backoffMin = std::chrono::milliseconds(20); ///< Between attempts when no leader is known.
    Duration backoffMax = std::chrono::milliseconds(500);
    uint64_t firstCorrelation = 1; ///< Correlations count up from here; must not meet those of other senders.
    uint64_t seed = 1; ///< Of the backoff jitter.
};

struct ClientHooks {
    /// Returns false if the message was certainly not sent. Must not call the client.
    std::function<bool(const InstanceId& to, uint64_t correlation, peer::wire::LedgerSubmitT submit)> send;
};

class Client {
public:
    /// Receives ACCEPTED, CLAIMED_BEFORE, ENDED_BEFORE or STALE_ATTEMPT with the standing facts, or an error. Its
    /// outcome is NotRun if the item was proved not to be in the log and never will be, and Unknown otherwise. May
    /// submit again.
    using Callback = std::function<void(absl::StatusOr<log::LedgerResult> result)>;

    Client(ClientOptions options, ClientHooks hooks, Metrics& metrics);
    ~Client();

    /// Queues an item, which is sent until a leader answers or `expires` has passed. Resends do not change it.
    void submit(const GroupId& group, log::LedgerItem item, TimePoint expires, Callback done, TimePoint now);
    /// Sends what is queued, as far as the limit in flight allows. To be called after each round of submits, for
    /// example from EventLoop::setBatchEnd, so that items of one round share a batch.
    void flush(TimePoint now);
    /// Return false if the correlation is not, or no longer, that of a batch in flight.
    bool handleReply(uint64_t correlation, const peer::wire::LedgerReplyT& reply, TimePoint now);
    bool handleRefusal(uint64_t correlation, const peer::wire::RefusalT& refusal, TimePoint now);
    /// Timeouts, resends and flush. To be called about every 10 ms.
    void tick(TimePoint now);
    /// Ends all items with an error, for a stop.
    void abandon();

    bool isIdle() const;
    std::string dump() const; ///< Leaders, queues and batches in flight as a JSON object.

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::ledger
