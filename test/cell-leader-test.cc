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
struct Started : World {
    Started()
    {
        activate();
        addReadyWorker("w1");
        submitJob(job(jobId(1), step(1)));
        REQUIRE(starts.size() == 1);
    }
    void accept()
    {
        answerStart(OrderResult::Accepted);
        REQUIRE(looks.size() == 1);
    }
    /// Leaves the start order and its copies without an answer.
    void loseStarts()
    {
        while (!starts.empty())
            CHECK(answerStart(OrderResult::NoAnswer).run == 1);
    }
};

EndedRow ended(uint64_t number, EndKind how, uint32_t run = 1, const std::string& saved = {})
{
    return { number, task, run, how, saved };
}

} // namespace

// Guards against a job that is acknowledged before it is durable, and against a resent job that becomes a second one.
TEST_CASE("a job is acknowledged once it is committed", "[cell]")
{
    World world;
    world.activate();
    world.commits = false;
    CHECK_FALSE(world.submitJob(job(jobId(1), step(1))));
    CHECK_FALSE(world.submitJob(job(jobId(1), step(1))));
    CHECK(world.log.size() == 1);
    world.commits = true;
    world.settle();
    CHECK(world.submitJob(job(jobId(1), step(1)))->verdict == Verdict::Ok);
    CHECK(world.state.jobs().size() == 1);
}

// Guards against ends that stay unseen for seconds because the look that waited for them was lost.
TEST_CASE("a look at a worker with runs waits half a second at most", "[cell]")
{
    Started world;
    world.accept();
    world.answerLook("w1", { row(task, 1) });
    world.pass(milliseconds(100));
    REQUIRE(world.looks.size() == 1);
    CHECK(world.looks.front().order.waitMs > 0);
    CHECK(world.looks.front().order.waitMs <= 500);
}

// Guards against answers of a replica that does not lead any more, and against wrong claims about jobs and queues.
TEST_CASE("calls are answered by a leader with its lease only", "[cell]")
{
    World world;
    const auto status
        = [&](const std::string& path) { return world.call(World::callFor(CallKind::Status, path))->verdict; };
    CHECK(status("/q/" + jobId(1)) == Verdict::NotLeader);
    world.activate();
    CHECK(status("/q/" + jobId(1)) == Verdict::NoSuchJob);
    CHECK(status("/none/" + jobId(1)) == Verdict::NoSuchQueue);
    CHECK(world.submitJob(job("not an id", step(1)))->verdict == Verdict::NoSuchQueue);
    world.submitJob(job(jobId(1), step(1)));
    CHECK(status("/q/" + jobId(1)) == Verdict::Ok);
    CHECK(world.call(World::callFor(CallKind::Waiting, "/q/"))->waiting == 1);
    world.holdsLease = false;
    CHECK(status("/q/" + jobId(1)) == Verdict::NotLeader);
}

// Guards against a change that is refused although its version is in force already.
TEST_CASE("a configuration that was accepted is acknowledged again", "[cell]")
{
    World world;
    world.activate();
    const auto put = [&](uint64_t version) {
        auto call = World::callFor(CallKind::PutConfig, "");
        call->config = config(version);
        call->config->document = "sent as " + std::to_string(version);
        return world.call(std::move(call))->verdict;
    };
    CHECK(put(3) == Verdict::Ok);
    CHECK(put(3) == Verdict::Ok);
    CHECK(put(2) == Verdict::Ok);
    CHECK(world.call(World::callFor(CallKind::GetConfig, ""))->config->document == "sent as 3");
}

// Guards against a second run of a task whose start got no answer and is carried out late.
TEST_CASE("a start without an answer is rejected at the worker before the task starts again", "[cell]")
{
    Started world;
    world.loseStarts();
    CHECK(world.stateOf(task) == TaskState::Placed);
    REQUIRE(world.answerLook("w1")); // neither running nor ended
    REQUIRE(world.stops.size() == 1);
    world.pass(milliseconds(1'000));
    CHECK(world.starts.empty());
    CHECK(world.answerStop(OrderResult::Accepted).run == 1);
    CHECK(world.stateOf(task) == TaskState::Placed);
    // A look that was sent before the answer to the stop proves nothing; the next one does.
    CHECK(world.answerLook("w1"));
    CHECK(world.runOf(task) == 1);
    world.pass(milliseconds(50));
    CHECK(world.answerLook("w1"));
    REQUIRE(world.starts.size() == 1);
    CHECK(world.starts.front().order.run == 2);
}

// Guards against tasks that wait for seconds because the answer to their start was lost.
TEST_CASE("a start without an answer is sent again under the same run number and lease", "[cell]")
{
    Started world;
    const auto first = world.answerStart(OrderResult::NoAnswer);
    REQUIRE(world.starts.size() == 1);
    CHECK(world.starts.front().order.run == first.run);
    CHECK(world.starts.front().order.leaseUntilMs == first.leaseUntilMs);
    world.answerStart(OrderResult::Accepted);
    REQUIRE(world.answerLook("w1", { row(task, 1) }));
    CHECK(world.stops.empty());
    CHECK(world.stateOf(task) == TaskState::Placed);
}

// Guards against tasks that are placed on a worker which has just been cut off.
TEST_CASE("a worker that leaves an order unanswered gets no other task for a moment", "[cell]")
{
    Started world;
    world.answerStart(OrderResult::NoAnswer);
    REQUIRE(world.starts.size() == 1);
    world.submitJob(job(jobId(2), step(1)));
    CHECK(world.starts.size() == 1);
    world.answerStart(OrderResult::Accepted);
    world.pass(milliseconds(500));
    REQUIRE(world.starts.size() == 1);
    CHECK(world.starts.front().order.task.job == jobId(2));
}

// Guards against a task that runs twice because a copy of its start is refused after the first one was carried out.
TEST_CASE("a refused copy of a start proves nothing about the first one", "[cell]")
{
    const auto result = GENERATE(OrderResult::Superseded, OrderResult::NoRoom, OrderResult::BadTicket,
        OrderResult::Unhealthy, OrderResult::TooLate, OrderResult::ConnectionRefused);
    Started world;
    world.answerStart(OrderResult::NoAnswer);
    world.answerStart(result);
    CHECK(world.stateOf(task) == TaskState::Placed);
    CHECK(world.starts.empty());
    world.answerLook("w1", {}, { ended(1, EndKind::Done) });
    CHECK(world.state.findJob(jobId(1))->state == JobState::Done);
}

// Guards against a start for a job that was cancelled after the first copy was sent.
TEST_CASE("a start is not sent again once its job is cancelled", "[cell]")
{
    Started world;
    CHECK(world.call(World::callFor(CallKind::Cancel, "/q/" + jobId(1)))->verdict == Verdict::Ok);
    world.answerStart(OrderResult::NoAnswer);
    CHECK(world.starts.empty());
}

// Guards against a run that is stopped although the worker has accepted it without an answer.
TEST_CASE("a start without an answer that the worker lists goes on", "[cell]")
{
    Started world;
    world.loseStarts();
    REQUIRE(world.answerLook("w1", { row(task, 1) }));
    CHECK(world.stops.empty());
    CHECK(world.stateOf(task) == TaskState::Placed);
}

// Guards against an end that is forgotten by the worker before it is durable.
TEST_CASE("an end is acknowledged to the worker once it is committed", "[cell]")
{
    Started world;
    world.accept();
    world.commits = false;
    CHECK(world.answerLook("w1", {}, { ended(7, EndKind::Done) })->ackCursor == 0);
    world.pass(milliseconds(300));
    for (const auto& look : world.looks)
        CHECK(look.order.ackCursor == 0);
    world.commits = true;
    world.settle();
    world.answerLook("w1", {}, { ended(7, EndKind::Done) });
    CHECK(world.state.findJob(jobId(1))->state == JobState::Done);
    world.submitJob(job(jobId(2), step(1)));
    world.answerStart(OrderResult::Accepted);
    REQUIRE_FALSE(world.looks.empty());
    CHECK(world.looks.back().order.ackCursor == 7);
}

// Guards against tasks of an unreachable worker that start elsewhere while its lease may still run.
TEST_CASE("a silent worker is given up when its lease has certainly ended", "[cell]")
{
    Started world;
    world.accept();
    world.addReadyWorker("w2");
    const auto renewed = world.clock.now();
    const auto silent = [&] { world.answerLookWith("w1", {}); };
    silent();
    while (world.clock.now() - renewed < LeaderOptions {}.lease) {
        world.pass(milliseconds(100));
        world.beat(worker("w2"));
        silent();
        CHECK(world.starts.empty());
    }
    // 2% of 5 s, and the time until the next tick.
    world.pass(milliseconds(300));
    REQUIRE(world.starts.size() == 1);
    CHECK(world.starts.front().to.id == "w2");
    CHECK(world.starts.front().order.run == 2);
}

// Guards against a renewal that is sent to a worker that does not answer, as it would put off its end.
TEST_CASE("a look after a failed one does not renew the lease", "[cell]")
{
    Started world;
    world.accept();
    CHECK(world.looks.front().order.leaseUntilMs);
    world.answerLookWith("w1", {});
    world.pass(milliseconds(200));
    REQUIRE_FALSE(world.looks.empty());
    CHECK_FALSE(world.looks.front().order.leaseUntilMs);
    CHECK(world.looks.front().order.waitMs == 0);
}

// Guards against a new leader that starts tasks twice, or forgets those that run.
TEST_CASE("a new leader learns from the first look which inherited runs exist", "[cell]")
{
    World world;
    const auto serial = addWorker(world.state, worker("w1"));
    submit(world.state, job(jobId(1), step(3)));
    for (uint32_t i = 0; i < 3; ++i)
        start(world.state, { jobId(1), 0, 0, i }, 1, serial);
    world.activate(9);
    REQUIRE(world.looks.size() == 1);
    CHECK(world.looks.front().order.fencingToken == 9);
    CHECK(world.starts.empty());
    const TaskKey second { jobId(1), 0, 0, 1 };
    world.answerLook("w1", { row(task, 1) }, { { 4, second, 1, EndKind::Done, "" } });
    CHECK(world.stateOf(task) == TaskState::Placed);
    CHECK(world.runOf(task) == 1);
    CHECK(world.stateOf(second) == TaskState::Done);
    REQUIRE(world.starts.size() == 1);
    CHECK(world.starts.front().order.task.index == 2);
    CHECK(world.starts.front().order.run == 2);
}

// Guards against a new leader that gives up a worker while a lease of the former leader may still run there.
TEST_CASE("a new leader assumes the longest lease at a worker that it cannot reach", "[cell]")
{
    World world;
    const auto serial = addWorker(world.state, worker("w1"));
    submit(world.state, job(jobId(1), step(1)));
    start(world.state, task, 1, serial);
    world.activate(2);
    world.beat(worker("w2"));
    const auto elected = world.clock.now();
    while (world.clock.now() - elected < LeaderOptions {}.maxLease) {
        world.answerLookWith("w1", {});
        world.answerLook("w2");
        world.pass(milliseconds(100));
        CHECK(world.starts.empty());
    }
    for (int i = 0; i < 20; ++i) {
        world.answerLookWith("w1", {});
        world.beat(worker("w2"));
        world.pass(milliseconds(100));
    }
    CHECK(world.starts.size() == 1);
}

// Guards against orders with a token that a worker has refused.
TEST_CASE("a refused token ends all orders of the term", "[cell]")
{
    Started world;
    world.answerStart(OrderResult::Fenced);
    world.addReadyWorker("w2");
    world.submitJob(job(jobId(2), step(1)));
    world.pass(milliseconds(3'000));
    CHECK(world.starts.empty());
    CHECK(world.stops.empty());
}

// Guards against tasks of a cancelled job that go on, also when the start was still under way.
TEST_CASE("the runs of a cancelled job are stopped", "[cell]")
{
    Started world;
    const bool accepted = GENERATE(false, true);
    if (accepted)
        world.accept();
    CHECK(world.call(World::callFor(CallKind::Cancel, "/q/" + jobId(1)))->verdict == Verdict::Ok);
    if (!accepted) {
        CHECK(world.stops.empty());
        world.answerStart(OrderResult::Accepted);
    }
    REQUIRE(world.stops.size() == 1);
    world.answerStop(OrderResult::NoAnswer);
    world.pass(milliseconds(600));
    REQUIRE(world.stops.size() == 1); // repeated
    world.answerStop(OrderResult::Accepted);
    while (world.looks.size() > 0 && !world.state.findWorkerById("w1")->placed.empty())
        world.answerLook("w1", {}, { ended(3, EndKind::Stopped) });
    CHECK(world.state.findWorkerById("w1")->placed.empty());
    CHECK(world.state.findJob(jobId(1))->state == JobState::Cancelled);
}

// Guards against runs that the log does not know, such as those of a lease that ended while the leader was cut off.
TEST_CASE("a run that the log does not hold is stopped", "[cell]")
{
    Started world;
    world.accept();
    world.answerLook("w1", { row(task, 1), row({ jobId(9), 0, 0, 0 }, 3) });
    REQUIRE(world.stops.size() == 1);
    CHECK(world.stops.front().order.run == 3);
    CHECK(world.stateOf(task) == TaskState::Placed);
}

// Guards against work for a life that has ended, and against its tasks staying with it.
TEST_CASE("another life at the address ends the former one", "[cell]")
{
    Started world;
    world.accept();
    world.addReadyWorker("w2");
    PollAnswer answer;
    answer.result = OrderResult::Accepted;
    answer.clockMs = 5;
    answer.startedAtMs = 77;
    world.answerLookWith("w1", answer);
    CHECK_FALSE(world.state.findWorkerById("w1"));
    REQUIRE(world.starts.size() == 1);
    CHECK(world.starts.front().to.id == "w2");
}

// Guards against a leave call of an earlier life that gives up a worker which still runs its tasks.
TEST_CASE("a leave call alone does not end a life", "[cell]")
{
    Started world;
    world.accept();
    world.addReadyWorker("w2");
    auto call = World::callFor(CallKind::Leave, "");
    call->worker = worker("w1");
    CHECK(world.call(std::move(call))->verdict == Verdict::Ok);
    CHECK(world.starts.empty());
    PollAnswer refused;
    refused.result = OrderResult::ConnectionRefused;
    world.answerLookWith("w1", refused);
    CHECK(world.starts.size() == 1);
}

// Guards against new work on a worker that drains, and against losing what a checkpoint can save.
TEST_CASE("a draining worker gets no work and gives up tasks with checkpoints", "[cell]")
{
    World world;
    world.activate();
    world.addReadyWorker("w1");
    auto saved = step(1);
    saved->checkpoints = true;
    world.submitJob(job(jobId(1), std::move(saved)));
    world.answerStart(OrderResult::Accepted);
    auto draining = worker("w1");
    draining->draining = true;
    CHECK(world.beat(std::move(draining))->verdict == Verdict::Ok);
    REQUIRE(world.stops.size() == 1);
    world.answerStop(OrderResult::Accepted);
    world.addReadyWorker("w2");
    world.answerLook("w1", {}, { ended(1, EndKind::Stopped, 1, "half") });
    REQUIRE(world.starts.size() == 1);
    CHECK(world.starts.front().to.id == "w2");
    CHECK(world.starts.front().order.checkpoint == "half");
    world.beat(worker("w1")); // a late heartbeat from before
    CHECK(world.state.findWorkerById("w1")->worker.draining);
}

// Guards against a task that stands still for ever on a worker that hangs.
TEST_CASE("a task without progress is moved to another worker", "[cell]")
{
    Started world;
    world.accept();
    world.addReadyWorker("w2");
    for (int i = 0; i < 50 && world.stops.empty(); ++i) {
        world.answerLook("w1", { row(task, 1, 10) });
        world.beat(worker("w2"));
        world.pass(milliseconds(100));
    }
    REQUIRE(world.stops.size() == 1);
    world.answerStop(OrderResult::Accepted);
    while (world.starts.empty() && world.answerLook("w1", {}, { ended(1, EndKind::Stopped) }))
        ;
    REQUIRE(world.starts.size() == 1);
    CHECK(world.starts.front().to.id == "w2");
}

// Guards against members of a gang that wait for one that has ended until they give up alone.
TEST_CASE("when a member of a gang does not start the others are stopped", "[cell]")
{
    World world;
    world.activate();
    world.addReadyWorker("w1");
    world.addReadyWorker("w2");
    auto gang = step(2, 3'000);
    gang->gang = true;
    world.submitJob(job(jobId(1), std::move(gang)));
    REQUIRE(world.starts.size() == 2);
    world.answerStart(OrderResult::Accepted);
    world.answerStart(OrderResult::NoRoom);
    CHECK(world.stops.size() == 1);
    CHECK(world.starts.empty());
}

// Guards against two calls at a time by one machine, and against a machine that is never asked again after a lost call.
TEST_CASE("each helper asks the advisor for one step at a time", "[cell]")
{
    World world(config(1, 2, true));
    world.activate();
    world.leader->helperSeen("h1");
    world.addReadyWorker("w1");
    world.submitJob(job(jobId(1), step(1)));
    world.submitJob(job(jobId(2), step(1)));
    REQUIRE(world.advice.size() == 1);
    world.pass(milliseconds(1'200)); // the first call is lost
    REQUIRE(world.advice.size() == 2);
    auto late = std::move(world.advice.front());
    world.advice.pop_front();
    late.answer({ true, { { "w1", "late" } } });
    world.settle();
    CHECK(world.starts.empty());
    auto call = std::move(world.advice.front());
    world.advice.pop_front();
    call.answer({ true, { { "w1", "ticket" } } });
    world.settle();
    REQUIRE(world.starts.size() == 1);
    CHECK(world.starts.front().order.ticket == "ticket");
}

// Guards against orders by a leader that may have been replaced.
TEST_CASE("without its lease a leader gives no orders", "[cell]")
{
    World world;
    world.activate();
    world.addReadyWorker("w1");
    world.commits = false;
    world.submitJob(job(jobId(1), step(1)));
    world.commits = true;
    world.holdsLease = false;
    world.settle();
    world.pass(milliseconds(500));
    CHECK(world.starts.empty());
    world.holdsLease = true;
    world.pass(milliseconds(100)); // nothing but time passes
    CHECK(world.starts.size() == 1);
}
