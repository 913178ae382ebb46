#include "turmericpier/cell/state.h"

#include "cell-fixtures.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;
using record::EndKind;
using record::JobState;
using record::TaskState;

namespace {

struct StateFixture {
    State state;
    uint32_t w1 = 0;
    uint32_t w2 = 0;

    explicit StateFixture(uint32_t attempts = 2)
    {
        configure(state, config(1, attempts));
        w1 = addWorker(state, worker("w1"));
        w2 = addWorker(state, worker("w2"));
    }
    JobState stateOf(const std::string& id) const { return state.findJob(id)->state; }
};

} // namespace

// Guards against an older or equal version that replaces the current configuration.
TEST_CASE("the highest version of the configuration is in force", "[cell]")
{
    State state;
    configure(state, config(5));
    auto older = config(4);
    older->queues.clear();
    configure(state, std::move(older));
    auto same = config(5);
    same->queues.clear();
    configure(state, std::move(same));
    CHECK(state.config()->version == 5);
    CHECK(state.matchQueue(host, "/q/x"));
    auto newer = config(6);
    newer->queues.clear();
    configure(state, std::move(newer));
    CHECK_FALSE(state.matchQueue(host, "/q/x"));
    CHECK(state.findQueue(queueKey(host, prefix))); // Its jobs still run.
}

// Guards against a queue with a short prefix that takes the paths of one with a longer prefix.
TEST_CASE("the longest prefix selects the queue", "[cell]")
{
    State state;
    auto made = config();
    auto longer = std::make_unique<record::QueueT>(*made->queues.front());
    longer->prefix = "/q/long/";
    made->queues.push_back(std::move(longer));
    configure(state, std::move(made));
    CHECK(state.matchQueue(host, "/q/long/x")->prefix == "/q/long/");
    CHECK(state.matchQueue(host, "/q/lon")->prefix == prefix);
    CHECK_FALSE(state.matchQueue("other.example", "/q/x"));
}

// Guards against a task that starts twice, and against a start with a run number that was already used.
TEST_CASE("a task has one run at a time", "[cell]")
{
    StateFixture fixture;
    submit(fixture.state, job(jobId(1), step(1)));
    const TaskKey task { jobId(1), 0, 0, 0 };
    start(fixture.state, task, 1, fixture.w1);
    start(fixture.state, task, 2, fixture.w2);
    CHECK(fixture.state.findTask(task)->worker == fixture.w1);
    end(fixture.state, task, 1, fixture.w1, EndKind::Stopped, "checkpoint");
    CHECK(fixture.state.findTask(task)->saved == "checkpoint");
    start(fixture.state, task, 1, fixture.w2);
    CHECK(fixture.state.findTask(task)->state == TaskState::Waiting);
    start(fixture.state, task, 2, fixture.w2);
    CHECK(fixture.state.findTask(task)->worker == fixture.w2);
    end(fixture.state, task, 1, fixture.w1, EndKind::Done); // A late end of the former run.
    CHECK(fixture.stateOf(jobId(1)) == JobState::Open);
    end(fixture.state, task, 2, fixture.w2, EndKind::Done);
    CHECK(fixture.stateOf(jobId(1)) == JobState::Done);
    start(fixture.state, task, 3, fixture.w2);
    CHECK(fixture.state.findWorker(fixture.w2)->placed.empty());
}

// Guards against capacity that is freed while a run may still use it, and against capacity that is never freed.
TEST_CASE("a run occupies its worker until its end is committed", "[cell]")
{
    StateFixture fixture;
    submit(fixture.state, job(jobId(1), step(2)));
    start(fixture.state, { jobId(1), 0, 0, 0 }, 1, fixture.w1);
    CHECK(fixture.state.findWorker(fixture.w1)->used.cpu.value == 1'000);
    record::CommandT cancel;
    cancel.cancel.push_back(jobId(1));
    fixture.state.apply(cancel);
    CHECK(fixture.stateOf(jobId(1)) == JobState::Cancelled);
    CHECK(fixture.state.findWorker(fixture.w1)->used.cpu.value == 1'000);
    end(fixture.state, { jobId(1), 0, 0, 0 }, 1, fixture.w1, EndKind::Stopped);
    CHECK(fixture.state.findWorker(fixture.w1)->used.cpu.value == 0);
}

// Guards against counting ends other than failures as attempts, and against more attempts than the queue allows.
TEST_CASE("only failed runs count as attempts", "[cell]")
{
    StateFixture fixture(2);
    submit(fixture.state, job(jobId(1), step(1)));
    const TaskKey task { jobId(1), 0, 0, 0 };
    uint32_t run = 0;
    for (const auto how : { EndKind::Lapsed, EndKind::Stopped, EndKind::NeverStarted, EndKind::Failed }) {
        start(fixture.state, task, ++run, fixture.w1);
        end(fixture.state, task, run, fixture.w1, how);
        CHECK(fixture.stateOf(jobId(1)) == JobState::Open);
    }
    start(fixture.state, task, ++run, fixture.w1);
    end(fixture.state, task, run, fixture.w1, EndKind::Failed);
    CHECK(fixture.stateOf(jobId(1)) == JobState::Failed);
}

// Guards against counting a gang's failure once for each member that fails.
TEST_CASE("a gang fails once in one run", "[cell]")
{
    StateFixture fixture(2);
    auto gang = step(2);
    gang->gang = true;
    submit(fixture.state, job(jobId(1), std::move(gang)));
    const TaskKey first { jobId(1), 0, 0, 0 };
    const TaskKey second { jobId(1), 0, 0, 1 };
    const auto failBoth = [&](uint32_t run) {
        start(fixture.state, first, run, fixture.w1);
        start(fixture.state, second, run, fixture.w2);
        end(fixture.state, first, run, fixture.w1, EndKind::Failed);
        end(fixture.state, second, run, fixture.w2, EndKind::Failed);
    };
    failBoth(1);
    CHECK(fixture.stateOf(jobId(1)) == JobState::Open);
    failBoth(2);
    CHECK(fixture.stateOf(jobId(1)) == JobState::Failed);
}

// Guards against waiting for a gang although the end of one member ends all of them, and against members that resume
// from different checkpoints.
TEST_CASE("the members of a gang succeed together and share a checkpoint", "[cell]")
{
    StateFixture fixture;
    auto gang = step(2);
    gang->gang = true;
    submit(fixture.state, job(jobId(1), std::move(gang)));
    const TaskKey first { jobId(1), 0, 0, 0 };
    const TaskKey second { jobId(1), 0, 0, 1 };
    start(fixture.state, first, 1, fixture.w1);
    start(fixture.state, second, 1, fixture.w2);
    end(fixture.state, first, 1, fixture.w1, EndKind::Stopped, "c1");
    end(fixture.state, second, 1, fixture.w2, EndKind::Broken);
    CHECK(fixture.state.findTask(second)->saved == "c1");
    start(fixture.state, first, 2, fixture.w1);
    start(fixture.state, second, 2, fixture.w2);
    end(fixture.state, second, 2, fixture.w2, EndKind::Done);
    CHECK(fixture.stateOf(jobId(1)) == JobState::Done);
    CHECK(fixture.state.findWorker(fixture.w1)->placed.empty());
    CHECK(fixture.state.findWorker(fixture.w1)->used.cpu.value == 0);
}

// Guards against a job that is reported as done, or a step that starts, before all earlier tasks are done.
TEST_CASE("a step is ready once all tasks before it are done", "[cell]")
{
    StateFixture fixture;
    auto second = step(1);
    second->after = { 0 };
    submit(fixture.state, job(jobId(1), step(2), std::move(second)));
    const auto& stored = *fixture.state.findJob(jobId(1));
    CHECK(fixture.state.isReady(stored, 0, 0));
    CHECK_FALSE(fixture.state.isReady(stored, 0, 1));
    for (uint32_t i = 0; i < 2; ++i) {
        CHECK_FALSE(fixture.state.isReady(stored, 0, 1));
        start(fixture.state, { jobId(1), 0, 0, i }, 1, fixture.w1);
        end(fixture.state, { jobId(1), 0, 0, i }, 1, fixture.w1, EndKind::Done);
    }
    CHECK(fixture.state.isReady(stored, 0, 1));
    CHECK(fixture.stateOf(jobId(1)) == JobState::Open);
}

// Guards against a delayed heartbeat of an earlier incarnation that replaces the current one.
TEST_CASE("a later incarnation ends the earlier one with its id or address", "[cell]")
{
    StateFixture fixture;
    submit(fixture.state, job(jobId(1), step(1)));
    const TaskKey task { jobId(1), 0, 0, 0 };
    start(fixture.state, task, 1, fixture.w1);
    const auto restarted = addWorker(fixture.state, worker("w1", 2));
    CHECK(restarted != fixture.w1);
    CHECK(fixture.state.findTask(task)->state == TaskState::Waiting);
    addWorker(fixture.state, worker("w1", 1));
    CHECK(fixture.state.findWorkerById("w1")->worker.born_ms == 2);
    auto stranger = worker("w9", 1);
    stranger->address = "w1:80";
    CHECK(addWorker(fixture.state, std::move(stranger)) == 0);
    auto successor = worker("w9", 3);
    successor->address = "w1:80";
    CHECK(addWorker(fixture.state, std::move(successor)) != 0);
    CHECK_FALSE(fixture.state.findWorkerById("w1"));
}

// Guards against a service task that is not restarted after its end, and against failures of such a task that end its
// job.
TEST_CASE("a long-running task waits again whatever its end", "[cell]")
{
    StateFixture fixture(1);
    auto lasting = step(1);
    lasting->long_running = true;
    submit(fixture.state, job(jobId(1), std::move(lasting)));
    const TaskKey task { jobId(1), 0, 0, 0 };
    uint32_t run = 0;
    for (const auto how : { EndKind::Failed, EndKind::Done, EndKind::Failed, EndKind::Lapsed }) {
        start(fixture.state, task, ++run, fixture.w1);
        end(fixture.state, task, run, fixture.w1, how);
        CHECK(fixture.state.findTask(task)->state == TaskState::Waiting);
        CHECK(fixture.stateOf(jobId(1)) == JobState::Open);
    }
}

// Guards against a replica that differs from the others after it was restored from a snapshot.
TEST_CASE("a snapshot restores the whole state", "[cell]")
{
    StateFixture fixture;
    submit(fixture.state, job(jobId(1), step(2)));
    submit(fixture.state, job(jobId(2), step(1)));
    start(fixture.state, { jobId(1), 0, 0, 1 }, 1, fixture.w2);
    record::CommandT cancel;
    cancel.cancel.push_back(jobId(2));
    fixture.state.apply(cancel);
    State restored;
    REQUIRE(restored.restore(fixture.state.snapshot()).ok());
    CHECK(restored.snapshot() == fixture.state.snapshot());
    CHECK(restored.findWorker(fixture.w2)->used.cpu.value == 1'000);
    CHECK(restored.openJobs().size() == 1);
    CHECK(restored.findJob(jobId(2))->state == JobState::Cancelled);
    CHECK(addWorker(restored, worker("w3")) == addWorker(fixture.state, worker("w3")));
    CHECK_FALSE(restored.restore("no snapshot").ok());
}

// Guards against removing an ended job while a run of it still occupies a worker.
TEST_CASE("an ended job is kept while a run of it has not ended", "[cell]")
{
    StateFixture fixture;
    submit(fixture.state, job(jobId(1), step(1)));
    start(fixture.state, { jobId(1), 0, 0, 0 }, 1, fixture.w1);
    record::CommandT cancel;
    cancel.cancel.push_back(jobId(1));
    fixture.state.apply(cancel);
    record::CommandT forget;
    forget.forget.push_back(jobId(1));
    fixture.state.apply(forget);
    REQUIRE(fixture.state.findJob(jobId(1)));
    end(fixture.state, { jobId(1), 0, 0, 0 }, 1, fixture.w1, EndKind::Stopped);
    fixture.state.apply(forget);
    CHECK_FALSE(fixture.state.findJob(jobId(1)));
}
