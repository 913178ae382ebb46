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

/// At the workers, claimed attempts are numbered from here on, apart from unclaimed ones: those of a resent request are
/// fenced as a whole, while the ledger orders the claimed ones of all entries.
inline constexpr uint32_t firstClaimedAttempt = 1'000;

/// Finds the outcome of non-repeatable requests whose entry died between claim and outcome, so that each claim ends in
/// the ledger even if the caller never sends the request again. Used on one thread.
class ClaimResolver {
public:
    using Record = std::function<void(LedgerRecord record)>;

    ClaimResolver(EndpointClient& endpoints, EventLoop& loop, Record record, Metrics& metrics);

    /// Asks the claimed worker. Records RAN or NOT_RUN when the worker proves it, and UNKNOWN when a worker that could
    /// prove it has been out of reach for ten minutes or has restarted.
    void resolve(const log::Claim& claim, TimePoint now);

private:
    void answered(const log::Claim& claim, const absl::StatusOr<QueryReply>& reply, TimePoint now);
    void record(const log::Claim& claim, Outcome outcome, const std::string& reason);

    EndpointClient& m_endpoints;
    EventLoop& m_loop;
    Record m_record;
    Metrics& m_metrics;
    std::set<std::string> m_asking; ///< Keys with a query under way.
    std::map<std::string, TimePoint> m_unreachableSince; ///< By key.
};

} // namespace turmericpier::rpc
