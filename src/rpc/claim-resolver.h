#pragma once

#include "log.pb.h"
#include "rpc/endpoint-client.h"
#include "turmericpier/base/clock.h"
#include "turmericpier/base/event-loop.h"
#include "turmericpier/base/metrics.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace turmericpier::rpc {

/// Number of the first claimed attempt of a request in calls to workers. Claimed attempts have a range of their own
/// because a resend fences all unclaimed attempts of a request at once, while the ledger orders the claimed attempts of
/// all entries.
inline constexpr uint32_t firstClaimedAttempt = 1'000;

/// Determines the outcome of non-repeatable requests whose entry failed after the claim and before the outcome was
/// recorded. Every claim thus gets an outcome in the ledger even if the caller never resends the request. Not
/// thread-safe: all calls must come from the thread of the event loop.
class ClaimResolver {
public:
    /// Commits `record` to the ledger of its home region.
    using RecordCallback = std::function<void(LedgerRecord record)>;

    ClaimResolver(EndpointClient& endpoints, EventLoop& loop, RecordCallback record, Metrics& metrics);

    /// Queries the worker that the claim names, unless a query for the same key is in flight. Records RAN or NOT_RUN if
    /// the reply proves it, and UNKNOWN if the worker has restarted and does not know the request, or has been
    /// unreachable for ten minutes. Otherwise records nothing; call again later.
    void resolve(const log::Claim& claim, TimePoint now);

private:
    void handleQueryReply(const log::Claim& claim, const absl::StatusOr<QueryReply>& reply, TimePoint now);
    void record(const log::Claim& claim, Outcome outcome, const std::string& reason);

    EndpointClient& m_endpoints;
    EventLoop& m_loop;
    RecordCallback m_recordCallback;
    Metrics& m_metrics;
    std::set<std::string> m_queriesInFlight; ///< Keys of requests whose query is in flight.
    std::map<std::string, TimePoint> m_unreachableSince; ///< Time of the first failed query in a row, by request key.
};

} // namespace turmericpier::rpc
