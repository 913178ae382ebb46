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

template <typename T> std::vector<T> only(const Actions& actions)
{
    std::vector<T> result;
    for (const Action& action : actions)
        if (const T* found = std::get_if<T>(&action))
            result.push_back(*found);
    return result;
}

/// A router with workers w0, w1, ... in Vienna.
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
        push(start);
    }

    Actions push(TimePoint now)
    {
        Actions actions = router->setWorkers(workers, now);
        for (Action& action : router->setGrants(grants, now))
            actions.push_back(std::move(action));
        return actions;
    }

    /// Submits a request that must be dispatched at once.
    Dispatch dispatched(uint64_t number, TimePoint now = start)
    {
        Request request { "k" + std::to_string(number), till, false, now + std::chrono::seconds(1) };
        const auto dispatches = only<Dispatch>(router->submit(ticket(number), request, now));
        REQUIRE(dispatches.size() == 1);
        return dispatches[0];
    }

    CommitOutcome refused(const Actions& actions) const
    {
        const auto outcomes = only<CommitOutcome>(actions);
        REQUIRE(outcomes.size() == 1);
        REQUIRE(outcomes[0].outcome == Outcome::NotRun);
        return outcomes[0];
    }

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
    f.dispatched(1);
    const Actions answered = f.router->answered(ticket(1), 1, at(5));
    REQUIRE(only<Reply>(answered).empty());
    REQUIRE(only<CommitOutcome>(answered).at(0).outcome == Outcome::Ran);
    const auto replies = only<Reply>(f.router->outcomeCommitted(ticket(1), { OutcomeResult::Code::Accepted }, at(6)));
    REQUIRE(replies.at(0).status.ok());
    REQUIRE(replies.at(0).answeredAttempt == 1);
    REQUIRE(f.router->isIdle());
}

// Guards against more in flight than slots, an unbounded queue, and an order that lets urgent requests expire.
TEST_CASE("Requests beyond the slots wait by deadline, and those beyond the queue are refused", "[routing]")
{
    Fixture f(1, 1);
    f.dispatched(1);
    for (uint64_t i = 2; i <= 5; ++i)
        REQUIRE(f.router->submit(ticket(i), request(std::to_string(i), false, 2'000 - int64_t(i)), start).empty());
    REQUIRE(f.refused(f.router->submit(ticket(6), request("6"), start)).reason == "QUEUE_FULL");
    REQUIRE(only<Dispatch>(f.router->answered(ticket(1), 1, at(1))).at(0).ticket == ticket(5));
}

// Guards against requests that wait although they cannot be served in time.
TEST_CASE("A deadline that cannot be met is refused at once", "[routing]")
{
    Fixture f(1, 1);
    f.dispatched(1);
    f.router->answered(ticket(1), 1, at(100)); // The service takes 100 ms.
    f.dispatched(2, at(100));
    REQUIRE(f.router->submit(ticket(3), request("3", false, 400), at(100)).empty());
    REQUIRE(
        f.refused(f.router->submit(ticket(4), request("4", false, 250), at(100))).reason == "DEADLINE_CANNOT_BE_MET");
    REQUIRE(f.refused(f.router->submit(ticket(5), request("5", false, 50), at(100))).reason == "DEADLINE_EXCEEDED");
}

// Guards against paid traffic while local workers are free, and against an unbounded share of it.
TEST_CASE("The data centre comes first, then the region, and the paid link with a bounded share", "[routing]")
{
    Fixture f(3, 1);
    f.workers[1].dataCentre = DataCentreId("graz");
    f.workers[2].dataCentre = DataCentreId("innsbruck");
    f.workers[2].region = RegionId("west");
    f.grants[2].slots = 100;
    f.router->setServices({ { till, 1'000 } });
    f.push(start);
    for (uint64_t i = 0; i < 3; ++i)
        REQUIRE(f.dispatched(i + 1).worker == f.workers[i].worker);
    uint32_t paid = 1;
    for (uint64_t i = 4; i <= 100; ++i)
        paid += uint32_t(only<Dispatch>(f.router->submit(ticket(i), request(std::to_string(i)), start)).size());
    REQUIRE(paid <= 10 + 100 * 10 / 100); // Burst and share.
    REQUIRE(paid >= 10);
}

// Guards against requests on a worker whose grant has ended, and against a slot lost by a smaller grant.
TEST_CASE("Grants that shrink or expire stop dispatch and keep the slots in use", "[routing]")
{
    Fixture f(1, 2);
    f.dispatched(1);
    f.dispatched(2);
    f.grants[0].slots = 1;
    f.grants[0].epoch = Epoch { 2 };
    f.push(at(1));
    REQUIRE(f.inUse(0) == 2);
    REQUIRE(only<Dispatch>(f.router->submit(ticket(3), request("3"), at(2))).empty());
    REQUIRE(only<Dispatch>(f.router->answered(ticket(1), 1, at(3))).empty());
    REQUIRE(only<Dispatch>(f.router->answered(ticket(2), 1, at(4))).at(0).grantEpoch == Epoch { 2 });
    f.grants[0].expires = at(10);
    f.push(at(5));
    f.router->answered(ticket(3), 1, at(9));
    REQUIRE(only<Dispatch>(f.router->submit(ticket(4), request("4"), at(10))).empty());
}

// Guards against new work for a worker that is leaving.
TEST_CASE("A leaving worker gets nothing new, not even a claimed request", "[routing]")
{
    Fixture f(1, 2);
    const auto claims = only<CommitClaim>(f.router->submit(ticket(1), request("1", true), start));
    REQUIRE(claims.size() == 1);
    f.workers[0].leaving = true;
    f.push(at(1));
    REQUIRE(f.router->claimCommitted(ticket(1), 1, accepted, at(2)).empty());
    REQUIRE(only<Dispatch>(f.router->submit(ticket(2), request("2"), at(3))).empty());
    f.workers[0].leaving = false;
    const Actions back = f.push(at(4));
    REQUIRE(only<CommitClaim>(back).at(0).attempt == 2); // The first claim was never used.
    REQUIRE(only<Dispatch>(back).at(0).ticket == ticket(2));
}

// Guards against retries on the same worker, without a pause, or without a bound.
TEST_CASE("A refused attempt is retried on another worker after a backoff, within the budget", "[routing]")
{
    Fixture f(2, 4, { .backoffBase = std::chrono::milliseconds(10) });
    f.router->setServices({ { till, 1'000 } });
    const Dispatch first = f.dispatched(1);
    REQUIRE(only<Dispatch>(f.router->failed(ticket(1), 1, refusal, at(1))).empty());
    REQUIRE(only<Dispatch>(f.router->tick(at(5))).empty()); // Half of the backoff is fixed.
    const auto second = only<Dispatch>(f.router->tick(at(11)));
    REQUIRE(second.at(0).worker != first.worker);
    REQUIRE(second.at(0).attempt == 2);

    uint32_t retried = 1;
    uint64_t number = 2;
    for (; number < 100; ++number) {
        const auto dispatches
            = only<Dispatch>(f.router->submit(ticket(number), request(std::to_string(number)), at(12)));
        const auto outcomes
            = only<CommitOutcome>(f.router->failed(ticket(number), dispatches.at(0).attempt, refusal, at(12)));
        if (!outcomes.empty()) {
            REQUIRE(outcomes[0].reason == "RETRY_BUDGET_EXHAUSTED");
            REQUIRE(outcomes[0].outcome == Outcome::NotRun);
            break;
        }
        ++retried;
    }
    REQUIRE(retried <= 10 + number / 10);
}

// Guards against a retry on the worker that has just refused, which is less loaded for that very reason.
TEST_CASE("A retry prefers a busier worker over the one tried before", "[routing]")
{
    Fixture f(2, 4);
    f.grants[0].slots = 0;
    f.push(start);
    f.dispatched(1);
    f.dispatched(2);
    f.grants[0].slots = 4;
    f.push(start);
    const Dispatch first = f.dispatched(3);
    REQUIRE(first.worker == f.workers[0].worker);
    f.router->failed(ticket(3), 1, refusal, at(1));
    REQUIRE(only<Dispatch>(f.router->tick(at(20))).at(0).worker == f.workers[1].worker);
}

// Guards against a second attempt while the first may still run.
TEST_CASE("After a lost connection the attempt is fenced before the next", "[routing]")
{
    Fixture f(2, 1);
    const Dispatch first = f.dispatched(1);
    const auto queries = only<QueryWorker>(f.router->failed(ticket(1), 1, lost, at(1)));
    REQUIRE(queries.at(0).worker == first.worker);
    REQUIRE(only<Dispatch>(f.router->queried(ticket(1), 1, QueryState::Running, at(2))).empty());
    REQUIRE(only<QueryWorker>(f.router->tick(at(30))).size() == 1);
    SECTION("fenced") { f.router->queried(ticket(1), 1, QueryState::NotSeen, at(31), Incarnation { 1 }); }
    SECTION("restarted") { f.router->queried(ticket(1), 1, QueryState::NotSeen, at(31), Incarnation { 2 }); }
    REQUIRE(only<Dispatch>(f.router->tick(at(60))).at(0).worker != first.worker);
}

// Guards against NOT_RUN for a request whose worker has restarted: NotSeen from the new process proves nothing.
TEST_CASE("A restarted worker proves nothing about a non-repeatable request", "[routing]")
{
    Fixture f(2, 1);
    f.router->submit(ticket(1), request("1", true), start);
    f.router->claimCommitted(ticket(1), 1, accepted, at(1));
    f.router->failed(ticket(1), 1, lost, at(2));
    const Actions ended = f.router->queried(ticket(1), 1, QueryState::NotSeen, at(3), Incarnation { 2 });
    REQUIRE(only<CommitOutcome>(ended).at(0).outcome == Outcome::Unknown);
}

// Guards against a slot given away while its timed-out request still runs.
TEST_CASE("A timed-out request ends UNKNOWN and keeps its slot until the worker tells its end", "[routing]")
{
    Fixture f(1, 1);
    f.dispatched(1);
    REQUIRE(only<QueryWorker>(f.router->tick(at(1'000))).size() == 1);
    REQUIRE(only<CommitOutcome>(f.router->tick(at(1'500))).at(0).outcome == Outcome::Unknown);
    f.router->outcomeCommitted(ticket(1), { OutcomeResult::Code::Accepted }, at(1'501));
    REQUIRE(f.router->isIdle());
    REQUIRE(f.inUse(0) == 1);
    const auto query = only<QueryWorker>(f.router->tick(at(1'700))).at(0);
    REQUIRE(query.key == "k1");
    f.router->queried(ticket(1), 1, QueryState::Running, at(1'701));
    REQUIRE(f.inUse(0) == 1);
    f.router->answered(ticket(1), 1, at(1'702));
    REQUIRE(f.inUse(0) == 0);
}

// Guards against slots that stay in use for ever after a worker's crash.
TEST_CASE("A new incarnation of the worker ends what its predecessor ran", "[routing]")
{
    Fixture f(1, 1);
    f.dispatched(1);
    f.router->tick(at(1'000));
    f.router->tick(at(1'500)); // UNKNOWN
    f.router->tick(at(1'700));
    REQUIRE(f.inUse(0) == 1);
    f.workers[0].incarnation = Incarnation { 2 };
    f.push(at(1'800));
    f.router->tick(at(2'500));
    REQUIRE(f.inUse(0) == 0);
}

// Guards against two runs of one request by hedging, and against fencing without means for another attempt.
TEST_CASE("A hedge queries the slow attempt and starts another only if it was not seen", "[routing]")
{
    Fixture f(2, 4, { .mayHedge = [](const Request&) { return true; } });
    f.dispatched(1);
    f.router->answered(ticket(1), 1, at(10));
    const Dispatch slow = f.dispatched(2, at(10));
    REQUIRE(only<QueryWorker>(f.router->tick(at(39))).empty());
    const Actions hedged = f.router->tick(at(41));
    REQUIRE(only<Dispatch>(hedged).empty());
    REQUIRE(only<QueryWorker>(hedged).size() == 1);
    REQUIRE(f.router->queried(ticket(2), 1, QueryState::Running, at(42)).empty());
    const auto next = only<Dispatch>(f.router->queried(ticket(2), 1, QueryState::NotSeen, at(43)));
    REQUIRE(next.at(0).worker != slow.worker);
}

// Guards against a second run of a request that another entry has claimed.
TEST_CASE("A claim of another entry is resolved by its worker", "[routing]")
{
    Fixture f(2, 1);
    f.router->submit(ticket(1), request("1", true), start);
    const ClaimResult before { ClaimResult::Code::ClaimedBefore, WorkerId("w9"), 3, {}, {}, Incarnation { 7 } };
    const auto query = only<QueryWorker>(f.router->claimCommitted(ticket(1), 1, before, at(1))).at(0);
    REQUIRE(query.worker == WorkerId("w9"));
    REQUIRE(query.attempt == 3);
    SECTION("done: the answer is passed on")
    {
        const Actions done = f.router->queried(ticket(1), 3, QueryState::Done, at(2), Incarnation { 7 });
        REQUIRE(only<CommitOutcome>(done).at(0).answeredAttempt == 3);
    }
    SECTION("not seen: a new claim with a higher attempt")
    {
        const Actions fenced = f.router->queried(ticket(1), 3, QueryState::NotSeen, at(2), Incarnation { 7 });
        REQUIRE(only<CommitClaim>(fenced).at(0).attempt == 4);
    }
    SECTION("not seen by a restarted worker: UNKNOWN")
    {
        const Actions ended = f.router->queried(ticket(1), 3, QueryState::NotSeen, at(2), Incarnation { 8 });
        REQUIRE(only<CommitOutcome>(ended).at(0).outcome == Outcome::Unknown);
    }
    SECTION("unreachable until the deadline: UNKNOWN")
    {
        for (int64_t t = 10; t < 1'500; t += 10)
            REQUIRE(only<CommitOutcome>(f.router->tick(at(t))).empty());
        REQUIRE(only<CommitOutcome>(f.router->tick(at(1'510))).at(0).outcome == Outcome::Unknown);
    }
}

// Guards against another claim after a lost reply, against a refusal that proves less than it says, and against a
// resend that runs again.
TEST_CASE("Claims are idempotent and ended requests are not run again", "[routing]")
{
    Fixture f(1, 1);
    f.router->submit(ticket(1), request("1", true), start);
    SECTION("failed, then refused: the same claim is sent again")
    {
        REQUIRE(f.router->claimCommitted(ticket(1), 1, { ClaimResult::Code::Failed }, at(1)).empty());
        REQUIRE(only<CommitClaim>(f.router->tick(at(30))).at(0).attempt == 1);
        REQUIRE(f.router->claimCommitted(ticket(1), 1, { ClaimResult::Code::Refused }, at(31)).empty());
        REQUIRE(only<CommitClaim>(f.router->tick(at(100))).at(0).attempt == 1);
    }
    SECTION("refused") { f.refused(f.router->claimCommitted(ticket(1), 1, { ClaimResult::Code::Refused }, at(1))); }
    SECTION("ended RAN: the kept answer is fetched")
    {
        const ClaimResult ended { ClaimResult::Code::EndedBefore, WorkerId("w0"), 2, Outcome::Ran };
        REQUIRE(only<QueryWorker>(f.router->claimCommitted(ticket(1), 1, ended, at(1))).at(0).attempt == 2);
        const auto reply = only<Reply>(f.router->queried(ticket(1), 2, QueryState::Done, at(2))).at(0);
        REQUIRE(reply.status.ok());
        REQUIRE(reply.answeredAttempt == 2);
    }
}

// Guards against a key that runs twice at once because its caller sends it again.
TEST_CASE("A key submitted again joins its first ticket", "[routing]")
{
    Fixture f(2, 1);
    f.router->submit(ticket(1), request("a"), start);
    REQUIRE(f.router->submit(ticket(2), request("a"), at(1)).empty());
    f.router->cancelled(ticket(1), at(1)); // The second caller still waits.
    f.router->answered(ticket(1), 1, at(2));
    const auto replies = only<Reply>(f.router->outcomeCommitted(ticket(1), { OutcomeResult::Code::Accepted }, at(3)));
    REQUIRE(replies.size() == 2);
    REQUIRE(replies[0].ticket == ticket(2));
    REQUIRE(replies[0].answeredTicket == ticket(1));
    REQUIRE(replies[0].status.ok());
}

// Guards against NOT_RUN for a request that ran, and against another outcome than the ledger's in all other cases.
TEST_CASE("The outcome that stands in the ledger is told, unless it is a false NOT_RUN", "[routing]")
{
    Fixture f(1, 1);
    f.dispatched(1);
    f.router->answered(ticket(1), 1, at(1));
    const auto told = [&](Outcome standing) {
        const OutcomeResult result { OutcomeResult::Code::EndedBefore, standing };
        return only<Reply>(f.router->outcomeCommitted(ticket(1), result, at(2))).at(0).status;
    };
    SECTION("NOT_RUN") { REQUIRE(told(Outcome::NotRun).ok()); }
    SECTION("RAN") { REQUIRE(told(Outcome::Ran).ok()); }
    SECTION("UNKNOWN") { REQUIRE(detailsOf(told(Outcome::Unknown)).outcome == Outcome::Unknown); }
}

// Guards against work for a caller that is gone, and against uncounted work.
TEST_CASE("Cancelled requests are not dispatched further, but what ran is counted", "[routing]")
{
    Fixture f(1, 1);
    f.dispatched(1);
    f.router->submit(ticket(2), request("2"), start);
    REQUIRE(f.refused(f.router->cancelled(ticket(2), at(1))).reason == "CANCELLED");
    f.router->cancelled(ticket(1), at(1));
    SECTION("ran")
    {
        REQUIRE(only<CommitOutcome>(f.router->answered(ticket(1), 1, at(2))).at(0).outcome == Outcome::Ran);
    }
    SECTION("refused") { f.refused(f.router->failed(ticket(1), 1, refusal, at(2))); }
}

// Guards against a dispatch for a caller that left, or after the deadline, because the claim took long.
TEST_CASE("A claim that is accepted too late is not used", "[routing]")
{
    Fixture f(1, 1);
    f.router->submit(ticket(1), request("1", true), start);
    SECTION("cancelled")
    {
        f.router->cancelled(ticket(1), at(1));
        REQUIRE(f.inUse(0) == 0);
        const CommitOutcome ended = f.refused(f.router->claimCommitted(ticket(1), 1, accepted, at(2)));
        REQUIRE(ended.reason == "CANCELLED");
        REQUIRE(ended.claimAttempt == 1);
    }
    SECTION("late: NOT_RUN is said only after the claim is decided")
    {
        REQUIRE(only<CommitOutcome>(f.router->tick(at(1'000))).empty());
        REQUIRE(f.inUse(0) == 0);
        REQUIRE(f.refused(f.router->claimCommitted(ticket(1), 1, accepted, at(1'001))).reason == "DEADLINE_EXCEEDED");
    }
}

// Guards against a non-repeatable request as a probe, and against an ejected worker that is never probed.
TEST_CASE("A worker is probed by repeatable requests alone, one at a time", "[routing]")
{
    Fixture f(2, 8);
    f.router->setServices({ { till, 1'000 } });
    for (uint64_t i = 1; i <= 10; ++i) {
        const Dispatch dispatch = f.dispatched(i);
        if (dispatch.worker == f.workers[0].worker)
            f.router->failed(dispatch.ticket, 1, refusal, start);
    }
    f.router->tick(at(10'000));
    const auto claims = only<CommitClaim>(f.router->submit(ticket(20), request("n", true, 20'000), at(10'000)));
    REQUIRE(claims.at(0).worker == f.workers[1].worker);
    REQUIRE(f.dispatched(21, at(10'000)).worker == f.workers[0].worker);
    REQUIRE(f.dispatched(22, at(10'000)).worker == f.workers[1].worker);
}

// Guards against requests lost by a planned stop.
TEST_CASE("A draining router refuses new requests and finishes the others", "[routing]")
{
    Fixture f(1, 1);
    f.dispatched(1);
    f.router->submit(ticket(2), request("2"), start);
    f.router->beginDrain();
    REQUIRE(f.refused(f.router->submit(ticket(3), request("3"), at(1))).reason == "DRAINING");
    REQUIRE(only<Dispatch>(f.router->answered(ticket(1), 1, at(2))).at(0).ticket == ticket(2));
    REQUIRE_FALSE(f.router->isIdle());
}

// Guards against a worker that fails everything and draws requests because it fails fast.
TEST_CASE("A worker that fails everything is ejected, probed and returned; half stay in service", "[routing]")
{
    Fixture f(4, 8);
    f.router->setServices({ { till, 1'000, 10'000 } });
    std::set<std::string> bad { "w0", "w1", "w2" };
    std::map<std::string, uint32_t> dispatches;
    uint64_t number = 0;
    int64_t now = 0;
    const auto serve = [&](uint32_t requests) {
        dispatches.clear();
        for (uint32_t i = 0; i < requests; ++i) {
            now += 10;
            f.router->tick(at(now));
            const Dispatch dispatch = f.dispatched(++number, at(now));
            ++dispatches[dispatch.worker.str()];
            if (bad.contains(dispatch.worker.str())) {
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
    bad.clear();
    serve(1'000);
    serve(100);
    REQUIRE(dispatches.size() == 4);
    for (const auto& [worker, count] : dispatches)
        REQUIRE(count >= 20);
}

// Guards against a service whose healthy workers leave while the others are ejected.
TEST_CASE("Ejected workers return when more than half would be ejected", "[routing]")
{
    Fixture f(4, 8);
    f.router->setServices({ { till, 1'000 } });
    for (uint64_t i = 1; i <= 24; ++i) {
        const Dispatch dispatch = f.dispatched(i);
        if (dispatch.worker == f.workers[0].worker || dispatch.worker == f.workers[1].worker)
            f.router->failed(dispatch.ticket, 1, refusal, start);
    }
    f.workers[2].leaving = f.workers[3].leaving = true;
    f.push(at(1));
    f.dispatched(30, at(2));
}

// Guards against slots, tickets or replies lost in orders of events that no single test has.
TEST_CASE("Random events keep slots within grants and give one reply each", "[routing]")
{
    for (uint32_t seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        const auto roll = [&](uint32_t n) { return uint32_t(random() % n); };
        Fixture f(4, 2, { .seed = seed });
        f.router->setServices({ { till, 8 } });
        std::vector<Action> pending;
        std::map<uint64_t, int> replies;
        uint64_t submitted = 0;
        const auto take = [&](const Actions& actions) {
            for (const Action& action : actions) {
                if (const auto* reply = std::get_if<Reply>(&action))
                    ++replies[reply->ticket.value];
                else
                    pending.push_back(action);
            }
        };
        const auto resolve = [&](const Action& action, TimePoint now, bool ending) {
            const uint32_t luck = ending ? 0 : roll(6);
            if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
                if (luck <= 3)
                    return f.router->answered(dispatch->ticket, dispatch->attempt, now);
                return f.router->failed(dispatch->ticket, dispatch->attempt, luck == 4 ? refusal : lost, now);
            }
            if (const auto* claim = std::get_if<CommitClaim>(&action))
                return f.router->claimCommitted(claim->ticket, claim->attempt,
                    { luck <= 3 ? ClaimResult::Code::Accepted : ClaimResult::Code::Failed }, now);
            if (const auto* query = std::get_if<QueryWorker>(&action))
                return f.router->queried(query->ticket, query->attempt, QueryState(ending ? 2 : roll(4)), now);
            return f.router->outcomeCommitted(std::get<CommitOutcome>(action).ticket,
                { luck <= 3 ? OutcomeResult::Code::Accepted : OutcomeResult::Code::Failed }, now);
        };
        for (int64_t t = 0; t < 20'000; t += 5) {
            const bool ending = t > 10'000;
            if (!ending && roll(2) == 0) {
                const Request next { std::to_string(submitted), till, roll(2) == 0, at(t + roll(500)) };
                take(f.router->submit(ticket(submitted++), next, at(t)));
            }
            if (!ending && roll(20) == 0) {
                f.workers[roll(4)].leaving = roll(2) == 0;
                f.grants[roll(4)].slots = roll(3);
                take(f.push(at(t)));
            }
            if (!ending && submitted > 0 && roll(20) == 0)
                take(f.router->cancelled(ticket(roll(uint32_t(submitted))), at(t)));
            for (uint32_t i = 0; i < 3 && !pending.empty(); ++i) {
                std::swap(pending[roll(uint32_t(pending.size()))], pending.back());
                const Action action = pending.back();
                pending.pop_back();
                take(resolve(action, at(t), ending));
            }
            take(f.router->tick(at(t)));
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
