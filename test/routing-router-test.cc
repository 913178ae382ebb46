#include "turmericpier/routing/router.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

using namespace turmericpier;
using namespace turmericpier::routing;

namespace {

const ServiceId till("till");
const TimePoint start { std::chrono::seconds(1) };

TimePoint at(int64_t milliseconds) { return start + std::chrono::milliseconds(milliseconds); }
Ticket ticket(uint64_t value) { return Ticket { value }; }

Request request(const std::string& key, bool nonRepeatable = false, int64_t deadline = 1'000)
{
    return { "duftwerk/east/" + key, till, nonRepeatable, at(deadline) };
}

/// Returns the actions of type T.
template <typename T> std::vector<T> actionsOf(const Actions& actions)
{
    std::vector<T> result;
    for (const Action& action : actions)
        if (const T* found = std::get_if<T>(&action))
            result.push_back(*found);
    return result;
}

/// A router with workers w0, w1, ... in its own data centre.
struct Fixture {
    explicit Fixture(uint32_t count, uint32_t slots, RouterOptions options = {})
    {
        options.self = InstanceId("e1");
        options.dataCentre = DataCentreId("vienna");
        options.region = RegionId("east");
        router = std::make_unique<Router>(options);
        router->setServices({ { till, 4 } });
        for (uint32_t i = 0; i < count; ++i) {
            const WorkerId id("w" + std::to_string(i));
            workers.push_back({ id, DataCentreId("vienna"), RegionId("east"), false, { till }, Incarnation { 1 } });
            grants.push_back({ id, Epoch { 1 }, slots, 64, at(3'600'000) });
        }
        update(start);
    }

    /// Passes `workers` and `grants` to the router.
    Actions update(TimePoint now)
    {
        Actions actions = router->setWorkers(workers, now);
        for (Action& action : router->setGrants(grants, now))
            actions.push_back(std::move(action));
        return actions;
    }

    /// Submits a request, requires that it is dispatched at once, and returns its dispatch.
    Dispatch submitDispatched(uint64_t number, TimePoint now = start)
    {
        Request request { "k" + std::to_string(number), till, false, now + std::chrono::seconds(1) };
        const auto dispatches = actionsOf<Dispatch>(router->submit(ticket(number), request, now));
        REQUIRE(dispatches.size() == 1);
        return dispatches[0];
    }

    /// Requires that the actions commit exactly one outcome, NOT_RUN, and returns it.
    CommitOutcome requireRefused(const Actions& actions) const
    {
        const auto outcomes = actionsOf<CommitOutcome>(actions);
        REQUIRE(outcomes.size() == 1);
        REQUIRE(outcomes[0].outcome == Outcome::NotRun);
        return outcomes[0];
    }

    /// Slots in use on a worker, over all grant epochs.
    uint32_t inUse(size_t worker) const
    {
        uint32_t sum = 0;
        for (const GrantUse& use : router->grantUse())
            sum += use.worker == workers[worker].worker ? use.inUse : 0;
        return sum;
    }

    std::unique_ptr<Router> router;
    std::vector<WorkerInfo> workers;
    std::vector<Grant> grants;
};

const AttemptFailure refusal { Outcome::NotRun, "NO_SLOT" };
const AttemptFailure lost { Outcome::Unknown, "CONNECTION_LOST", true };
const ClaimResult accepted { ClaimResult::Code::Accepted };

} // namespace

// Guards against an answer that reaches the caller before its outcome is committed.
TEST_CASE("A repeatable request is dispatched, committed and answered", "[routing]")
{
    Fixture f(1, 1);
    f.submitDispatched(1);
    const Actions answered = f.router->answered(ticket(1), 1, at(5));
    REQUIRE(actionsOf<Reply>(answered).empty());
    REQUIRE(actionsOf<CommitOutcome>(answered).at(0).outcome == Outcome::Ran);
    const auto replies
        = actionsOf<Reply>(f.router->outcomeCommitted(ticket(1), { OutcomeResult::Code::Accepted }, at(6)));
    REQUIRE(replies.at(0).status.ok());
    REQUIRE(replies.at(0).answeredAttempt == 1);
    REQUIRE(f.router->isIdle());
}

// Guards against more requests in flight than slots, an unbounded queue, and an order by which urgent requests expire.
TEST_CASE("Requests without a free slot are queued by deadline, and refused when the queue is full", "[routing]")
{
    Fixture f(1, 1);
    f.submitDispatched(1);
    for (uint64_t i = 2; i <= 5; ++i)
        REQUIRE(f.router->submit(ticket(i), request(std::to_string(i), false, 2'000 - int64_t(i)), start).empty());
    REQUIRE(f.requireRefused(f.router->submit(ticket(6), request("6"), start)).reason == "QUEUE_FULL");
    REQUIRE(actionsOf<Dispatch>(f.router->answered(ticket(1), 1, at(1))).at(0).ticket == ticket(5));
}

// Guards against requests that wait although they cannot be served in time.
TEST_CASE("A request that cannot meet its deadline is refused at once", "[routing]")
{
    Fixture f(1, 1);
    f.submitDispatched(1);
    f.router->answered(ticket(1), 1, at(100)); // Sets the service time to 100 ms.
    f.submitDispatched(2, at(100));
    REQUIRE(f.router->submit(ticket(3), request("3", false, 400), at(100)).empty());
    REQUIRE(f.requireRefused(f.router->submit(ticket(4), request("4", false, 250), at(100))).reason
        == "DEADLINE_CANNOT_BE_MET");
    REQUIRE(
        f.requireRefused(f.router->submit(ticket(5), request("5", false, 50), at(100))).reason == "DEADLINE_EXCEEDED");
}

// Guards against use of the paid link while local workers are free, and against its use without a limit.
TEST_CASE(
    "Workers in the data centre are preferred, then the region, then the paid link within its budget", "[routing]")
{
    Fixture f(3, 1);
    f.workers[1].dataCentre = DataCentreId("graz");
    f.workers[2].dataCentre = DataCentreId("innsbruck");
    f.workers[2].region = RegionId("west");
    f.grants[2].slots = 100;
    f.router->setServices({ { till, 1'000 } });
    f.update(start);
    for (uint64_t i = 0; i < 3; ++i)
        REQUIRE(f.submitDispatched(i + 1).worker == f.workers[i].worker);
    uint32_t paid = 1;
    for (uint64_t i = 4; i <= 100; ++i)
        paid += uint32_t(actionsOf<Dispatch>(f.router->submit(ticket(i), request(std::to_string(i)), start)).size());
    REQUIRE(paid <= 10 + 100 * 10 / 100); // Burst plus 10 % of the requests.
    REQUIRE(paid >= 10);
}

// Guards against dispatch to a worker whose grant has expired, and against slots leaked when a grant shrinks.
TEST_CASE("A grant that shrinks or expires stops dispatch, and slots in use stay counted", "[routing]")
{
    Fixture f(1, 2);
    f.submitDispatched(1);
    f.submitDispatched(2);
    f.grants[0].slots = 1;
    f.grants[0].epoch = Epoch { 2 };
    f.update(at(1));
    REQUIRE(f.inUse(0) == 2);
    REQUIRE(actionsOf<Dispatch>(f.router->submit(ticket(3), request("3"), at(2))).empty());
    REQUIRE(actionsOf<Dispatch>(f.router->answered(ticket(1), 1, at(3))).empty());
    REQUIRE(actionsOf<Dispatch>(f.router->answered(ticket(2), 1, at(4))).at(0).grantEpoch == Epoch { 2 });
    f.grants[0].expires = at(10);
    f.update(at(5));
    f.router->answered(ticket(3), 1, at(9));
    REQUIRE(actionsOf<Dispatch>(f.router->submit(ticket(4), request("4"), at(10))).empty());
}

// Guards against dispatch to a worker that is leaving.
TEST_CASE("A leaving worker receives no new requests, not even claimed ones", "[routing]")
{
    Fixture f(1, 2);
    const auto claims = actionsOf<CommitClaim>(f.router->submit(ticket(1), request("1", true), start));
    REQUIRE(claims.size() == 1);
    f.workers[0].leaving = true;
    f.update(at(1));
    REQUIRE(f.router->claimCommitted(ticket(1), 1, accepted, at(2)).empty());
    REQUIRE(actionsOf<Dispatch>(f.router->submit(ticket(2), request("2"), at(3))).empty());
    f.workers[0].leaving = false;
    const Actions back = f.update(at(4));
    REQUIRE(actionsOf<CommitClaim>(back).at(0).attempt == 2); // The first claim was never used.
    REQUIRE(actionsOf<Dispatch>(back).at(0).ticket == ticket(2));
}

// Guards against retries on the same worker, without backoff, or without a limit.
TEST_CASE("A refused attempt is retried on another worker after a backoff, within the budget", "[routing]")
{
    Fixture f(2, 4, { .backoffBase = std::chrono::milliseconds(10) });
    f.router->setServices({ { till, 1'000 } });
    const Dispatch first = f.submitDispatched(1);
    REQUIRE(actionsOf<Dispatch>(f.router->failed(ticket(1), 1, refusal, at(1))).empty());
    REQUIRE(actionsOf<Dispatch>(f.router->tick(at(5)))
                .empty()); // At least half of the backoff must pass; the rest is jitter.
    const auto second = actionsOf<Dispatch>(f.router->tick(at(11)));
    REQUIRE(second.at(0).worker != first.worker);
    REQUIRE(second.at(0).attempt == 2);

    uint32_t retried = 1;
    uint64_t number = 2;
    for (; number < 100; ++number) {
        const auto dispatches
            = actionsOf<Dispatch>(f.router->submit(ticket(number), request(std::to_string(number)), at(12)));
        const auto outcomes
            = actionsOf<CommitOutcome>(f.router->failed(ticket(number), dispatches.at(0).attempt, refusal, at(12)));
        if (!outcomes.empty()) {
            REQUIRE(outcomes[0].reason == "RETRY_BUDGET_EXHAUSTED");
            REQUIRE(outcomes[0].outcome == Outcome::NotRun);
            break;
        }
        ++retried;
    }
    REQUIRE(retried <= 10 + number / 10);
}

// Guards against a retry on the worker that has just refused: it has the lowest load because it refused.
TEST_CASE("A retry prefers a busier worker over the one tried before", "[routing]")
{
    Fixture f(2, 4);
    f.grants[0].slots = 0;
    f.update(start);
    f.submitDispatched(1);
    f.submitDispatched(2);
    f.grants[0].slots = 4;
    f.update(start);
    const Dispatch first = f.submitDispatched(3);
    REQUIRE(first.worker == f.workers[0].worker);
    f.router->failed(ticket(3), 1, refusal, at(1));
    REQUIRE(actionsOf<Dispatch>(f.router->tick(at(20))).at(0).worker == f.workers[1].worker);
}

// Guards against a second attempt while the first may still be running.
TEST_CASE("After a lost connection the attempt is fenced before another is started", "[routing]")
{
    Fixture f(2, 1);
    const Dispatch first = f.submitDispatched(1);
    const auto queries = actionsOf<QueryWorker>(f.router->failed(ticket(1), 1, lost, at(1)));
    REQUIRE(queries.at(0).worker == first.worker);
    REQUIRE(actionsOf<Dispatch>(f.router->queried(ticket(1), 1, QueryState::Running, at(2))).empty());
    REQUIRE(actionsOf<QueryWorker>(f.router->tick(at(30))).size() == 1);
    SECTION("fenced") { f.router->queried(ticket(1), 1, QueryState::NotSeen, at(31), Incarnation { 1 }); }
    SECTION("restarted") { f.router->queried(ticket(1), 1, QueryState::NotSeen, at(31), Incarnation { 2 }); }
    REQUIRE(actionsOf<Dispatch>(f.router->tick(at(60))).at(0).worker != first.worker);
}

// Guards against NOT_RUN for a request whose worker has restarted: NotSeen from the new process does not prove it.
TEST_CASE("A non-repeatable request ends UNKNOWN if its worker has restarted", "[routing]")
{
    Fixture f(2, 1);
    f.router->submit(ticket(1), request("1", true), start);
    f.router->claimCommitted(ticket(1), 1, accepted, at(1));
    f.router->failed(ticket(1), 1, lost, at(2));
    const Actions ended = f.router->queried(ticket(1), 1, QueryState::NotSeen, at(3), Incarnation { 2 });
    REQUIRE(actionsOf<CommitOutcome>(ended).at(0).outcome == Outcome::Unknown);
}

// Guards against a slot that is reused while its timed-out request is still running.
TEST_CASE("A timed-out request ends UNKNOWN and keeps its slot until the worker reports its end", "[routing]")
{
    Fixture f(1, 1);
    f.submitDispatched(1);
    REQUIRE(actionsOf<QueryWorker>(f.router->tick(at(1'000))).size() == 1);
    REQUIRE(actionsOf<CommitOutcome>(f.router->tick(at(1'500))).at(0).outcome == Outcome::Unknown);
    f.router->outcomeCommitted(ticket(1), { OutcomeResult::Code::Accepted }, at(1'501));
    REQUIRE(f.router->isIdle());
    REQUIRE(f.inUse(0) == 1);
    const auto query = actionsOf<QueryWorker>(f.router->tick(at(1'700))).at(0);
    REQUIRE(query.key == "k1");
    f.router->queried(ticket(1), 1, QueryState::Running, at(1'701));
    REQUIRE(f.inUse(0) == 1);
    f.router->answered(ticket(1), 1, at(1'702));
    REQUIRE(f.inUse(0) == 0);
}

// Guards against slots that are leaked when a worker crashes.
TEST_CASE("A new incarnation of a worker releases the slots of the previous one", "[routing]")
{
    Fixture f(1, 1);
    f.submitDispatched(1);
    f.router->tick(at(1'000));
    f.router->tick(at(1'500)); // UNKNOWN
    f.router->tick(at(1'700));
    REQUIRE(f.inUse(0) == 1);
    f.workers[0].incarnation = Incarnation { 2 };
    f.update(at(1'800));
    f.router->tick(at(2'500));
    REQUIRE(f.inUse(0) == 0);
}

// Guards against hedging that runs a request twice, and against fencing an attempt without a token for another.
TEST_CASE("A hedge queries the slow attempt and starts another only if it was not seen", "[routing]")
{
    Fixture f(2, 4, { .mayHedge = [](const Request&) { return true; } });
    f.submitDispatched(1);
    f.router->answered(ticket(1), 1, at(10));
    const Dispatch slow = f.submitDispatched(2, at(10));
    REQUIRE(actionsOf<QueryWorker>(f.router->tick(at(39))).empty());
    const Actions hedged = f.router->tick(at(41));
    REQUIRE(actionsOf<Dispatch>(hedged).empty());
    REQUIRE(actionsOf<QueryWorker>(hedged).size() == 1);
    REQUIRE(f.router->queried(ticket(2), 1, QueryState::Running, at(42)).empty());
    const auto next = actionsOf<Dispatch>(f.router->queried(ticket(2), 1, QueryState::NotSeen, at(43)));
    REQUIRE(next.at(0).worker != slow.worker);
}

// Guards against a second run of a request that another entry has claimed.
TEST_CASE("A claim of another entry is resolved by a query to its worker", "[routing]")
{
    Fixture f(2, 1);
    f.router->submit(ticket(1), request("1", true), start);
    const ClaimResult before { ClaimResult::Code::ClaimedBefore, WorkerId("w9"), 3, {}, {}, Incarnation { 7 } };
    const auto query = actionsOf<QueryWorker>(f.router->claimCommitted(ticket(1), 1, before, at(1))).at(0);
    REQUIRE(query.worker == WorkerId("w9"));
    REQUIRE(query.attempt == 3);
    SECTION("done: the answer is returned")
    {
        const Actions done = f.router->queried(ticket(1), 3, QueryState::Done, at(2), Incarnation { 7 });
        REQUIRE(actionsOf<CommitOutcome>(done).at(0).answeredAttempt == 3);
    }
    SECTION("not seen: a new claim with a higher attempt")
    {
        const Actions fenced = f.router->queried(ticket(1), 3, QueryState::NotSeen, at(2), Incarnation { 7 });
        REQUIRE(actionsOf<CommitClaim>(fenced).at(0).attempt == 4);
    }
    SECTION("not seen by a restarted worker: UNKNOWN")
    {
        const Actions ended = f.router->queried(ticket(1), 3, QueryState::NotSeen, at(2), Incarnation { 8 });
        REQUIRE(actionsOf<CommitOutcome>(ended).at(0).outcome == Outcome::Unknown);
    }
    SECTION("unreachable until the deadline: UNKNOWN")
    {
        for (int64_t t = 10; t < 1'500; t += 10)
            REQUIRE(actionsOf<CommitOutcome>(f.router->tick(at(t))).empty());
        REQUIRE(actionsOf<CommitOutcome>(f.router->tick(at(1'510))).at(0).outcome == Outcome::Unknown);
    }
}

// Guards against a different claim after a lost reply, against a refusal taken as proof although an earlier send of the
// claim may have been committed, and against a resent request that runs again.
TEST_CASE("Claims are idempotent and ended requests are not run again", "[routing]")
{
    Fixture f(1, 1);
    f.router->submit(ticket(1), request("1", true), start);
    SECTION("failed, then refused: the same claim is sent again")
    {
        REQUIRE(f.router->claimCommitted(ticket(1), 1, { ClaimResult::Code::Failed }, at(1)).empty());
        REQUIRE(actionsOf<CommitClaim>(f.router->tick(at(30))).at(0).attempt == 1);
        REQUIRE(f.router->claimCommitted(ticket(1), 1, { ClaimResult::Code::Refused }, at(31)).empty());
        REQUIRE(actionsOf<CommitClaim>(f.router->tick(at(100))).at(0).attempt == 1);
    }
    SECTION("refused")
    {
        f.requireRefused(f.router->claimCommitted(ticket(1), 1, { ClaimResult::Code::Refused }, at(1)));
    }
    SECTION("ended RAN: the stored answer is fetched")
    {
        const ClaimResult ended { ClaimResult::Code::EndedBefore, WorkerId("w0"), 2, Outcome::Ran };
        REQUIRE(actionsOf<QueryWorker>(f.router->claimCommitted(ticket(1), 1, ended, at(1))).at(0).attempt == 2);
        const auto reply = actionsOf<Reply>(f.router->queried(ticket(1), 2, QueryState::Done, at(2))).at(0);
        REQUIRE(reply.status.ok());
        REQUIRE(reply.answeredAttempt == 2);
    }
}

// Guards against a key that runs twice at the same time because its caller resends it.
TEST_CASE("A key submitted again joins its first ticket", "[routing]")
{
    Fixture f(2, 1);
    f.router->submit(ticket(1), request("a"), start);
    REQUIRE(f.router->submit(ticket(2), request("a"), at(1)).empty());
    f.router->cancelled(ticket(1), at(1)); // The second caller is still waiting.
    f.router->answered(ticket(1), 1, at(2));
    const auto replies
        = actionsOf<Reply>(f.router->outcomeCommitted(ticket(1), { OutcomeResult::Code::Accepted }, at(3)));
    REQUIRE(replies.size() == 2);
    REQUIRE(replies[0].ticket == ticket(2));
    REQUIRE(replies[0].answeredTicket == ticket(1));
    REQUIRE(replies[0].status.ok());
}

// Guards against NOT_RUN for a request that ran, and against outcomes that differ from the ledger in all other cases.
TEST_CASE("The outcome in the ledger is reported, unless it is NOT_RUN for a request that ran", "[routing]")
{
    Fixture f(1, 1);
    f.submitDispatched(1);
    f.router->answered(ticket(1), 1, at(1));
    const auto reportedStatus = [&](Outcome standing) {
        const OutcomeResult result { OutcomeResult::Code::EndedBefore, standing };
        return actionsOf<Reply>(f.router->outcomeCommitted(ticket(1), result, at(2))).at(0).status;
    };
    SECTION("NOT_RUN") { REQUIRE(reportedStatus(Outcome::NotRun).ok()); }
    SECTION("RAN") { REQUIRE(reportedStatus(Outcome::Ran).ok()); }
    SECTION("UNKNOWN") { REQUIRE(detailsOf(reportedStatus(Outcome::Unknown)).outcome == Outcome::Unknown); }
}

// Guards against dispatch for a caller that has gone, and against requests that ran without a recorded outcome.
TEST_CASE("Cancelled requests are not dispatched again, but an attempt that ran is recorded", "[routing]")
{
    Fixture f(1, 1);
    f.submitDispatched(1);
    f.router->submit(ticket(2), request("2"), start);
    REQUIRE(f.requireRefused(f.router->cancelled(ticket(2), at(1))).reason == "CANCELLED");
    f.router->cancelled(ticket(1), at(1));
    SECTION("ran")
    {
        REQUIRE(actionsOf<CommitOutcome>(f.router->answered(ticket(1), 1, at(2))).at(0).outcome == Outcome::Ran);
    }
    SECTION("refused") { f.requireRefused(f.router->failed(ticket(1), 1, refusal, at(2))); }
}

// Guards against a dispatch after a cancellation or the deadline when the claim is committed late.
TEST_CASE("A claim accepted after cancellation or the deadline is not used", "[routing]")
{
    Fixture f(1, 1);
    f.router->submit(ticket(1), request("1", true), start);
    SECTION("cancelled")
    {
        f.router->cancelled(ticket(1), at(1));
        REQUIRE(f.inUse(0) == 0);
        const CommitOutcome ended = f.requireRefused(f.router->claimCommitted(ticket(1), 1, accepted, at(2)));
        REQUIRE(ended.reason == "CANCELLED");
        REQUIRE(ended.claimAttempt == 1);
    }
    SECTION("late: NOT_RUN is committed only after the result of the claim is known")
    {
        REQUIRE(actionsOf<CommitOutcome>(f.router->tick(at(1'000))).empty());
        REQUIRE(f.inUse(0) == 0);
        REQUIRE(f.requireRefused(f.router->claimCommitted(ticket(1), 1, accepted, at(1'001))).reason
            == "DEADLINE_EXCEEDED");
    }
}

// Guards against probes by non-repeatable requests, and against an ejected worker that is never probed.
TEST_CASE("A worker is probed only by repeatable requests, one at a time", "[routing]")
{
    Fixture f(2, 8);
    f.router->setServices({ { till, 1'000 } });
    for (uint64_t i = 1; i <= 10; ++i) {
        const Dispatch dispatch = f.submitDispatched(i);
        if (dispatch.worker == f.workers[0].worker)
            f.router->failed(dispatch.ticket, 1, refusal, start);
    }
    f.router->tick(at(10'000));
    const auto claims = actionsOf<CommitClaim>(f.router->submit(ticket(20), request("n", true, 20'000), at(10'000)));
    REQUIRE(claims.at(0).worker == f.workers[1].worker);
    REQUIRE(f.submitDispatched(21, at(10'000)).worker == f.workers[0].worker);
    REQUIRE(f.submitDispatched(22, at(10'000)).worker == f.workers[1].worker);
}

// Guards against requests lost in a planned shutdown.
TEST_CASE("A draining router refuses new requests and completes the others", "[routing]")
{
    Fixture f(1, 1);
    f.submitDispatched(1);
    f.router->submit(ticket(2), request("2"), start);
    f.router->beginDrain();
    REQUIRE(f.requireRefused(f.router->submit(ticket(3), request("3"), at(1))).reason == "DRAINING");
    REQUIRE(actionsOf<Dispatch>(f.router->answered(ticket(1), 1, at(2))).at(0).ticket == ticket(2));
    REQUIRE_FALSE(f.router->isIdle());
}

// Guards against a failing worker that attracts requests because it fails fast.
TEST_CASE("Failing workers are ejected, probed and restored; at least half stay in service", "[routing]")
{
    Fixture f(4, 8);
    f.router->setServices({ { till, 1'000, 10'000 } });
    std::set<std::string> failing { "w0", "w1", "w2" };
    std::map<std::string, uint32_t> dispatches;
    uint64_t number = 0;
    int64_t now = 0;
    const auto serve = [&](uint32_t requests) {
        dispatches.clear();
        for (uint32_t i = 0; i < requests; ++i) {
            now += 10;
            f.router->tick(at(now));
            const Dispatch dispatch = f.submitDispatched(++number, at(now));
            ++dispatches[dispatch.worker.str()];
            if (failing.contains(dispatch.worker.str())) {
                f.router->failed(dispatch.ticket, 1, { Outcome::Ran, "INTERNAL" }, at(now));
                f.router->queried(dispatch.ticket, 1, QueryState::Done, at(now));
            } else {
                f.router->answered(dispatch.ticket, 1, at(now));
            }
            f.router->outcomeCommitted(dispatch.ticket, { OutcomeResult::Code::Accepted }, at(now));
        }
    };
    serve(40);
    serve(50);
    uint32_t used = 0;
    for (const auto& [worker, count] : dispatches)
        used += count > 5 ? 1 : 0;
    REQUIRE(used == 2); // Two of three bad workers are ejected: never more than half.
    serve(400);
    for (const auto& [worker, count] : dispatches)
        REQUIRE(count >= 1); // Ejected workers are probed.
    failing.clear();
    serve(1'000);
    serve(100);
    REQUIRE(dispatches.size() == 4);
    for (const auto& [worker, count] : dispatches)
        REQUIRE(count >= 20);
}

// Guards against a service without usable workers after the healthy ones leave while the others are ejected.
TEST_CASE("Ejected workers are restored when more than half would be ejected", "[routing]")
{
    Fixture f(4, 8);
    f.router->setServices({ { till, 1'000 } });
    for (uint64_t i = 1; i <= 24; ++i) {
        const Dispatch dispatch = f.submitDispatched(i);
        if (dispatch.worker == f.workers[0].worker || dispatch.worker == f.workers[1].worker)
            f.router->failed(dispatch.ticket, 1, refusal, start);
    }
    f.workers[2].leaving = f.workers[3].leaving = true;
    f.update(at(1));
    f.submitDispatched(30, at(2));
}

// Guards against lost slots, tickets or replies in orders of events that no other test covers.
TEST_CASE("Random events keep slots within grants and give one reply each", "[routing]")
{
    for (uint32_t seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        const auto randomBelow = [&](uint32_t n) { return uint32_t(random() % n); };
        Fixture f(4, 2, { .seed = seed });
        f.router->setServices({ { till, 8 } });
        std::vector<Action> pending;
        std::map<uint64_t, int> replies;
        uint64_t submitted = 0;
        const auto handleActions = [&](const Actions& actions) {
            for (const Action& action : actions) {
                if (const auto* reply = std::get_if<Reply>(&action))
                    ++replies[reply->ticket.value];
                else
                    pending.push_back(action);
            }
        };
        const auto resolve = [&](const Action& action, TimePoint now, bool ending) {
            const uint32_t choice = ending ? 0 : randomBelow(6);
            if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
                if (choice <= 3)
                    return f.router->answered(dispatch->ticket, dispatch->attempt, now);
                return f.router->failed(dispatch->ticket, dispatch->attempt, choice == 4 ? refusal : lost, now);
            }
            if (const auto* claim = std::get_if<CommitClaim>(&action))
                return f.router->claimCommitted(claim->ticket, claim->attempt,
                    { choice <= 3 ? ClaimResult::Code::Accepted : ClaimResult::Code::Failed }, now);
            if (const auto* query = std::get_if<QueryWorker>(&action))
                return f.router->queried(query->ticket, query->attempt, QueryState(ending ? 2 : randomBelow(4)), now);
            return f.router->outcomeCommitted(std::get<CommitOutcome>(action).ticket,
                { choice <= 3 ? OutcomeResult::Code::Accepted : OutcomeResult::Code::Failed }, now);
        };
        for (int64_t t = 0; t < 20'000; t += 5) {
            const bool ending = t > 10'000;
            if (!ending && randomBelow(2) == 0) {
                const Request next { std::to_string(submitted), till, randomBelow(2) == 0, at(t + randomBelow(500)) };
                handleActions(f.router->submit(ticket(submitted++), next, at(t)));
            }
            if (!ending && randomBelow(20) == 0) {
                f.workers[randomBelow(4)].leaving = randomBelow(2) == 0;
                f.grants[randomBelow(4)].slots = randomBelow(3);
                handleActions(f.update(at(t)));
            }
            if (!ending && submitted > 0 && randomBelow(20) == 0)
                handleActions(f.router->cancelled(ticket(randomBelow(uint32_t(submitted))), at(t)));
            for (uint32_t i = 0; i < 3 && !pending.empty(); ++i) {
                std::swap(pending[randomBelow(uint32_t(pending.size()))], pending.back());
                const Action action = pending.back();
                pending.pop_back();
                handleActions(resolve(action, at(t), ending));
            }
            handleActions(f.router->tick(at(t)));
            for (size_t worker = 0; worker < 4; ++worker)
                REQUIRE(f.inUse(worker) <= 2);
        }
        CAPTURE(seed, f.router->dump());
        REQUIRE(f.router->isIdle());
        REQUIRE(replies.size() == submitted);
        for (const auto& [number, count] : replies)
            REQUIRE(count == 1);
        for (size_t worker = 0; worker < 4; ++worker)
            REQUIRE(f.inUse(worker) == 0);
    }
}
