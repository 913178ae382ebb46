#include "cell-fake-world.h"

#include <catch2/catch.hpp>

/// Tests of what the leader does to bound its own load.

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;
using record::EndKind;
using record::TaskState;

namespace {

/// Two workers, each with one run of a job with two tasks. The polls for their ends are in flight.
struct TwoRunsFixture : LeaderFixture {
    TwoRunsFixture()
    {
        activate();
        addReadyWorker("w1");
        addReadyWorker("w2");
        submitJob(job(jobId(1), step(2, 4'000)));
        REQUIRE(starts.size() == 2);
        answerStart(OrderResult::Accepted);
        answerStart(OrderResult::Accepted);
        REQUIRE(polls.size() == 2);
    }
    /// Answers both polls, each of which lists the end of the run on its worker, before any other event is processed.
    void answerPollsTogether()
    {
        auto sent = std::exchange(polls, {});
        for (auto& poll : sent) {
            const auto serial = state.findWorkerById(poll.to.id)->worker.serial;
            PollAnswer answer;
            answer.result = OrderResult::Accepted;
            answer.clockMs = workerClock();
            answer.ended.push_back({ 1, *state.findWorker(serial)->placed.begin(), 1, EndKind::Done, {} });
            poll.answer(answer);
        }
    }
};

} // namespace

// Guards against a leader that spends its processor on one entry of the log for each end.
TEST_CASE("ends that arrive together are one entry of the log", "[cell]")
{
    TwoRunsFixture fixture;
    fixture.commits = false;
    fixture.answerPollsTogether();
    fixture.runPending();
    REQUIRE(fixture.log.size() == 1);
    CHECK(fixture.log.front().first->ends.size() == 2);
    CHECK(fixture.polls.empty()); // No end is acknowledged before it is committed.
    fixture.commits = true;
    fixture.runPending();
    CHECK(fixture.stateOf({ jobId(1), 0, 0, 0 }) == TaskState::Done);
    CHECK(fixture.stateOf({ jobId(1), 0, 0, 1 }) == TaskState::Done);
    REQUIRE(fixture.polls.size() == 2);
    CHECK(fixture.polls.front().order.ackCursor == 1);
    CHECK(fixture.polls.back().order.ackCursor == 1);
}

// Guards against an end that is overtaken by the loss of its worker, after which the task would run again.
TEST_CASE("collected ends are proposed before anything later", "[cell]")
{
    TwoRunsFixture fixture;
    fixture.commits = false;
    fixture.answerPollsTogether();
    auto restarted = test::worker("w1", 2);
    auto call = fixture.callFor(record::CallKind::Beat, "");
    call->worker = std::move(restarted);
    fixture.leader->handle(std::move(call), [](const record::ReplyT&) {});
    REQUIRE(fixture.log.size() == 2);
    CHECK(fixture.log.front().first->ends.size() == 2);
    CHECK(fixture.log.back().first->workers.size() == 1);
}

// Guards against ends that are lost for good when they could not be committed.
TEST_CASE("ends that were not committed are read again", "[cell]")
{
    TwoRunsFixture fixture;
    fixture.commits = false;
    fixture.answerPollsTogether();
    fixture.runPending();
    REQUIRE(fixture.log.size() == 1);
    const auto done = fixture.log.front().second;
    fixture.log.clear();
    done(absl::UnavailableError("not committed"));
    fixture.commits = true;
    fixture.advanceTime(std::chrono::milliseconds(200));
    REQUIRE(fixture.polls.size() == 2);
    CHECK(fixture.polls.front().order.ackCursor == 0);
    fixture.answerPollsTogether();
    fixture.runPending();
    CHECK(fixture.state.findJob(jobId(1))->state == record::JobState::Done);
}
