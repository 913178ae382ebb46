#include "cell-fake-world.h"

#include <catch2/catch.hpp>

/// Tests of a worker that starts again under its id at its address. Orders name only the id, so that the later
/// incarnation, the successor, accepts orders for the earlier one.

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;
using record::EndKind;
using record::JobState;
using record::TaskState;
using record::Verdict;
using std::chrono::milliseconds;

namespace {

constexpr int64_t successorBorn = 2;

/// A start order was sent to the idle worker w1, which a successor has replaced unnoticed. The worker w2 is ready too.
struct SuccessorFixture : LeaderFixture {
    const TaskKey task { jobId(1), 0, 0, 0 };

    SuccessorFixture()
    {
        activate();
        addReadyWorker("w1");
        submitJob(job(jobId(1), step(1)));
        addReadyWorker("w2");
        REQUIRE(starts.size() == 1);
        REQUIRE(starts.front().to.id == "w1");
    }

    bool answerPollAsSuccessor(std::vector<ActiveRun> running, std::vector<EndedRun> ended = {})
    {
        PollAnswer answer;
        answer.result = OrderResult::Accepted;
        answer.clockMs = 5;
        answer.startedAtMs = successorBorn;
        answer.running = std::move(running);
        answer.ended = std::move(ended);
        return answerPollWith("w1", answer).has_value();
    }
    std::shared_ptr<std::optional<record::ReplyT>> sendFirstHeartbeat()
    {
        auto reply = std::make_shared<std::optional<record::ReplyT>>();
        auto made = callFor(record::CallKind::Beat, "");
        made->worker = test::worker("w1", successorBorn);
        leader->handle(std::move(made), [reply](record::ReplyT answer) { *reply = std::move(answer); });
        runPending();
        return reply;
    }
    EndedRun ended(EndKind how) const { return { 1, task, 1, how, "" }; }
    bool isRegistered() const { return state.findWorkerById("w1")->worker.born_ms == successorBorn; }
};

} // namespace

// Guards against two runs of a task at once: one that the successor has accepted, and one started after its heartbeat.
TEST_CASE("a run that a successor has accepted is stopped before the task starts again", "[cell]")
{
    SuccessorFixture fixture;
    fixture.answerStart(OrderResult::Accepted);
    const auto reply = fixture.sendFirstHeartbeat();
    CHECK(fixture.starts.empty());
    REQUIRE(fixture.answerPollAsSuccessor({ activeRun(fixture.task, 1) }));
    CHECK(fixture.starts.empty());
    CHECK_FALSE(reply->has_value());
    REQUIRE(fixture.stops.size() == 1);
    fixture.answerStop(OrderResult::Accepted);
    REQUIRE(fixture.answerPollAsSuccessor({}, { fixture.ended(EndKind::Stopped) }));
    REQUIRE(fixture.starts.size() == 1);
    CHECK(fixture.starts.front().to.id == "w2");
    // No crash of the earlier incarnation is attributed to the task.
    CHECK(fixture.state.findTask(fixture.task)->suspicions == 0);
    REQUIRE(fixture.answerPollAsSuccessor({}, { fixture.ended(EndKind::Stopped) }));
    REQUIRE(reply->has_value());
    CHECK((*reply)->verdict == Verdict::Ok);
    CHECK(fixture.isRegistered());
}

// Guards against a second run of a task whose first run has ended at the successor before that was noticed.
TEST_CASE("an end that a successor lists is the end of the task", "[cell]")
{
    SuccessorFixture fixture;
    fixture.answerStart(OrderResult::Accepted);
    REQUIRE(fixture.answerPollAsSuccessor({}, { fixture.ended(EndKind::Done) }));
    CHECK(fixture.state.findJob(jobId(1))->state == JobState::Done);
    CHECK(fixture.starts.empty());
    REQUIRE(fixture.answerPollAsSuccessor({}, { fixture.ended(EndKind::Done) }));
    CHECK_FALSE(fixture.state.findWorkerById("w1"));
}

// Guards against a successor that forgets an end which was never listed, because the numbers of ends start anew.
TEST_CASE("the ends of an earlier incarnation are not acknowledged to a successor", "[cell]")
{
    LeaderFixture fixture;
    fixture.activate();
    fixture.addReadyWorker("w1");
    const TaskKey first { jobId(2), 0, 0, 0 };
    fixture.submitJob(job(jobId(2), step(1)));
    fixture.answerStart(OrderResult::Accepted);
    fixture.answerPoll("w1", {}, { { 7, first, 1, EndKind::Done, "" } });
    REQUIRE(fixture.answerPoll("w1")->ackCursor == 7);
    fixture.submitJob(job(jobId(1), step(1)));
    fixture.answerStart(OrderResult::Accepted);
    PollAnswer answer;
    answer.result = OrderResult::Accepted;
    answer.startedAtMs = successorBorn;
    answer.running = { activeRun({ jobId(1), 0, 0, 0 }, 1) };
    fixture.answerPollWith("w1", answer);
    fixture.answerStop(OrderResult::Accepted);
    const auto order = fixture.answerPollWith("w1", answer);
    REQUIRE(order);
    CHECK(order->ackCursor == 0);
}

// Guards against a new leader that takes the runs of its predecessor for lost when a successor answers the first poll.
TEST_CASE("a new leader stops an inherited run that a successor lists", "[cell]")
{
    SuccessorFixture fixture;
    fixture.polls.clear();
    fixture.activate(2);
    REQUIRE(fixture.answerPollAsSuccessor({ activeRun(fixture.task, 1) }));
    CHECK(fixture.stops.size() == 1);
    CHECK(fixture.stateOf(fixture.task) == TaskState::Placed);
}

// Guards against an order that reaches the successor after its poll, when the task has started again elsewhere.
TEST_CASE("a start without an answer is prevented at the successor before the task starts again", "[cell]")
{
    SuccessorFixture fixture;
    const auto reply = fixture.sendFirstHeartbeat();
    REQUIRE(fixture.answerPollAsSuccessor({}));
    CHECK(fixture.stops.empty());
    fixture.answerStart(OrderResult::NoAnswer);
    REQUIRE(fixture.answerPollAsSuccessor({}));
    REQUIRE(fixture.stops.size() == 1);
    fixture.answerStop(OrderResult::Accepted);
    CHECK(fixture.starts.empty());
    REQUIRE(fixture.answerPollAsSuccessor({}));
    CHECK(fixture.starts.size() == 1);
    REQUIRE(fixture.answerPollAsSuccessor({}));
    CHECK(fixture.isRegistered());
    CHECK(reply->has_value());
}

// Guards against a job that fails because a start which never began counts as the crash of its worker.
TEST_CASE("a start that another incarnation has refused is no suspect of a crash", "[cell]")
{
    SuccessorFixture fixture;
    fixture.answerStart(OrderResult::OtherIncarnation);
    REQUIRE(fixture.starts.size() == 1);
    CHECK(fixture.starts.front().to.id == "w2");
    CHECK(fixture.state.findTask(fixture.task)->suspicions == 0);
    REQUIRE(fixture.answerPollAsSuccessor({}));
    CHECK_FALSE(fixture.state.findWorkerById("w1"));
    CHECK(fixture.state.findTask(fixture.task)->suspicions == 0);
}

// Guards against a poll that was answered before the order arrived and is taken for proof that the run is lost.
TEST_CASE("a poll sent before a start was accepted proves nothing about the run", "[cell]")
{
    SuccessorFixture fixture;
    fixture.sendFirstHeartbeat();
    fixture.clock.advance(milliseconds(1));
    fixture.answerStart(OrderResult::Accepted);
    REQUIRE(fixture.answerPollAsSuccessor({}));
    CHECK(fixture.starts.empty());
    CHECK(fixture.stateOf(fixture.task) == TaskState::Placed);
}

// Guards against a heartbeat without an answer when leadership is lost while it is held back.
TEST_CASE("a held heartbeat is refused when leadership is lost", "[cell]")
{
    SuccessorFixture fixture;
    fixture.answerStart(OrderResult::Accepted);
    const auto earlier = fixture.sendFirstHeartbeat();
    const auto later = fixture.sendFirstHeartbeat();
    CHECK((*earlier)->verdict == Verdict::Unknown);
    fixture.leader->deactivate();
    REQUIRE(later->has_value());
    CHECK((*later)->verdict == Verdict::NotLeader);
}

// Guards against a slow registration of workers that restart while all their runs are known to be lost.
TEST_CASE("a successor is registered at once if the earlier incarnation has listed all its runs", "[cell]")
{
    SuccessorFixture fixture;
    fixture.answerStart(OrderResult::Accepted);
    fixture.answerPoll("w1", { activeRun(fixture.task, 1) });
    const auto reply = fixture.sendFirstHeartbeat();
    REQUIRE(reply->has_value());
    CHECK(fixture.isRegistered());
    CHECK(fixture.starts.size() == 1);
}

// Guards against a task that starts again while a successor that cannot be reached runs it under its longest lease.
TEST_CASE("a clock that has gone back postpones the end of the lease", "[cell]")
{
    SuccessorFixture fixture;
    fixture.clock.advance(milliseconds(100));
    auto sent = std::move(fixture.starts.front());
    fixture.starts.clear();
    sent.answer({ OrderResult::Accepted, 5 });
    fixture.runPending();
    for (int i = 0; i < 100; ++i) {
        fixture.answerPollWith("w1", {});
        fixture.advanceTime(milliseconds(100));
        fixture.heartbeat(worker("w2"));
        fixture.answerPoll("w2");
    }
    CHECK(fixture.starts.empty());
    for (int i = 0; i < 10; ++i) {
        fixture.answerPollWith("w1", {});
        fixture.advanceTime(milliseconds(100));
        fixture.heartbeat(worker("w2"));
        fixture.answerPoll("w2");
    }
    CHECK(fixture.starts.size() == 1);
}
