#include "incarnation-fixture.h"

/// Tests of the orders of a leader over HTTP to a worker that starts again under its id at its address.

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;

// Guards against a run at a worker that the leader takes for lost with the incarnation before it (issue 48).
TEST_CASE("a start does not reach a later incarnation of its worker", "[incarnation]")
{
    IncarnationFixture fixture;
    fixture.restart(2);
    fixture.submitJob(job(jobId(1), step(1)));
    REQUIRE(fixture.starts.size() == 1);
    fixture.deliver();
    CHECK(fixture.worker.count(2, startTarget) == 0);
}

// Guards against orders that are sent when their session is over, because they have waited for connections until then.
TEST_CASE("starts that wait for a connection do not reach a later incarnation", "[incarnation]")
{
    IncarnationFixture fixture;
    fixture.worker.holdsAnswers = true;
    fixture.submitJob(job(jobId(1), step(40)));
    fixture.pass();
    while (fixture.worker.received.size() < 4)
        fixture.io.run_one();
    fixture.worker.holdsAnswers = false;
    fixture.restart(2);
    fixture.deliver();
    CHECK(fixture.worker.count(2, startTarget) == 0);
}

// Guards against a start that was in the log before the first heartbeat of the next incarnation, and is sent behind it.
TEST_CASE("a start that was proposed before a later incarnation registers does not reach it", "[incarnation]")
{
    IncarnationFixture fixture;
    fixture.commits = false;
    fixture.submitJob(job(jobId(1), step(1)));
    fixture.commitFirst();
    fixture.runPending(); // Plans and proposes the start.
    fixture.restart(2);
    fixture.heartbeatOf(2);
    REQUIRE(fixture.log.size() == 2);
    fixture.commits = true;
    fixture.runPending();
    fixture.pass();
    REQUIRE(fixture.state.findWorkerById("w1")->worker.born_ms == 2);
    fixture.deliver();
    REQUIRE(fixture.worker.count(2, startTarget) == 1);
    for (const auto& order : fixture.worker.received) {
        if (order.born == 2 && order.target == startTarget)
            CHECK(order.body.at("run").to_number<int64_t>() == 2);
    }
}

// Guards against a lease of the longest duration, which a later incarnation takes from a time on the clock of the
// former.
TEST_CASE("a poll gives no lease to a later incarnation and acknowledges none of its ends", "[incarnation]")
{
    IncarnationFixture fixture;
    fixture.restart(2);
    fixture.submitJob(job(jobId(1), step(1)));
    REQUIRE(fixture.starts.size() == 1);
    const auto address = fixture.starts.front().to;
    std::optional<PollAnswer> answer;
    fixture.orders.poll(address, { .fencingToken = 1, .ackCursor = 3, .leaseUntilMs = 5'000 },
        [&](PollAnswer received) { answer = std::move(received); });
    while (!answer)
        fixture.io.run_one();
    REQUIRE(answer->result == OrderResult::Accepted);
    CHECK(answer->startedAtMs == 2);
    for (const auto& order : fixture.worker.received) {
        if (order.born != 2)
            continue;
        CHECK_FALSE(order.body.contains("until-ms"));
        CHECK(order.body.at("ack-cursor").to_number<int64_t>() == 0);
    }
}
