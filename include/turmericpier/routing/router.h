#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/error.h"
#include "turmericpier/base/ids.h"

#include <functional>
#include <memory>
#include <variant>
#include <vector>

/// Decides on an entry which worker runs which request. Pure: no I/O, no threads, no clock of its own.
///
///     Router router(options);
///     router.setWorkers(workers, now);
///     router.setGrants(grants, now);
///     for (const Action& action : router.submit(ticket, request, now))
///         carryOut(action);
namespace turmericpier::routing {

using Ticket = Number<struct TicketTag>; ///< A request inside this process; never reused.

struct Request {
    std::string key; ///< partner/home region/request id
    ServiceId service;
    bool nonRepeatable = false;
    TimePoint deadline;
};

/// Slots of a worker that this entry may use until `expires`.
struct Grant {
    WorkerId worker;
    Epoch epoch;
    uint32_t slots = 0;
    uint32_t connections = 0;
    TimePoint expires; ///< On this process's clock, with the clock skew bound taken off.
};

/// What the router needs to know of a worker.
struct WorkerInfo {
    WorkerId worker;
    DataCentreId dataCentre;
    RegionId region;
    bool leaving = false;
    std::vector<ServiceId> services;
    Incarnation
        incarnation; ///< Of the worker process; 0 if not known. NotSeen from another incarnation proves nothing.
};

struct ServiceInfo {
    ServiceId service;
    uint32_t queueLimit = 1'024;
    uint32_t retryBudgetPercent = 10; ///< Retries allowed, as a share of first attempts.
};

struct RouterOptions {
    InstanceId self;
    DataCentreId dataCentre;
    RegionId region;
    uint64_t seed = 1; ///< Of the backoff jitter.
    uint32_t maxAttempts = 4;
    Duration backoffBase = std::chrono::milliseconds(10);
    Duration backoffMax = std::chrono::milliseconds(500);
    /// Asked for repeatable requests alone; without it none is hedged. A request must not run on two workers at once,
    /// so a hedge fences the slow attempt by a query first and starts another only if the worker has not seen it.
    std::function<bool(const Request&)> mayHedge;
    /// Asked for repeatable requests alone: true claims the request before dispatch, which also keeps two entries from
    /// running it at once after a resend. Costs one ledger commit; without it repeatable requests are not claimed.
    std::function<bool(const Request&)> mustClaim;
    Duration resolveGrace = std::chrono::milliseconds(500); ///< After the deadline, to learn how an attempt ended.
    uint32_t paidLinkPercent
        = 10; ///< Share of a service's requests that may use the paid link while it has local workers.
    uint32_t paidLinkOutagePercent = 50; ///< The same while it has no local worker.
};

/// Send the request to the worker.
struct Dispatch {
    Ticket ticket;
    uint32_t attempt = 0;
    WorkerId worker;
    Epoch grantEpoch;
    Duration timeout;
    Incarnation workerIncarnation; ///< The worker refuses the request if it is another incarnation; 0 for any.
};

/// Commit the claim of a non-repeatable request; its dispatch follows claimCommitted().
struct CommitClaim {
    Ticket ticket;
    uint32_t attempt = 0;
    WorkerId worker;
    Incarnation workerIncarnation; ///< To be kept in the claim; 0 if not known.
};

/// Commit the outcome; the reply follows outcomeCommitted().
struct CommitOutcome {
    Ticket ticket;
    Outcome outcome = Outcome::Unknown;
    std::string reason; ///< Empty for an answered request.
    WorkerId worker; ///< That ran or may have run it.
    uint32_t answeredAttempt = 0; ///< Whose answer counts; 0 for none.
    uint32_t attempts = 0;
    /// Latest attempt that this entry claimed or saw the end of; 0 for none. The ledger answers ClaimedBefore, and
    /// keeps nothing, if a claim of a later attempt stands: that attempt may be running elsewhere.
    uint32_t claimAttempt = 0;
};

/// Ask the worker what became of the attempt, and fence the attempt if the worker has not seen it.
struct QueryWorker {
    Ticket ticket;
    uint32_t attempt = 0;
    WorkerId worker;
    std::string key; ///< Of the request, because queries that free a slot go on after the reply.
};

/// Answer the caller and forget the ticket.
struct Reply {
    Ticket ticket;
    absl::Status status; ///< Ok, or an error with outcome, step and peer.
    WorkerId worker;
    uint32_t answeredAttempt = 0; ///< Whose answer to send; 0 for none.
    uint32_t attempts = 0;
    /// The ticket of the attempt. It differs from `ticket` when a key is submitted again before its first ticket ends:
    /// the later ticket waits for the first and is replied to before it.
    Ticket answeredTicket;
};

using Action = std::variant<Dispatch, CommitClaim, CommitOutcome, QueryWorker, Reply>;
using Actions = std::vector<Action>;

/// Result of CommitClaim.
struct ClaimResult {
    enum class Code {
        Accepted,
        ClaimedBefore, ///< Another attempt holds the claim; its facts are below.
        EndedBefore, ///< An outcome stands already.
        Failed, ///< Not known whether the claim was committed; the same claim may be sent again.
        Refused, ///< Proved: not committed and never will be.
    };
    Code code = Code::Failed;
    WorkerId worker;
    uint32_t attempt = 0;
    Outcome outcome = Outcome::Unknown; ///< Of EndedBefore.
    std::string reason;
    Incarnation workerIncarnation; ///< Of the standing claim; 0 if not known.
};

/// Result of CommitOutcome.
struct OutcomeResult {
    enum class Code {
        Accepted,
        EndedBefore, ///< Another outcome stands.
        Failed,
        ClaimedBefore, ///< Not kept: a claim of a later attempt stands.
    };
    Code code = Code::Failed;
    Outcome outcome = Outcome::Unknown; ///< Of EndedBefore.
    std::string reason;
    WorkerId worker;
};

/// How an attempt ended without an answer.
struct AttemptFailure {
    Outcome outcome = Outcome::Unknown; ///< NotRun only if the worker said so.
    std::string reason;
    bool connectionLost = false; ///< The worker may be gone; its slot stays in use until queried or the lease ends.
};

enum class QueryState {
    NotSeen, ///< Never ran; fenced.
    Running,
    Done, ///< Ran; its answer is attached.
    Unreachable,
};

struct ServiceDemand {
    ServiceId service;
    uint32_t waiting = 0;
    uint32_t running = 0;
    uint32_t arrivalsPerSecond = 0;
};

struct GrantUse {
    WorkerId worker;
    Epoch epoch;
    uint32_t inUse = 0;
};

class Router {
public:
    explicit Router(RouterOptions options);
    ~Router();

    void setServices(std::vector<ServiceInfo> services);
    Actions setWorkers(std::vector<WorkerInfo> workers, TimePoint now);
    /// Replaces all grants. Requests in flight keep their slot when its grant shrinks or ends.
    Actions setGrants(std::vector<Grant> grants, TimePoint now);

    Actions submit(Ticket ticket, Request request, TimePoint now);
    Actions claimCommitted(Ticket ticket, uint32_t attempt, const ClaimResult& result, TimePoint now);
    Actions answered(Ticket ticket, uint32_t attempt, TimePoint now);
    Actions failed(Ticket ticket, uint32_t attempt, const AttemptFailure& failure, TimePoint now);
    /// `incarnation` is that of the worker process that answered; 0 if not known.
    Actions queried(Ticket ticket, uint32_t attempt, QueryState state, TimePoint now, Incarnation incarnation = {});
    Actions outcomeCommitted(Ticket ticket, const OutcomeResult& result, TimePoint now);
    /// The caller went away: nothing further is dispatched, but what ran is still counted.
    Actions cancelled(Ticket ticket, TimePoint now);
    /// Deadlines, backoff, ejection probes. To be called about every 10 ms.
    Actions tick(TimePoint now);

    /// From now on new requests are refused with NOT_RUN; those in the router run to their end.
    void beginDrain();
    bool isIdle() const;

    std::vector<ServiceDemand> demand() const;
    std::vector<GrantUse> grantUse() const;
    std::string dump() const; ///< JSON object.

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::routing
