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

/// Carries out the router's actions: calls to workers, ledger commits, replies. Used on the entry's loop thread.
namespace turmericpier::rpc {

using CallDone = std::function<void(const absl::Status& status, CallReply reply)>;

struct RequestDriverHooks {
    /// Commits one item to the ledger of `region`; retried until it is known whether the item is committed, or until
    /// the deadline.
    std::function<void(const RegionId& region, log::LedgerItem item, TimePoint deadline,
        std::function<void(absl::StatusOr<log::LedgerResult>)> done)>
        commit;
};

class RequestDriver {
public:
    RequestDriver(const settings::Settings& settings, Incarnation incarnation, RequestDriverHooks hooks,
        EventLoop& loop, const Clock& clock, Metrics& metrics);

    /// Runs one call. `done` runs on the loop's thread.
    void submit(const CallRequest& request, CallDone done);
    /// Services, workers, drain marks from the control leader.
    void setState(const log::ControlSnapshot& state);
    /// All grants of this entry; leases run from `sentAt`, when the heartbeat was sent.
    void setGrants(const log::GrantChanges& grants, TimePoint sentAt);
    void renewGrants(TimePoint sentAt);
    void tick();
    /// From now on new requests are refused; those in flight end.
    void beginDrain();
    /// Ends all calls with an unknown outcome, for a stop that cannot wait any longer. Nothing else is done from then
    /// on.
    void abandon();
    bool isIdle() const { return m_router.isIdle() && m_byKey.empty(); }
    const routing::Router& router() const { return m_router; }
    EndpointClient& endpoints() { return m_endpoints; }

private:
    struct Pending {
        std::string key;
        CallRequest request;
        TimePoint arrived;
        TimePoint deadline;
        std::vector<CallDone> waiters; ///< More than one if the caller resent the request to this entry.
        std::map<uint32_t, std::string> answers; ///< By attempt.
    };

    /// Makes sure that no earlier attempt of a resent request runs or will run, then hands it to the router.
    void fenceEarlierAttempts(routing::Ticket ticket);
    void route(routing::Ticket ticket);
    bool isResent(const std::string& key) const;
    /// Refuses without a record in the ledger, so that the caller can send the request through another entry.
    absl::Status unrecordedRefusal(
        const CallRequest& request, const std::string& reason, const std::string& message) const;
    absl::Status check(const CallRequest& request) const;
    void run(const routing::Actions& actions);
    void carryOut(const routing::Dispatch& action);
    void carryOut(const routing::CommitClaim& action);
    void carryOut(const routing::CommitOutcome& action);
    void carryOut(const routing::QueryWorker& action);
    void carryOut(const routing::Reply& action);
    void executed(routing::Ticket ticket, uint32_t attempt, absl::StatusOr<ExecuteReply> reply);
    void queried(routing::Ticket ticket, uint32_t attempt, absl::StatusOr<QueryReply> reply);
    void claimed(routing::Ticket ticket, uint32_t attempt, const absl::StatusOr<log::LedgerResult>& result);
    void recorded(routing::Ticket ticket, const absl::StatusOr<log::LedgerResult>& result);
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
    std::map<ServiceId, std::vector<WorkerId>> m_workersOf;
    bool m_isDraining = false;
    bool m_hasState = false;
    bool m_isAbandoned = false;
    routing::Ticket m_lastTicket;
    std::unordered_map<uint64_t, Pending> m_pending; ///< By ticket.
    std::unordered_map<std::string, routing::Ticket> m_byKey;
    log::GrantChanges m_grants;
    TimePoint m_grantsRenewed;
};

} // namespace turmericpier::rpc
