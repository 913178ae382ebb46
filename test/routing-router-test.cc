#include "turmericpier/routing/router.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::routing;

namespace {

const ServiceId till("till");
const TimePoint start { std::chrono::seconds(1) };

TimePoint at(int64_t milliseconds) { return start + std::chrono::milliseconds(milliseconds); }

std::unique_ptr<Router> makeRouter(uint32_t workers, uint32_t slots)
{
    auto owner = std::make_unique<Router>(
        RouterOptions { .self = InstanceId("e1"), .dataCentre = DataCentreId("vienna"), .region = RegionId("east") });
    Router& router = *owner;
    router.setServices({ { till, 4 } });
    std::vector<WorkerInfo> infos;
    std::vector<Grant> grants;
    for (uint32_t i = 0; i < workers; ++i) {
        const WorkerId worker("w" + std::to_string(i));
        infos.push_back({ worker, DataCentreId("vienna"), RegionId("east"), false, { till } });
        grants.push_back({ worker, Epoch { 1 }, slots, 64, at(60'000) });
    }
    router.setWorkers(infos, start);
    router.setGrants(grants, start);
    return owner;
}

template <typename T> std::vector<T> only(const Actions& actions)
{
    std::vector<T> result;
    for (const Action& action : actions)
        if (const T* found = std::get_if<T>(&action))
            result.push_back(*found);
    return result;
}

Request request(const std::string& key, bool nonRepeatable = false)
{
    return { "duftwerk/east/" + key, till, nonRepeatable, at(1'000) };
}

} // namespace

// Guards against an answer that reaches the caller before its outcome is committed.
TEST_CASE("A repeatable request is dispatched, committed and answered", "[routing]")
{
    const auto owner = makeRouter(1, 1);
    Router& router = *owner;
    const auto dispatches = only<Dispatch>(router.submit(Ticket { 1 }, request("a"), start));
    REQUIRE(dispatches.size() == 1);
    const Actions answered = router.answered(Ticket { 1 }, dispatches[0].attempt, at(5));
    REQUIRE(only<Reply>(answered).empty());
    REQUIRE(only<CommitOutcome>(answered).at(0).outcome == Outcome::Ran);
    const auto replies = only<Reply>(router.outcomeCommitted(Ticket { 1 }, { OutcomeResult::Code::Accepted }, at(6)));
    REQUIRE(replies.at(0).status.ok());
    REQUIRE(replies.at(0).answeredAttempt == 1);
    REQUIRE(router.isIdle());
}

// Guards against more requests in flight than the grant's slots, and against an unbounded queue.
TEST_CASE("Requests beyond the slots wait and requests beyond the queue are refused", "[routing]")
{
    const auto owner = makeRouter(1, 1);
    Router& router = *owner;
    REQUIRE(only<Dispatch>(router.submit(Ticket { 1 }, request("a"), start)).size() == 1);
    for (uint64_t i = 2; i <= 5; ++i)
        REQUIRE(router.submit(Ticket { i }, request("q" + std::to_string(i)), start).empty());
    const auto refused = only<CommitOutcome>(router.submit(Ticket { 6 }, request("f"), start));
    REQUIRE(refused.at(0).outcome == Outcome::NotRun);
    REQUIRE(refused.at(0).reason == "QUEUE_FULL");
    REQUIRE(only<Dispatch>(router.answered(Ticket { 1 }, 1, at(1))).at(0).ticket == Ticket { 2 });
}

// Guards against a non-repeatable request that is dispatched before its claim is committed.
TEST_CASE("A non-repeatable request is claimed first", "[routing]")
{
    const auto owner = makeRouter(1, 1);
    Router& router = *owner;
    const Actions submitted = router.submit(Ticket { 1 }, request("a", true), start);
    REQUIRE(only<Dispatch>(submitted).empty());
    const CommitClaim claim = only<CommitClaim>(submitted).at(0);
    const auto dispatches
        = only<Dispatch>(router.claimCommitted(Ticket { 1 }, claim.attempt, { ClaimResult::Code::Accepted }, at(1)));
    REQUIRE(dispatches.at(0).worker == claim.worker);
}

// Guards against NOT_RUN for a request that may have run.
TEST_CASE("An attempt of unknown end at the deadline is queried and then UNKNOWN", "[routing]")
{
    const auto owner = makeRouter(1, 1);
    Router& router = *owner;
    router.submit(Ticket { 1 }, request("a"), start);
    REQUIRE(only<QueryWorker>(router.tick(at(1'000))).size() == 1);
    router.queried(Ticket { 1 }, 1, QueryState::Running, at(1'001));
    REQUIRE(only<CommitOutcome>(router.tick(at(1'600))).at(0).outcome == Outcome::Unknown);
    REQUIRE(router.grantUse().at(0).inUse == 1);
    router.answered(Ticket { 1 }, 1, at(1'700));
    REQUIRE(router.grantUse().at(0).inUse == 0);
}
