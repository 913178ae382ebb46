#pragma once

#include "routing/worker-table.h"

#include <absl/container/node_hash_map.h>
#include <random>
#include <string_view>

namespace turmericpier::routing {

// A commit without any result is sent again after this time; the ledger client itself resends earlier.
constexpr Duration commitSilence = std::chrono::seconds(2);

/// Where a request stands on its way through the router.
enum class Stage {
    New,
    Queued,
    Backoff, ///< Waits before a retry.
    Claiming, ///< Its claim is being committed; nothing is dispatched.
    Running, ///< Its current attempt is with a worker.
    Querying, ///< The end of its current attempt is not known; the worker is asked.
    Committing, ///< Its outcome is being committed.
};

struct Call {
    Ticket ticket;
    Request request;
    Service* service = nullptr;
    Stage stage = Stage::New;
    bool claims = false; ///< A claim is committed before each dispatch.
    bool cancelled = false;
    bool mayHaveRun = false; ///< An earlier attempt ended without proof that it was not run.
    bool ranProved = false; ///< The current attempt ran, but its answer is missing.
    bool foreign = false; ///< The current attempt is the claim of another entry.
    bool standing = false; ///< The ledger has an outcome; only its answer is fetched.
    bool resultRecorded = false; ///< Of the current attempt, for ejection.
    bool hedged = false; ///< A retry token is set aside for the current attempt.
    bool claimInDoubt = false; ///< An earlier sending of the current claim has no result.
    uint32_t attempt = 0; ///< Number of the current attempt.
    uint32_t claimAttempt = 0;
    uint32_t dispatches = 0;
    uint32_t contended = 0; ///< Foreign claims that were fenced.
    Hold hold; ///< Slot of the current attempt.
    WorkerId target; ///< Worker of the current attempt.
    Incarnation targetIncarnation;
    absl::InlinedVector<Worker*, 4> tried; ///< Compared by address only; a worker may be gone.
    std::vector<Ticket> followers; ///< Later submits of the same key.
    TimePoint dispatchedAt;
    TimePoint timer; ///< Next wake; zero for none.
    Duration interval { 0 }; ///< Between resends in the current stage.
    TimePoint queryLimit; ///< Then an attempt that is still queried ends UNKNOWN.
    CommitOutcome commit;
};

/// An attempt whose request has ended while the worker may still run it; it keeps its slot.
struct Orphan {
    Hold hold;
    WorkerId worker;
    std::string key;
    Duration interval { 0 };
    TimePoint since;
    TimePoint timer;
};

struct RouterCounters {
    uint64_t submitted = 0;
    uint64_t refused = 0; ///< Ended NOT_RUN without a dispatch.
    uint64_t dispatched = 0;
    uint64_t retried = 0;
    uint64_t queried = 0;
    uint64_t unknown = 0;
    uint64_t ignored = 0; ///< Results for attempts that are not current any more.
    uint64_t contradicted = 0; ///< Ran here, while the ledger holds NOT_RUN.
    uint64_t joined = 0; ///< Submits that joined an open request of the same key.
};

struct Router::Impl {
    explicit Impl(RouterOptions routerOptions);

    const RouterOptions options;
    WorkerTable table;
    Service unknownService; ///< Of requests for services that are not configured.
    absl::node_hash_map<Ticket, Call> calls;
    absl::flat_hash_map<std::string, Ticket> openKeys; ///< Keys of calls and orphans.
    std::map<std::pair<Ticket, uint32_t>, Orphan> orphans;
    absl::btree_set<std::tuple<TimePoint, Ticket, uint32_t>> timers; ///< The attempt is 0 for a call.
    std::mt19937_64 random;
    RouterCounters counters;
    bool draining = false;
    TimePoint nextSweep;
    TimePoint rateSince;
    Actions actions;

    // Transitions of a call (router-flow.cc).
    void admit(Call& call, TimePoint now);
    void enqueue(Call& call, TimePoint now);
    void begin(Call& call, Worker& worker, TimePoint now);
    void sendClaim(Call& call, TimePoint now);
    void dispatch(Call& call, TimePoint now);
    void hedge(Call& call, TimePoint now);
    void query(Call& call, TimePoint now);
    void retry(Call& call, std::string_view reason, TimePoint now);
    void fenced(Call& call, TimePoint now);
    void endWithoutRun(Call& call, std::string_view reason, TimePoint now);
    void finish(Call& call, Outcome outcome, std::string_view reason, uint32_t answeredAttempt, TimePoint now);
    void reply(Call& call, Outcome outcome, std::string_view reason, uint32_t answeredAttempt, TimePoint now);
    void replyTo(Ticket ticket, Outcome outcome, std::string_view reason);

    // Inputs (router.cc).
    void claimResult(Call& call, const ClaimResult& result, TimePoint now);
    void attemptFailed(Call& call, const AttemptFailure& failure, TimePoint now);
    void queryResult(Call& call, QueryState state, Incarnation incarnation, TimePoint now);
    void wake(Call& call, TimePoint now);
    void wakeOrphan(std::pair<Ticket, uint32_t> id, TimePoint now);
    bool join(Ticket ticket, const Request& request);

    // Parts.
    void setStage(Call& call, Stage stage);
    void setTimer(Call& call, TimePoint when);
    void setOrphanTimer(std::pair<Ticket, uint32_t> id, Orphan& orphan, TimePoint when);
    void recordResult(Call& call, Result result, TimePoint now);
    void makeOrphan(Call& call, TimePoint now);
    void releaseOrphan(Ticket ticket, uint32_t attempt, TimePoint now);
    bool isHopeless(const Call& call, size_t rank, TimePoint now) const;
    Duration backoff(uint32_t retries);
    Call* find(Ticket ticket);
    Call* current(Ticket ticket, uint32_t attempt);
    void rollRates(TimePoint now);
    void pump(TimePoint now);
    Actions take(TimePoint now);
};

} // namespace turmericpier::routing
