#include "rpc/ledger-link.h"

#include "turmericpier/base/error.h"

#include <algorithm>

namespace turmericpier::rpc {

namespace {
    constexpr size_t maxItemsPerBatch = 512;
    // Two, so that one batch is collected and sent while the ledger syncs the other.
    constexpr size_t maxBatchesInFlight = 2;

    std::vector<uint8_t> serialize(const google::protobuf::MessageLite& message)
    {
        std::vector<uint8_t> bytes(message.ByteSizeLong());
        message.SerializeToArray(bytes.data(), static_cast<int>(bytes.size()));
        return bytes;
    }
} // namespace

LedgerLink::LedgerLink(PeerCalls& calls, GroupId group, std::vector<InstanceId> voters)
    : m_group(std::move(group))
    , m_leader(calls, std::move(voters))
{
}

void LedgerLink::commit(log::LedgerItem item, TimePoint deadline, TimePoint now, Done done)
{
    m_queue.push_back({ std::move(item), deadline, std::move(done) });
    sendBatches(now);
}

void LedgerLink::tick(TimePoint now)
{
    m_leader.tick(now);
    sendBatches(now);
}

void LedgerLink::sendBatches(TimePoint now)
{
    m_now = now;
    while (!m_queue.empty() && m_batchesInFlight < maxBatchesInFlight) {
        std::vector<Item> batch;
        while (!m_queue.empty() && batch.size() < maxItemsPerBatch) {
            batch.push_back(std::move(m_queue.front()));
            m_queue.pop_front();
        }
        sendBatch(std::move(batch), now);
    }
}

void LedgerLink::sendBatch(std::vector<Item> batch, TimePoint now)
{
    ++m_batchesInFlight;
    m_inFlight += batch.size();
    log::LedgerBatch message;
    auto deadline = now;
    for (const auto& item : batch) {
        *message.add_items() = item.item;
        deadline = std::max(deadline, item.deadline);
    }
    auto bytes = serialize(message);
    m_leader.call(
        [group = m_group, bytes = std::move(bytes)] {
            peer::wire::LedgerSubmitT submit;
            submit.group = group.str();
            submit.batch = bytes;
            peer::wire::EnvelopeT envelope;
            envelope.body.Set(std::move(submit));
            return envelope;
        },
        now, deadline,
        [this, batch = std::move(batch)](
            absl::StatusOr<peer::wire::EnvelopeT> reply) mutable { ended(batch, std::move(reply)); });
}

void LedgerLink::ended(std::vector<Item>& batch, absl::StatusOr<peer::wire::EnvelopeT> reply)
{
    --m_batchesInFlight;
    m_inFlight -= batch.size();
    log::LedgerResults results;
    if (reply.ok()) {
        const auto* body = reply->body.AsLedgerReply();
        const bool parsed
            = body && results.ParseFromArray(body->results.data(), static_cast<int>(body->results.size()));
        if (!parsed || results.results_size() != static_cast<int>(batch.size()))
            reply = makeError({ absl::StatusCode::kInternal, turmericpier::Outcome::Unknown, "MALFORMED_REPLY",
                                  "ledger", m_group.str() },
                "ledger reply does not match its batch");
    }
    for (size_t i = 0; i < batch.size(); ++i) {
        if (reply.ok())
            batch[i].done(results.results(static_cast<int>(i)));
        else
            batch[i].done(reply.status());
    }
    sendBatches(m_now);
}

} // namespace turmericpier::rpc
