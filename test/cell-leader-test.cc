#include "turmericpier/cell/leader.h"

#include "cell-fake-world.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;
using record::CallKind;
using record::EndKind;
using record::JobState;
using record::TaskState;
using record::Verdict;
using std::chrono::milliseconds;

namespace {

const TaskKey task { jobId(1), 0, 0, 0 };

/// One worker, and a job with one task whose start order has been sent.
struct SentStartFixture : LeaderFixture {
    SentStartFixture()
    {
        activate();
        addReadyWorker("w1");
        submitJob(job(jobId(1), step(1)));
        REQUIRE(starts.size() == 1);
    }
    void acceptStart()
    {
        answerStart(OrderResult::Accepted);
        REQUIRE(polls.size() == 1);
    }
    /// Leaves the start order and its repetitions without an answer.
    void leaveStartsUnanswered()
    {
        while (!starts.empty())
            CHECK(answerStart(OrderResult::NoAnswer).run == 1);
    }
};

EndedRun ended(uint64_t number, EndKind how, uint32_t run = 1, const std::string& saved = {})
{
    return { number, task, run, how, saved };
}

} // namespace

// Guards against a job that is acknowledged before it is durable, and against a resent job that is stored as a second
// one.
TEST_CASE("a job is acknowledged once it is committed", "[cell]")
{
    LeaderFixture fixture;
    fixture.activate();
    fixture.commits = false;
    CHECK_FALSE(fixture.submitJob(job(jobId(1), step(1))));
    CHECK_FALSE(fixture.submitJob(job(jobId(1), step(1))));
    CHECK(fixture.log.size() == 1);
    fixture.commits = true;
    fixture.runPending();
    CHECK(fixture.submitJob(job(jobId(1), step(1)))->verdict == Verdict::Ok);
    CHECK(fixture.state.jobs().size() == 1);
}

// Guards against ends that go unnoticed for seconds because the poll that waited for them was lost.
TEST_CASE("a poll of a worker with runs waits at most half a second", "[cell]")
{
    SentStartFixture fixture;
    fixture.acceptStart();
    fixture.answerPoll("w1", { activeRun(task, 1) });
    fixture.advanceTime(milliseconds(100));
    REQUIRE(fixture.polls.size() == 1);
    CHECK(fixture.polls.front().order.waitMs > 0);
    CHECK(fixture.polls.front().order.waitMs <= 500);
}

// Guards against answers of a replica that no longer leads, and against wrong answers about jobs and queues.
TEST_CASE("only a leader that holds its lease answers calls", "[cell]")
{
    LeaderFixture fixture;
    const auto status = [&](const std::string& path) {
        return fixture.call(LeaderFixture::callFor(CallKind::Status, path))->verdict;
    };
    CHECK(status("/q/" + jobId(1)) == Verdict::NotLeader);
    fixture.activate();
    CHECK(status("/q/" + jobId(1)) == Verdict::NoSuchJob);
    CHECK(status("/none/" + jobId(1)) == Verdict::NoSuchQueue);
    CHECK(fixture.submitJob(job("not an id", step(1)))->verdict == Verdict::NoSuchQueue);
    fixture.submitJob(job(jobId(1), step(1)));
    CHECK(status("/q/" + jobId(1)) == Verdict::Ok);
    CHECK(fixture.call(LeaderFixture::callFor(CallKind::Waiting, "/q/"))->waiting == 1);
    fixture.holdsLease = false;
    CHECK(status("/q/" + jobId(1)) == Verdict::NotLeader);
}

// Guards against a refusal of a configuration whose version is already in force.
TEST_CASE("an accepted configuration is acknowledged again", "[cell]")
{
    LeaderFixture fixture;
    fixture.activate();
    const auto put = [&](uint64_t version) {
        auto call = LeaderFixture::callFor(CallKind::PutConfig, "");
        call->config = config(version);
        call->config->document = "sent as " + std::to_string(version);
        return fixture.call(std::move(call))->verdict;
    };
    CHECK(put(3) == Verdict::Ok);
    CHECK(put(3) == Verdict::Ok);
    CHECK(put(2) == Verdict::Ok);
    CHECK(fixture.call(LeaderFixture::callFor(CallKind::GetConfig, ""))->config->document == "sent as 3");
}

// Guards against a second run of a task whose start order got no answer and is carried out late.
TEST_CASE("an unanswered start is stopped at the worker before the task starts again", "[cell]")
{
    SentStartFixture fixture;
    fixture.leaveStartsUnanswered();
    CHECK(fixture.stateOf(task) == TaskState::Placed);
    REQUIRE(fixture.answerPoll("w1")); // neither running nor ended
    REQUIRE(fixture.stops.size() == 1);
    fixture.advanceTime(milliseconds(1'000));
    CHECK(fixture.starts.empty());
    CHECK(fixture.answerStop(OrderResult::Accepted).run == 1);
    CHECK(fixture.stateOf(task) == TaskState::Placed);
    // A poll that was sent before the answer to the stop proves nothing; the next one does.
    CHECK(fixture.answerPoll("w1"));
    CHECK(fixture.runOf(task) == 1);
    fixture.advanceTime(milliseconds(50));
    CHECK(fixture.answerPoll("w1"));
    REQUIRE(fixture.starts.size() == 1);
    CHECK(fixture.starts.front().order.run == 2);
}

// Guards against tasks that a former leader has started and that run again after the leader changes, because their ends
// did not fit into the worker's list.
TEST_CASE("a run that a full list of ends omits is not taken for one that never started", "[cell]")
{
    SentStartFixture fixture;
    fixture.acceptStart();
    fixture.polls.clear();
    fixture.activate(2);
    PollAnswer full;
    full.result = OrderResult::Accepted;
    full.clockMs = fixture.workerClock();
    full.mayHaveMoreEnds = true;
    REQUIRE(fixture.answerPollWith("w1", full));
    CHECK(fixture.stateOf(task) == TaskState::Placed);
    fixture.advanceTime(milliseconds(500));
    REQUIRE(fixture.answerPoll("w1", {}, { ended(501, EndKind::Done) }));
    CHECK(fixture.stateOf(task) == TaskState::Done);
    CHECK(fixture.starts.empty());
    CHECK(fixture.stops.empty());
}

// Guards against tasks that wait for seconds because the answer to their start order was lost.
TEST_CASE("an unanswered start is sent again with the same run number and lease", "[cell]")
{
    SentStartFixture fixture;
    const auto first = fixture.answerStart(OrderResult::NoAnswer);
    REQUIRE(fixture.starts.size() == 1);
    CHECK(fixture.starts.front().order.run == first.run);
    CHECK(fixture.starts.front().order.leaseUntilMs == first.leaseUntilMs);
    fixture.answerStart(OrderResult::Accepted);
    REQUIRE(fixture.answerPoll("w1", { activeRun(task, 1) }));
    CHECK(fixture.stops.empty());
    CHECK(fixture.stateOf(task) == TaskState::Placed);
}

// Guards against tasks that are placed on a worker that has just become unreachable.
TEST_CASE("a worker that leaves an order unanswered gets no other task for a short time", "[cell]")
{
    SentStartFixture fixture;
    fixture.answerStart(OrderResult::NoAnswer);
    REQUIRE(fixture.starts.size() == 1);
    fixture.submitJob(job(jobId(2), step(1)));
    CHECK(fixture.starts.size() == 1);
    fixture.answerStart(OrderResult::Accepted);
    fixture.advanceTime(milliseconds(500));
    REQUIRE(fixture.starts.size() == 1);
    CHECK(fixture.starts.front().order.task.job == jobId(2));
}

// Guards against a task that runs twice because a repeated start order is refused after the first one was carried out.
TEST_CASE("the refusal of a repeated start proves nothing about the first one", "[cell]")
{
    const auto result = GENERATE(OrderResult::Superseded, OrderResult::NoRoom, OrderResult::BadTicket,
        OrderResult::Unhealthy, OrderResult::TooLate, OrderResult::ConnectionRefused);
    SentStartFixture fixture;
    fixture.answerStart(OrderResult::NoAnswer);
    fixture.answerStart(result);
    CHECK(fixture.stateOf(task) == TaskState::Placed);
    CHECK(fixture.starts.empty());
    fixture.answerPoll("w1", {}, { ended(1, EndKind::Done) });
    CHECK(fixture.state.findJob(jobId(1))->state == JobState::Done);
}

// Guards against a repeated start order for a job that was cancelled after the first one was sent.
TEST_CASE("a start is not sent again once its job is cancelled", "[cell]")
{
    SentStartFixture fixture;
    CHECK(fixture.call(LeaderFixture::callFor(CallKind::Cancel, "/q/" + jobId(1)))->verdict == Verdict::Ok);
    fixture.answerStart(OrderResult::NoAnswer);
    CHECK(fixture.starts.empty());
}

// Guards against a stop of a run whose start the worker has accepted, although the answer was lost.
TEST_CASE("an unanswered start continues if the worker lists the run", "[cell]")
{
    SentStartFixture fixture;
    fixture.leaveStartsUnanswered();
    REQUIRE(fixture.answerPoll("w1", { activeRun(task, 1) }));
    CHECK(fixture.stops.empty());
    CHECK(fixture.stateOf(task) == TaskState::Placed);
}

// Guards against an end that the worker discards before it is durable.
TEST_CASE("an end is acknowledged to the worker once it is committed", "[cell]")
{
    SentStartFixture fixture;
    fixture.acceptStart();
    fixture.commits = false;
    CHECK(fixture.answerPoll("w1", {}, { ended(7, EndKind::Done) })->ackCursor == 0);
    fixture.advanceTime(milliseconds(300));
    for (const auto& poll : fixture.polls)
        CHECK(poll.order.ackCursor == 0);
    fixture.commits = true;
    fixture.runPending();
    fixture.answerPoll("w1", {}, { ended(7, EndKind::Done) });
    CHECK(fixture.state.findJob(jobId(1))->state == JobState::Done);
    fixture.submitJob(job(jobId(2), step(1)));
    fixture.answerStart(OrderResult::Accepted);
    REQUIRE_FALSE(fixture.polls.empty());
    CHECK(fixture.polls.back().order.ackCursor == 7);
}

// Guards against starting the tasks of an unreachable worker elsewhere while its lease may still be valid.
TEST_CASE("a silent worker is given up once its lease has certainly ended", "[cell]")
{
    SentStartFixture fixture;
    fixture.acceptStart();
    fixture.addReadyWorker("w2");
    const auto renewed = fixture.clock.now();
    const auto silent = [&] { fixture.answerPollWith("w1", {}); };
    silent();
    while (fixture.clock.now() - renewed < LeaderOptions {}.lease) {
        fixture.advanceTime(milliseconds(100));
        fixture.heartbeat(worker("w2"));
        silent();
        CHECK(fixture.starts.empty());
    }
    // 2% of 5 s, plus the time until the next tick.
    fixture.advanceTime(milliseconds(300));
    REQUIRE(fixture.starts.size() == 1);
    CHECK(fixture.starts.front().to.id == "w2");
    CHECK(fixture.starts.front().order.run == 2);
}

// Guards against renewing the lease of a worker that does not answer, which would postpone the moment at which it is
// given up.
TEST_CASE("a poll after a failed one does not renew the lease", "[cell]")
{
    SentStartFixture fixture;
    fixture.acceptStart();
    CHECK(fixture.polls.front().order.leaseUntilMs);
    fixture.answerPollWith("w1", {});
    fixture.advanceTime(milliseconds(200));
    REQUIRE_FALSE(fixture.polls.empty());
    CHECK_FALSE(fixture.polls.front().order.leaseUntilMs);
    CHECK(fixture.polls.front().order.waitMs == 0);
}

// Guards against a new leader that starts tasks twice or loses track of those that run.
TEST_CASE("a new leader learns from the first poll which inherited runs exist", "[cell]")
{
    LeaderFixture fixture;
    const auto serial = addWorker(fixture.state, worker("w1"));
    submit(fixture.state, job(jobId(1), step(3)));
    for (uint32_t i = 0; i < 3; ++i)
        start(fixture.state, { jobId(1), 0, 0, i }, 1, serial);
    fixture.activate(9);
    REQUIRE(fixture.polls.size() == 1);
    CHECK(fixture.polls.front().order.fencingToken == 9);
    CHECK(fixture.starts.empty());
    const TaskKey second { jobId(1), 0, 0, 1 };
    fixture.answerPoll("w1", { activeRun(task, 1) }, { { 4, second, 1, EndKind::Done, "" } });
    CHECK(fixture.stateOf(task) == TaskState::Placed);
    CHECK(fixture.runOf(task) == 1);
    CHECK(fixture.stateOf(second) == TaskState::Done);
    REQUIRE(fixture.starts.size() == 1);
    CHECK(fixture.starts.front().order.task.index == 2);
    CHECK(fixture.starts.front().order.run == 2);
}

// Guards against a new leader that gives up a worker while a lease of the former leader may still be valid there.
TEST_CASE("a new leader assumes the longest lease for a worker that it cannot reach", "[cell]")
{
    LeaderFixture fixture;
    const auto serial = addWorker(fixture.state, worker("w1"));
    submit(fixture.state, job(jobId(1), step(1)));
    start(fixture.state, task, 1, serial);
    fixture.activate(2);
    fixture.heartbeat(worker("w2"));
    const auto elected = fixture.clock.now();
    while (fixture.clock.now() - elected < LeaderOptions {}.maxLease) {
        fixture.answerPollWith("w1", {});
        fixture.answerPoll("w2");
        fixture.advanceTime(milliseconds(100));
        CHECK(fixture.starts.empty());
    }
    for (int i = 0; i < 20; ++i) {
        fixture.answerPollWith("w1", {});
        fixture.heartbeat(worker("w2"));
        fixture.advanceTime(milliseconds(100));
    }
    CHECK(fixture.starts.size() == 1);
}

// Guards against further orders with a fencing token that a worker has refused.
TEST_CASE("a refused fencing token ends all orders of the term", "[cell]")
{
    SentStartFixture fixture;
    fixture.answerStart(OrderResult::Fenced);
    fixture.addReadyWorker("w2");
    fixture.submitJob(job(jobId(2), step(1)));
    fixture.advanceTime(milliseconds(3'000));
    CHECK(fixture.starts.empty());
    CHECK(fixture.stops.empty());
}

// Guards against tasks of a cancelled job that continue, also if the start order was still in flight.
TEST_CASE("the runs of a cancelled job are stopped", "[cell]")
{
    SentStartFixture fixture;
    const bool accepted = GENERATE(false, true);
    if (accepted)
        fixture.acceptStart();
    CHECK(fixture.call(LeaderFixture::callFor(CallKind::Cancel, "/q/" + jobId(1)))->verdict == Verdict::Ok);
    if (!accepted) {
        CHECK(fixture.stops.empty());
        fixture.answerStart(OrderResult::Accepted);
    }
    REQUIRE(fixture.stops.size() == 1);
    fixture.answerStop(OrderResult::NoAnswer);
    fixture.advanceTime(milliseconds(600));
    REQUIRE(fixture.stops.size() == 1); // The stop is repeated.
    fixture.answerStop(OrderResult::Accepted);
    while (fixture.polls.size() > 0 && !fixture.state.findWorkerById("w1")->placed.empty())
        fixture.answerPoll("w1", {}, { ended(3, EndKind::Stopped) });
    CHECK(fixture.state.findWorkerById("w1")->placed.empty());
    CHECK(fixture.state.findJob(jobId(1))->state == JobState::Cancelled);
}

// Guards against runs that are not in the log, such as those whose lease expired while the leader could not reach them.
TEST_CASE("a run that is not in the log is stopped", "[cell]")
{
    SentStartFixture fixture;
    fixture.acceptStart();
    fixture.answerPoll("w1", { activeRun(task, 1), activeRun({ jobId(9), 0, 0, 0 }, 3) });
    REQUIRE(fixture.stops.size() == 1);
    CHECK(fixture.stops.front().order.run == 3);
    CHECK(fixture.stateOf(task) == TaskState::Placed);
}

// Guards against new tasks for an incarnation that has ended, and against its tasks staying assigned to it.
TEST_CASE("another incarnation at the address ends the former one", "[cell]")
{
    SentStartFixture fixture;
    fixture.acceptStart();
    fixture.addReadyWorker("w2");
    PollAnswer answer;
    answer.result = OrderResult::Accepted;
    answer.clockMs = 5;
    answer.startedAtMs = 77;
    fixture.answerPollWith("w1", answer);
    CHECK_FALSE(fixture.state.findWorkerById("w1"));
    REQUIRE(fixture.starts.size() == 1);
    CHECK(fixture.starts.front().to.id == "w2");
}

// Guards against a leave call of an earlier incarnation that gives up a worker that still runs its tasks.
TEST_CASE("a leave call alone does not end an incarnation", "[cell]")
{
    SentStartFixture fixture;
    fixture.acceptStart();
    fixture.addReadyWorker("w2");
    auto call = LeaderFixture::callFor(CallKind::Leave, "");
    call->worker = worker("w1");
    CHECK(fixture.call(std::move(call))->verdict == Verdict::Ok);
    CHECK(fixture.starts.empty());
    PollAnswer refused;
    refused.result = OrderResult::ConnectionRefused;
    fixture.answerPollWith("w1", refused);
    CHECK(fixture.starts.size() == 1);
}

// Guards against new tasks on a draining worker, and against losing work that a checkpoint could save.
TEST_CASE("a draining worker gets no new tasks and gives up tasks with checkpoints", "[cell]")
{
    LeaderFixture fixture;
    fixture.activate();
    fixture.addReadyWorker("w1");
    auto saved = step(1);
    saved->checkpoints = true;
    fixture.submitJob(job(jobId(1), std::move(saved)));
    fixture.answerStart(OrderResult::Accepted);
    auto draining = worker("w1");
    draining->draining = true;
    CHECK(fixture.heartbeat(std::move(draining))->verdict == Verdict::Ok);
    REQUIRE(fixture.stops.size() == 1);
    fixture.answerStop(OrderResult::Accepted);
    fixture.addReadyWorker("w2");
    fixture.answerPoll("w1", {}, { ended(1, EndKind::Stopped, 1, "half") });
    REQUIRE(fixture.starts.size() == 1);
    CHECK(fixture.starts.front().to.id == "w2");
    CHECK(fixture.starts.front().order.checkpoint == "half");
    fixture.heartbeat(worker("w1")); // A delayed heartbeat from before the drain.
    CHECK(fixture.state.findWorkerById("w1")->worker.draining);
}

// Guards against a task that makes no progress indefinitely on a worker that hangs.
TEST_CASE("a task without progress is moved to another worker", "[cell]")
{
    SentStartFixture fixture;
    fixture.acceptStart();
    fixture.addReadyWorker("w2");
    for (int i = 0; i < 50 && fixture.stops.empty(); ++i) {
        fixture.answerPoll("w1", { activeRun(task, 1, 10) });
        fixture.heartbeat(worker("w2"));
        fixture.advanceTime(milliseconds(100));
    }
    REQUIRE(fixture.stops.size() == 1);
    fixture.answerStop(OrderResult::Accepted);
    while (fixture.starts.empty() && fixture.answerPoll("w1", {}, { ended(1, EndKind::Stopped) }))
        ;
    REQUIRE(fixture.starts.size() == 1);
    CHECK(fixture.starts.front().to.id == "w2");
}

// Guards against members of a gang that wait for one that did not start until they give up on their own.
TEST_CASE("the members of a gang are stopped if one does not start", "[cell]")
{
    LeaderFixture fixture;
    fixture.activate();
    fixture.addReadyWorker("w1");
    fixture.addReadyWorker("w2");
    auto gang = step(2, 3'000);
    gang->gang = true;
    fixture.submitJob(job(jobId(1), std::move(gang)));
    REQUIRE(fixture.starts.size() == 2);
    fixture.answerStart(OrderResult::Accepted);
    fixture.answerStart(OrderResult::NoRoom);
    CHECK(fixture.stops.size() == 1);
    CHECK(fixture.starts.empty());
}

// Guards against two concurrent calls by one proxy, and against a proxy that is never used again after a lost call.
TEST_CASE("each proxy asks the advisor about one step at a time", "[cell]")
{
    LeaderFixture fixture(config(1, 2, true));
    fixture.activate();
    fixture.leader->recordAdvisorProxy("h1");
    fixture.addReadyWorker("w1");
    fixture.submitJob(job(jobId(1), step(1)));
    fixture.submitJob(job(jobId(2), step(1)));
    REQUIRE(fixture.advice.size() == 1);
    fixture.advanceTime(milliseconds(1'200)); // the first call is lost
    REQUIRE(fixture.advice.size() == 2);
    auto late = std::move(fixture.advice.front());
    fixture.advice.pop_front();
    late.answer({ true, { { "w1", "late" } } });
    fixture.runPending();
    CHECK(fixture.starts.empty());
    auto call = std::move(fixture.advice.front());
    fixture.advice.pop_front();
    call.answer({ true, { { "w1", "ticket" } } });
    fixture.runPending();
    REQUIRE(fixture.starts.size() == 1);
    CHECK(fixture.starts.front().order.ticket == "ticket");
}

// Guards against orders of a leader that may have been replaced.
TEST_CASE("a leader without its lease gives no orders", "[cell]")
{
    LeaderFixture fixture;
    fixture.activate();
    fixture.addReadyWorker("w1");
    fixture.commits = false;
    fixture.submitJob(job(jobId(1), step(1)));
    fixture.commits = true;
    fixture.holdsLease = false;
    fixture.runPending();
    fixture.advanceTime(milliseconds(500));
    CHECK(fixture.starts.empty());
    fixture.holdsLease = true;
    fixture.advanceTime(milliseconds(100)); // Only time passes.
    CHECK(fixture.starts.size() == 1);
}

// Guards against a worker that is taken for silent while another replica answers its heartbeats, and against a report
// that undoes the leave of a worker.
TEST_CASE("reported heartbeats count as contact and do not undo a leave", "[cell]")
{
    LeaderFixture fixture;
    fixture.activate();
    fixture.addReadyWorker("w1");
    const auto report = [&] {
        auto call = LeaderFixture::callFor(CallKind::Seen, "");
        call->seen = { fixture.state.findWorkerById("w1")->worker.serial, 4'711 }; // The second one is unknown.
        CHECK(fixture.call(std::move(call))->verdict == Verdict::Ok);
    };
    for (int i = 0; i < 10; ++i) {
        fixture.advanceTime(milliseconds(1'000)); // Ten seconds without a heartbeat of its own.
        report();
    }
    fixture.submitJob(job(jobId(1), step(1)));
    REQUIRE(fixture.starts.size() == 1);
    fixture.answerStart(OrderResult::Accepted);
    auto leave = LeaderFixture::callFor(CallKind::Leave, "");
    leave->worker = worker("w1");
    fixture.call(std::move(leave));
    report(); // Contains a heartbeat from before the leave.
    fixture.submitJob(job(jobId(2), step(1)));
    CHECK(fixture.starts.empty());
}

// Guards against planning that takes the whole processor while many steps wait, so that ends and answers are late.
TEST_CASE("a long plan is followed by a pause", "[cell]")
{
    LeaderFixture fixture;
    fixture.activate();
    fixture.addReadyWorker("w1");
    const auto plans = [&] { return fixture.metrics.counter("cell_plans_total").value(); };
    fixture.planTime = milliseconds(5);
    fixture.submitJob(job(jobId(1), step(1)));
    const auto before = plans();
    fixture.submitJob(job(jobId(2), step(1)));
    CHECK(plans() == before);
    CHECK(fixture.starts.size() == 1);
    fixture.clock.advance(milliseconds(20));
    fixture.runPending();
    CHECK(plans() == before + 1);
    CHECK(fixture.starts.size() == 2);
}

// Guards against an idle worker that gets no tasks for good because its last poll was not answered: only workers with
// runs were polled again.
TEST_CASE("an idle worker is polled again after a failed poll", "[cell]")
{
    SentStartFixture fixture;
    fixture.acceptStart();
    fixture.answerPoll("w1", {}, { ended(1, EndKind::Done) });
    REQUIRE(fixture.answerPollWith("w1", {})); // No answer; the worker has no runs any more.
    fixture.advanceTime(milliseconds(500));
    REQUIRE(fixture.answerPoll("w1"));
    fixture.submitJob(job(jobId(2), step(1)));
    CHECK(fixture.starts.size() == 1);
}

// Guards against a start beyond the capacity of a worker that has shrunk, after an earlier heartbeat arrives late.
TEST_CASE("a late heartbeat does not undo a change of the capacity", "[cell]")
{
    LeaderFixture fixture;
    fixture.activate();
    const auto reported = [](uint64_t seq, int64_t cpu) {
        auto made = worker("w1", 1, cpu);
        made->seq = seq;
        return made;
    };
    const auto capacity = [&] { return fixture.state.findWorkerById("w1")->worker.cpu; };
    fixture.heartbeat(reported(1, 4'000));
    fixture.answerPoll("w1");
    fixture.heartbeat(reported(3, 1'500));
    CHECK(capacity() == 1'500);
    fixture.heartbeat(reported(2, 4'000));
    CHECK(capacity() == 1'500);
    fixture.submitJob(job(jobId(1), step(4)));
    CHECK(fixture.starts.size() == 1);
    fixture.heartbeat(reported(4, 4'000));
    CHECK(fixture.starts.size() == 4);
}
