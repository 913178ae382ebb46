#pragma once

#include "caller.grpc.pb.h"
#include "log.pb.h"
#include "rpc/endpoint-client.h"
#include "rpc/resend-fence.h"
#include "turmericpier/base/clock.h"
#include "turmericpier/base/event-loop.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/routing/router.h"
#include "turmericpier/settings/settings.h"

#include <absl/status/statusor.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericpier::rpc {

/// Receives the result of a call. `reply` is empty unless `status` is OK.
using CallDone = std::function<void(const absl::Status& status, CallReply reply)>;

/// Functions that RequestDriver needs from its owner.
struct RequestDriverHooks {
    /// Commits an item to the ledger of `region`. Retries until it is known whether the item is committed, or until
    /// `deadline`.
    std::function<void(const RegionId& region, log::LedgerItem item, TimePoint deadline,
        std::function<void(absl::StatusOr<log::LedgerResult>)> done)>
        commit;
};

/// Executes the actions of the router: calls to workers, ledger commits and replies to callers. Not thread-safe: all
/// calls must come from the thread of the event loop.
class RequestDriver {
public:
    RequestDriver(const settings::Settings& settings, Incarnation incarnation, RequestDriverHooks hooks,
        EventLoop& loop, const Clock& clock, Metrics& metrics);

    /// Handles one call of a caller. `done` runs on the thread of the event loop, possibly within this call.
    void submit(const CallRequest& request, CallDone done);
    /// Replaces the services and workers, including their drain flags, with the state of the control leader.
    void setState(const log::ControlSnapshot& state);
    /// Replaces all grants of this entry. Their leases start at `sentAt`, the time at which the heartbeat was sent.
    void setGrants(const log::GrantChanges& grants, TimePoint sentAt);
    /// Extends the leases of the current grants; they start again at `sentAt`.
    void renewGrants(TimePoint sentAt);
    /// Handles expired timers of the router and of resend fences.
    void tick();
    /// Refuses new requests from now on. Requests in flight are completed.
    void beginDrain();
    /// Fails all calls with an unknown outcome, for a shutdown that cannot wait any longer. The driver executes no
    /// actions from then on.
    void abandon();
    /// Returns true if no request is in flight.
    bool isIdle() const { return m_router.isIdle() && m_ticketByKey.empty(); }
    const routing::Router& router() const { return m_router; }
    EndpointClient& endpoints() { return m_endpoints; }

private:
    /// A request that has not been replied to.
    struct PendingRequest {
        std::string key;
        CallRequest request;
        TimePoint arrived;
        TimePoint deadline;
        std::vector<CallDone> waiters; ///< Several if the caller resent the request to this entry.
        std::map<uint32_t, std::string> answers; ///< Answers of workers, by attempt.
    };

    /// Ensures that no earlier attempt of a resent request runs or will run, then submits the request to the router.
    void fenceEarlierAttempts(routing::Ticket ticket);
    /// Submits the request to the router.
    void route(routing::Ticket ticket);
    bool isResent(const std::string& key) const;
    /// Creates the error for a refusal that is not recorded in the ledger, so that the caller can send the request
    /// through another entry.
    absl::Status makeUnrecordedRefusal(
        const CallRequest& request, const std::string& reason, const std::string& message) const;
    /// Returns an error if a field of the request is invalid or the entry holds too many requests.
    absl::Status validate(const CallRequest& request) const;
    void executeActions(const routing::Actions& actions);
    void executeAction(const routing::Dispatch& action);
    void executeAction(const routing::CommitClaim& action);
    void executeAction(const routing::CommitOutcome& action);
    void executeAction(const routing::QueryWorker& action);
    void executeAction(const routing::Reply& action);
    void handleExecuteReply(routing::Ticket ticket, uint32_t attempt, absl::StatusOr<ExecuteReply> reply);
    void handleQueryReply(routing::Ticket ticket, uint32_t attempt, absl::StatusOr<QueryReply> reply);
    void handleClaimResult(routing::Ticket ticket, uint32_t attempt, const absl::StatusOr<log::LedgerResult>& result);
    void handleOutcomeResult(routing::Ticket ticket, const absl::StatusOr<log::LedgerResult>& result);
    void applyGrants();

    const settings::Settings& m_settings;
    const Incarnation m_incarnation;
    RequestDriverHooks m_hooks;
    EventLoop& m_loop;
    const Clock& m_clock;
    Metrics& m_metrics;
    routing::Router m_router;
    EndpointClient m_endpoints;
    ResendFence m_resendFence;
    std::map<ServiceId, std::vector<WorkerId>> m_workersByService;
    bool m_isDraining = false;
    bool m_hasState = false;
    bool m_isAbandoned = false;
    routing::Ticket m_lastTicket;
    std::unordered_map<uint64_t, PendingRequest> m_pending; ///< By value of the ticket.
    std::unordered_map<std::string, routing::Ticket> m_ticketByKey;
    log::GrantChanges m_grants;
    TimePoint m_grantsRenewedAt;
};

} // namespace turmericpier::rpc
