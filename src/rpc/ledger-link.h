#pragma once

#include "log.pb.h"
#include "rpc/peer-calls.h"

#include <absl/status/statusor.h>
#include <deque>
#include <functional>
#include <vector>

namespace turmericpier::rpc {

/// Commits ledger items of this process to one region's ledger. Items that arrive while a batch is on its way share the
/// next one, so that the batches grow with the load and an idle ledger adds no waiting. Used on one thread.
class LedgerLink {
public:
    using Done = std::function<void(absl::StatusOr<log::LedgerResult> result)>;

    LedgerLink(PeerCalls& calls, GroupId group, std::vector<InstanceId> voters);

    void commit(log::LedgerItem item, TimePoint deadline, TimePoint now, Done done);
    void tick(TimePoint now);
    size_t waiting() const { return m_queue.size() + m_inFlight; }
    LeaderCalls& leader() { return m_leader; }

private:
    struct Item {
        log::LedgerItem item;
        TimePoint deadline;
        Done done;
    };

    void sendBatches(TimePoint now);
    void sendBatch(std::vector<Item> batch, TimePoint now);
    void ended(std::vector<Item>& batch, absl::StatusOr<peer::wire::EnvelopeT> reply);

    GroupId m_group;
    LeaderCalls m_leader;
    std::deque<Item> m_queue;
    size_t m_batchesInFlight = 0;
    size_t m_inFlight = 0; ///< Items.
    TimePoint m_now;
};

} // namespace turmericpier::rpc
