#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/error.h"
#include "turmericpier/base/ids.h"

#include <functional>
#include <memory>
#include <variant>
#include <vector>

/// Request router of an entry: decides which worker runs which request. A state machine without I/O, threads or a clock
/// of its own: each event returns the actions to carry out.
///
///     Router router(options);
///     router.setWorkers(workers, now);
///     router.setGrants(grants, now);
///     for (const Action& action : router.submit(ticket, request, now))
///         carryOut(action);
namespace turmericpier::routing {

/// Identifies one submit in this process; never reused.
using Ticket = Number<struct TicketTag>;

/// A request of a caller.
struct Request {
    std::string key; ///< "partner/home region/request id".
    ServiceId service;
    bool nonRepeatable = false; ///< The request must never run more than once.
    TimePoint deadline;
};

/// Slots of a worker that this entry may use until `expires`.
struct Grant {
    WorkerId worker;
    Epoch epoch;
    uint32_t slots = 0;
    uint32_t connections = 0;
    TimePoint expires; ///< By the clock of this process; the clock skew bound is already subtracted.
};

/// Properties of a worker that affect routing.
struct WorkerInfo {
    WorkerId worker;
    DataCentreId dataCentre;
    RegionId region;
    bool leaving = false;
    std::vector<ServiceId> services;
    /// Incarnation of the worker process; 0 if not known. NotSeen from another incarnation does not prove that an
    /// attempt did not run.
    Incarnation incarnation;
};

/// Settings of a service.
struct ServiceInfo {
    ServiceId service;
    uint32_t queueLimit = 1'024; ///< Maximum number of requests that wait for a slot or a retry.
    uint32_t retryBudgetPercent = 10; ///< Maximum retries, as a percentage of admitted requests, beyond a small burst.
};

/// Identity of the entry, and limits of retries, hedging and the paid link.
struct RouterOptions {
    InstanceId self;
    DataCentreId dataCentre;
    RegionId region;
    uint64_t seed = 1; ///< Seed of the backoff jitter.
    uint32_t maxAttempts = 4; ///< A request is not retried after this many dispatches.
    /// Delay before the first retry. It doubles with each retry, up to `backoffMax`; half of it is jitter.
    Duration backoffBase = std::chrono::milliseconds(10);
    Duration backoffMax = std::chrono::milliseconds(500);
    /// Returns whether a request may be hedged. Called only for repeatable requests; if empty, none is hedged. A
    /// request must not run on two workers at once, so hedging first queries the worker of the slow attempt, which
    /// fences the attempt if the worker has not seen it; only then another attempt is started.
    std::function<bool(const Request&)> mayHedge;
    /// Returns whether a request must be claimed before dispatch. Called only for repeatable requests; if empty, none
    /// of them is claimed. A claim costs one ledger commit, and keeps two entries from running a resent request at
    /// once.
    std::function<bool(const Request&)> mustClaim;
    /// Time after the deadline in which the worker is still queried for the end of an attempt.
    Duration resolveGrace = std::chrono::milliseconds(500);
    /// Percentage of a service's requests that may use the paid link while the service has workers in this region.
    uint32_t paidLinkPercent = 10;
    /// The same percentage while the service has no worker in this region.
    uint32_t paidLinkOutagePercent = 50;
};

/// Send the request to the worker.
struct Dispatch {
    Ticket ticket;
    uint32_t attempt = 0;
    WorkerId worker;
    Epoch grantEpoch;
    Duration timeout;
    Incarnation workerIncarnation; ///< A worker with another incarnation refuses the request; 0 matches any.
};

/// Commit a claim. The request is dispatched after claimCommitted() with an accepted claim.
struct CommitClaim {
    Ticket ticket;
    uint32_t attempt = 0;
    WorkerId worker;
    Incarnation workerIncarnation; ///< To be stored in the claim; 0 if not known.
};

/// Commit the outcome. The reply is sent after outcomeCommitted().
struct CommitOutcome {
    Ticket ticket;
    Outcome outcome = Outcome::Unknown;
    std::string reason; ///< Empty for an answered request.
    WorkerId worker; ///< Worker that ran the request or may have run it.
    uint32_t answeredAttempt = 0; ///< Attempt whose answer is returned to the caller; 0 for none.
    uint32_t attempts = 0;
    /// Latest attempt that this entry claimed or saw the end of; 0 for none. If the ledger has a claim of a later
    /// attempt, it answers ClaimedBefore and stores nothing, because that attempt may be running elsewhere.
    uint32_t claimAttempt = 0;
};

/// Query the worker for the state of the attempt, and fence the attempt if the worker has not seen it.
struct QueryWorker {
    Ticket ticket;
    uint32_t attempt = 0;
    WorkerId worker;
    std::string key; ///< Key of the request. The ticket may be gone: orphans are queried after the reply.
};

/// Answer the caller and forget the ticket.
struct Reply {
    Ticket ticket;
    absl::Status status; ///< Ok, or an error with outcome, step and peer.
    WorkerId worker;
    uint32_t answeredAttempt = 0; ///< Attempt whose answer is to be sent; 0 for none.
    uint32_t attempts = 0;
    /// Ticket that the attempt belongs to. It differs from `ticket` when a key is submitted again before its first
    /// ticket ends: the later ticket waits for the first one and gets its reply before it.
    Ticket answeredTicket;
};

using Action = std::variant<Dispatch, CommitClaim, CommitOutcome, QueryWorker, Reply>;
using Actions = std::vector<Action>;

/// Result of CommitClaim.
struct ClaimResult {
    enum class Code {
        Accepted,
        ClaimedBefore, ///< Another attempt holds the claim; the fields below describe it.
        EndedBefore, ///< The ledger already has an outcome.
        Failed, ///< In doubt: the claim may have been committed. The same claim may be sent again.
        Refused, ///< The claim is proved not to be committed, now or later.
    };
    Code code = Code::Failed;
    WorkerId worker;
    uint32_t attempt = 0;
    Outcome outcome = Outcome::Unknown; ///< Recorded outcome, for EndedBefore.
    std::string reason;
    Incarnation workerIncarnation; ///< Incarnation in the existing claim; 0 if not known.
};

/// Result of CommitOutcome.
struct OutcomeResult {
    enum class Code {
        Accepted,
        EndedBefore, ///< The ledger already has another outcome.
        Failed,
        ClaimedBefore, ///< Not stored, because the ledger has a claim of a later attempt.
    };
    Code code = Code::Failed;
    Outcome outcome = Outcome::Unknown; ///< Recorded outcome, for EndedBefore.
    std::string reason;
    WorkerId worker;
};

/// Describes an attempt that ended without an answer.
struct AttemptFailure {
    Outcome outcome = Outcome::Unknown; ///< NotRun only if the worker reported it.
    std::string reason;
    /// The worker may be gone; the slot stays in use until a query reports the end of the attempt or the lease ends.
    bool connectionLost = false;
};

/// Result of QueryWorker.
enum class QueryState {
    NotSeen, ///< The worker process has not seen the attempt and refuses it from now on.
    Running,
    Done, ///< The attempt ran and its answer is available.
    Unreachable,
};

/// Load of a service on this entry.
struct ServiceDemand {
    ServiceId service;
    uint32_t waiting = 0;
    uint32_t running = 0;
    uint32_t arrivalsPerSecond = 0;
};

/// Number of slots in use under one epoch of a grant.
struct GrantUse {
    WorkerId worker;
    Epoch epoch;
    uint32_t inUse = 0;
};

/// Routes requests to workers. Not thread-safe. The caller carries out the actions that a function returns, and reports
/// their results through the matching functions.
class Router {
public:
    explicit Router(RouterOptions options);
    ~Router();

    void setServices(std::vector<ServiceInfo> services);
    Actions setWorkers(std::vector<WorkerInfo> workers, TimePoint now);
    /// Replaces all grants. Requests in flight keep their slots if a grant shrinks or ends.
    Actions setGrants(std::vector<Grant> grants, TimePoint now);

    Actions submit(Ticket ticket, Request request, TimePoint now);
    Actions claimCommitted(Ticket ticket, uint32_t attempt, const ClaimResult& result, TimePoint now);
    Actions answered(Ticket ticket, uint32_t attempt, TimePoint now);
    Actions failed(Ticket ticket, uint32_t attempt, const AttemptFailure& failure, TimePoint now);
    /// Reports the result of a query. `incarnation` is that of the worker process that answered; 0 if not known.
    Actions queried(Ticket ticket, uint32_t attempt, QueryState state, TimePoint now, Incarnation incarnation = {});
    Actions outcomeCommitted(Ticket ticket, const OutcomeResult& result, TimePoint now);
    /// Reports that the caller has gone: nothing further is dispatched, but a request that ran is still recorded as
    /// RAN.
    Actions cancelled(Ticket ticket, TimePoint now);
    /// Handles deadlines, backoff and ejection probes. To be called about every 10 ms.
    Actions tick(TimePoint now);

    /// Refuses new requests with NOT_RUN from now on; those already submitted are completed.
    void beginDrain();
    bool isIdle() const;

    std::vector<ServiceDemand> demand() const;
    std::vector<GrantUse> grantUse() const;
    /// Returns the state of the router as a JSON object.
    std::string dump() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::routing
