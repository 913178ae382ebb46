#include "rpc/claim-resolver.h"

#include <absl/strings/str_split.h>

namespace turmericpier::rpc {

namespace {
    constexpr Duration queryTimeout = std::chrono::seconds(1);
    constexpr Duration unreachableTimeout = std::chrono::minutes(10);
} // namespace

ClaimResolver::ClaimResolver(EndpointClient& endpoints, EventLoop& loop, RecordCallback record, Metrics& metrics)
    : m_endpoints(endpoints)
    , m_loop(loop)
    , m_recordCallback(std::move(record))
    , m_metrics(metrics)
{
}

void ClaimResolver::resolve(const log::Claim& claim, TimePoint now)
{
    if (!m_queriesInFlight.insert(claim.key()).second)
        return;
    QueryRequest query;
    query.set_key(claim.key());
    query.set_attempt(firstClaimedAttempt + claim.attempt());
    m_endpoints.query(
        WorkerId(claim.worker()), std::move(query), queryTimeout, [this, claim, now](absl::StatusOr<QueryReply> reply) {
            m_loop.post([this, claim, now, reply = std::move(reply)] { handleQueryReply(claim, reply, now); });
        });
}

void ClaimResolver::handleQueryReply(const log::Claim& claim, const absl::StatusOr<QueryReply>& reply, TimePoint now)
{
    m_queriesInFlight.erase(claim.key());
    if (!reply.ok()) {
        const auto unreachableSince = m_unreachableSince.try_emplace(claim.key(), now).first->second;
        if (now - unreachableSince >= unreachableTimeout)
            record(claim, UNKNOWN, "WORKER_GONE");
        return;
    }
    m_unreachableSince.erase(claim.key());
    const bool isSameWorker
        = claim.worker_incarnation() == 0 || reply->worker_incarnation() == claim.worker_incarnation();
    if (reply->state() == QueryReply::DONE)
        record(claim, RAN, "");
    else if (reply->state() == QueryReply::NOT_SEEN && isSameWorker)
        record(claim, NOT_RUN, "ENTRY_LOST");
    else if (reply->state() == QueryReply::NOT_SEEN)
        record(claim, UNKNOWN, "WORKER_RESTARTED");
}

void ClaimResolver::record(const log::Claim& claim, Outcome outcome, const std::string& reason)
{
    const std::vector<std::string> keyParts = absl::StrSplit(claim.key(), absl::MaxSplits('/', 2));
    if (keyParts.size() != 3)
        return;
    m_unreachableSince.erase(claim.key());
    m_metrics.counter("claims_resolved_total").increment();
    LedgerRecord record;
    record.set_partner(keyParts[0]);
    record.set_home_region(keyParts[1]);
    record.set_request_id(keyParts[2]);
    record.set_service(claim.service());
    record.set_outcome(outcome);
    record.set_reason(reason);
    record.set_worker(claim.worker());
    record.set_attempts(claim.attempt());
    record.set_claim_attempt(claim.attempt());
    m_recordCallback(std::move(record));
}

} // namespace turmericpier::rpc
