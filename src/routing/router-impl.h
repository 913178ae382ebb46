#pragma once

#include "routing/worker-table.h"

#include <absl/container/node_hash_map.h>
#include <random>
#include <string_view>

namespace turmericpier::routing {

// A commit without a result is sent again after this time. The ledger client has its own, shorter resend interval.
constexpr Duration commitTimeout = std::chrono::seconds(2);

/// Processing stage of a request.
enum class Stage {
    New,
    Queued,
    Backoff, ///< Waiting for the next retry.
    Claiming, ///< The claim is being committed; nothing is dispatched yet.
    Running, ///< The current attempt has been dispatched to a worker.
    Querying, ///< The current attempt is in doubt; its worker is being queried.
    Committing, ///< The outcome is being committed.
};

/// State of one request, from submit to reply.
struct Call {
    Ticket ticket;
    Request request;
    Service* service = nullptr;
    Stage stage = Stage::New;
    bool requiresClaim = false; ///< A claim must be committed before each dispatch.
    bool cancelled = false;
    bool mayHaveRun = false; ///< An earlier attempt ended without proof that it did not run.
    bool ranProved = false; ///< The worker reported that the current attempt ran, but its answer is missing.
    bool foreignClaim = false; ///< The current attempt was claimed by another entry.
    bool outcomeRecorded = false; ///< The ledger already has the outcome RAN; only the answer is fetched.
    bool resultRecorded = false; ///< The result of the current attempt has been counted for ejection.
    bool hedged = false; ///< A retry token is reserved for the attempt after the current one.
    bool claimInDoubt = false; ///< The current claim was sent before without a definite result.
    uint32_t attempt = 0; ///< Number of the current attempt.
    uint32_t claimAttempt = 0; ///< See CommitOutcome::claimAttempt.
    uint32_t dispatches = 0;
    uint32_t fencedClaims = 0; ///< Number of claims of other entries that were fenced.
    SlotReservation reservation; ///< Slot of the current attempt.
    WorkerId target; ///< Worker of the current attempt.
    Incarnation targetIncarnation;
    /// Compared by address only; may point to workers that no longer exist.
    absl::InlinedVector<Worker*, 4> triedWorkers;
    std::vector<Ticket> joinedTickets; ///< Later submits of the same key; each gets a copy of the reply.
    TimePoint dispatchedAt;
    TimePoint timer; ///< Time at which the timer expires; zero if it is not set.
    Duration resendInterval { 0 }; ///< Time between resends in the current stage; zero before the first.
    TimePoint queryDeadline; ///< If the attempt is still in doubt then, the request ends without an answer.
    CommitOutcome commit;
};

/// Attempt whose request has ended although the worker may still be running it. It keeps its slot until the worker
/// reports its end, has restarted, or has been unlisted for long.
struct Orphan {
    SlotReservation reservation;
    WorkerId worker;
    std::string key;
    Duration queryInterval { 0 }; ///< Time until the next query; doubles with each query.
    TimePoint since; ///< Time at which the request ended.
    TimePoint timer; ///< Time of the next query.
};

struct RouterCounters {
    uint64_t submitted = 0;
    uint64_t refused = 0; ///< Requests refused without a dispatch.
    uint64_t dispatched = 0;
    uint64_t retried = 0;
    uint64_t queried = 0;
    uint64_t unknown = 0; ///< Requests that ended UNKNOWN here.
    uint64_t ignored = 0; ///< Results for attempts that are no longer current.
    uint64_t contradicted = 0; ///< Requests that ran here although the ledger records NOT_RUN.
    uint64_t joined = 0; ///< Submits that joined an open request of the same key.
};

struct Router::Impl {
    explicit Impl(RouterOptions routerOptions);

    const RouterOptions options;
    WorkerTable table;
    Service unknownService; ///< Stands in for services that are not configured.
    absl::node_hash_map<Ticket, Call> calls;
    absl::flat_hash_map<std::string, Ticket> openKeys; ///< Keys of calls and orphans.
    std::map<std::pair<Ticket, uint32_t>, Orphan> orphans;
    absl::btree_set<std::tuple<TimePoint, Ticket, uint32_t>> timers; ///< The attempt is 0 for the timer of a call.
    std::mt19937_64 random;
    RouterCounters counters;
    bool draining = false;
    TimePoint nextSweep;
    TimePoint rateWindowStart;
    Actions actions;

    // State transitions of a call (router-flow.cc).
    void admit(Call& call, TimePoint now);
    void enqueue(Call& call, TimePoint now);
    void startAttempt(Call& call, Worker& worker, TimePoint now);
    void sendClaim(Call& call, TimePoint now);
    void dispatch(Call& call, TimePoint now);
    void hedge(Call& call, TimePoint now);
    void sendQuery(Call& call, TimePoint now);
    void retry(Call& call, std::string_view reason, TimePoint now);
    void handleFenced(Call& call, TimePoint now);
    void endWithoutRun(Call& call, std::string_view reason, TimePoint now);
    void finish(Call& call, Outcome outcome, std::string_view reason, uint32_t answeredAttempt, TimePoint now);
    void reply(Call& call, Outcome outcome, std::string_view reason, uint32_t answeredAttempt, TimePoint now);
    void replyTo(Ticket ticket, Outcome outcome, std::string_view reason);

    // Event handlers (router.cc).
    void handleClaimResult(Call& call, const ClaimResult& result, TimePoint now);
    void handleAttemptFailure(Call& call, const AttemptFailure& failure, TimePoint now);
    void handleQueryResult(Call& call, QueryState state, Incarnation incarnation, TimePoint now);
    void handleTimer(Call& call, TimePoint now);
    void handleOrphanTimer(std::pair<Ticket, uint32_t> id, TimePoint now);
    bool join(Ticket ticket, const Request& request);

    // Helpers.
    void setStage(Call& call, Stage stage);
    void setTimer(Call& call, TimePoint when);
    void setOrphanTimer(std::pair<Ticket, uint32_t> id, Orphan& orphan, TimePoint when);
    void recordResult(Call& call, Result result, TimePoint now);
    void makeOrphan(Call& call, TimePoint now);
    void releaseOrphan(Ticket ticket, uint32_t attempt, TimePoint now);
    bool willMissDeadline(const Call& call, size_t rank, TimePoint now) const;
    Duration backoff(uint32_t retries);
    Call* find(Ticket ticket);
    Call* current(Ticket ticket, uint32_t attempt);
    void updateArrivalRates(TimePoint now);
    void dispatchQueued(TimePoint now);
    Actions takeActions(TimePoint now);
};

} // namespace turmericpier::routing
