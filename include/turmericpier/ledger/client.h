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

/// Client of the replicated ledgers: sends the claims and outcomes of one entry in batches to the leaders of the ledger
/// groups. It does no I/O, starts no threads and reads no clock; the caller passes messages and the time in.
///
///     Client client(options, hooks, metrics);
///     client.submit(group, item, now + std::chrono::seconds(2), callback, now);
///     client.flush(now);
namespace turmericpier::ledger {

/// Describes a ledger group and the instances that may lead it.
struct ClientGroup {
    GroupId group;
    std::vector<InstanceId> members;
    /// Maximum number of batches in flight. Below it, flush() sends queued items immediately; at the limit, items
    /// accumulate for the next batch. 1 sends the fewest messages over a paid link but delays an item by up to one
    /// round trip.
    size_t maxInFlight = 4;
};

/// Limits, timeouts and groups of a client. Sizes are in bytes.
struct ClientOptions {
    std::vector<ClientGroup> groups;
    size_t maxItems = 512; ///< Maximum number of items in a batch.
    size_t maxBytes = 256U << 10U; ///< Maximum bytes of a batch; a larger item is sent in a batch of its own.
    size_t maxItemBytes = 1U << 20U; ///< Larger items are refused because their batch would exceed the frame size.
    size_t maxQueued = 65'536; ///< Maximum queue length of each group; further items are refused.
    /// Time to wait for the reply to the first attempt; doubled for the second and quadrupled for later ones.
    Duration replyTimeout = std::chrono::milliseconds(500);
    Duration backoffMin = std::chrono::milliseconds(20); ///< Lower bound of the retry delay while no leader is known.
    Duration backoffMax = std::chrono::milliseconds(500); ///< Upper bound of the retry delay.
    uint64_t firstCorrelation = 1; ///< Correlations count up from here and must not overlap those of other senders.
    uint64_t seed = 1; ///< Seed of the backoff jitter.
};

struct ClientHooks {
    /// Sends a message. Returns false only if the message was definitely not sent. Must not call the client.
    std::function<bool(const InstanceId& to, uint64_t correlation, peer::wire::LedgerSubmitT submit)> send;
};

class Client {
public:
    /// Receives ACCEPTED, CLAIMED_BEFORE, ENDED_BEFORE or STALE_ATTEMPT with the recorded claim or outcome, or an
    /// error. The outcome of an error is NotRun if the item is not in the log and cannot get there any more, and
    /// Unknown otherwise. The callback may call submit().
    using Callback = std::function<void(absl::StatusOr<log::LedgerResult> result)>;

    Client(ClientOptions options, ClientHooks hooks, Metrics& metrics);
    ~Client();

    /// Queues an item. It is sent, and resent unchanged, until a leader answers or `expires` has passed.
    void submit(const GroupId& group, log::LedgerItem item, TimePoint expires, Callback callback, TimePoint now);
    /// Sends queued items up to the limit of batches in flight. Call it after each round of submit() calls, for example
    /// from EventLoop::setBatchEnd, so that the items of one round share a batch.
    void flush(TimePoint now);
    /// Completes the items of the batch that the reply answers. Returns false if no batch in flight has this
    /// correlation.
    bool handleReply(uint64_t correlation, const peer::wire::LedgerReplyT& reply, TimePoint now);
    /// Retries the refused batch: immediately at the leader that the refusal names, otherwise at the next member after
    /// a backoff. Returns false if no batch in flight has this correlation.
    bool handleRefusal(uint64_t correlation, const peer::wire::RefusalT& refusal, TimePoint now);
    /// Expires items, resends batches that timed out and flushes the queues. Call it about every 10 ms.
    void tick(TimePoint now);
    /// Completes all items with the error STOPPING; used on shutdown.
    void failAll();

    /// Returns true if no item is queued or in flight.
    bool isIdle() const;
    /// Returns leaders, queue lengths and numbers of batches in flight as a JSON object.
    std::string dump() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::ledger
