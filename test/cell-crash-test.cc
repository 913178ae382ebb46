#include "cell-fake-world.h"
#include "turmericpier/cell/planner.h"

#include <catch2/catch.hpp>

/// Tests of tasks that crash the workers on which they start.

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;
using record::CallKind;
using record::EndKind;
using record::JobState;
using record::TaskState;
using std::chrono::milliseconds;

namespace {

/// Workers that crash and register again at their address under another id, as after a restart.
struct CrashFixture : LeaderFixture {
    std::map<std::string, int> restarts;

    CrashFixture() { activate(); }

    /// Lets a worker without a poll in flight register again as a new incarnation, which answers its first poll.
    void restart(const std::string& id)
    {
        const auto next = id + "'";
        auto made = test::worker(next, 1 + ++restarts[id.substr(0, id.find('\''))]);
        made->address = state.findWorkerById(id)->worker.address;
        polls.clear();
        heartbeat(std::move(made));
        answerPoll(next);
    }
    std::string workerOf(const TaskKey& task) const
    {
        return state.findWorker(state.findTask(task)->worker)->worker.id;
    }
    JobState jobState(unsigned number) const { return state.findJob(jobId(number))->state; }
};

TaskKey taskOfJob(unsigned number, uint32_t index = 0) { return { jobId(number), 0, 0, index }; }

} // namespace

// Guards against a task that crashes one worker after the other until the end of the day.
TEST_CASE("a task under which two workers have crashed is given up", "[cell]")
{
    CrashFixture fixture;
    fixture.addReadyWorker("w1");
    fixture.addReadyWorker("w2");
    fixture.submitJob(job(jobId(1), step(1)));
    for (int crash = 1; crash <= 2; ++crash) {
        CHECK(fixture.jobState(1) == JobState::Open);
        REQUIRE(fixture.starts.size() == 1);
        const auto worker = fixture.workerOf(taskOfJob(1));
        fixture.starts.clear(); // The worker crashes before it answers.
        fixture.restart(worker);
    }
    CHECK(fixture.jobState(1) == JobState::Failed);
    fixture.advanceTime(milliseconds(5'000));
    CHECK(fixture.starts.empty());
}

// Guards against jobs that are given up because they shared workers with a task that crashed them.
TEST_CASE("a run that was at work when another one started is not suspected of the crash", "[cell]")
{
    CrashFixture fixture;
    fixture.addReadyWorker("w1");
    for (unsigned crash = 1; crash <= 4; ++crash) {
        if (crash == 1)
            fixture.submitJob(job(jobId(1), step(1)));
        // The job is at work when the other one starts on its worker.
        fixture.answerStart(OrderResult::Accepted);
        fixture.clock.advance(milliseconds(1'500));
        fixture.submitJob(job(jobId(1 + crash), step(1)));
        REQUIRE(fixture.starts.size() == 1);
        if (crash % 2 == 0)
            fixture.answerStart(OrderResult::Accepted);
        fixture.starts.clear();
        fixture.restart(fixture.workerOf(taskOfJob(1)));
        CHECK(fixture.state.findTask(taskOfJob(1))->suspicions == 0);
        CHECK(fixture.state.findTask(taskOfJob(1 + crash))->suspicions == 1);
        // Only the first job goes on to the next crash.
        fixture.call(LeaderFixture::callFor(CallKind::Cancel, prefix + jobId(1 + crash)));
        while (!fixture.starts.empty() && fixture.starts.front().order.task != taskOfJob(1))
            fixture.starts.pop_front();
        REQUIRE(fixture.starts.size() >= 1);
        fixture.starts.resize(1);
        fixture.stops.clear();
    }
    CHECK(fixture.jobState(1) == JobState::Open);
}

// Guards against a job that is given up because its worker was emptied and replaced as planned.
TEST_CASE("the end of a worker that drained is no crash", "[cell]")
{
    CrashFixture fixture;
    fixture.addReadyWorker("w1");
    fixture.submitJob(job(jobId(1), step(1)));
    auto draining = test::worker("w1");
    draining->draining = true;
    fixture.heartbeat(std::move(draining));
    fixture.restart("w1");
    CHECK(fixture.state.findTask(taskOfJob(1))->crashes == 0);
}

// Guards against a poll that finds a later incarnation at the address of a worker and loses the evidence of a crash.
TEST_CASE("a later incarnation that answers a poll is evidence of a crash", "[cell]")
{
    CrashFixture fixture;
    fixture.addReadyWorker("w1");
    fixture.submitJob(job(jobId(1), step(1)));
    fixture.starts.clear();
    fixture.leader->tick();
    fixture.advanceTime(milliseconds(1'000));
    PollAnswer other;
    other.result = OrderResult::OtherIncarnation;
    REQUIRE(fixture.answerPollWith("w1", other));
    CHECK(fixture.state.findTask(taskOfJob(1))->crashes == 1);
}

// Guards against an innocent job that is given up together with the one that crashes its workers.
TEST_CASE("several suspected tasks are given up later than a single one", "[cell]")
{
    State state;
    configure(state, config(1, 1));
    submit(state, job(jobId(1), step(2)));
    const auto crash = [&](uint32_t run, bool sole) {
        const auto serial = addWorker(state, worker("w" + std::to_string(run)));
        start(state, taskOfJob(1), run, serial);
        auto made = std::make_unique<record::EndT>(recordOf<record::EndT>(taskOfJob(1), run, serial));
        made->how = EndKind::Crashed;
        made->certain = true;
        made->sole_suspect = sole;
        record::CommandT command;
        command.ends.push_back(std::move(made));
        state.apply(command);
    };
    crash(1, false);
    crash(2, false);
    CHECK(state.findJob(jobId(1))->state == JobState::Open);
    // The count is part of a snapshot.
    State restored;
    REQUIRE(restored.restore(state.snapshot()).ok());
    CHECK(restored.findTask(taskOfJob(1))->crashes == 2);
    crash(3, false);
    CHECK(state.findJob(jobId(1))->state == JobState::Failed);
}

// Guards against a crash that takes other jobs along and leaves open which of the tasks has caused it.
TEST_CASE("a suspected task and other tasks are kept apart while there is room", "[cell]")
{
    State state;
    configure(state, config(1, 2));
    const auto busy = addWorker(state, worker("busy"));
    const auto idle = addWorker(state, worker("idle"));
    const auto third = addWorker(state, worker("third"));
    submit(state, job(jobId(1), step(1)));
    submit(state, job(jobId(2), step(1)));
    start(state, taskOfJob(1), 1, busy);
    start(state, taskOfJob(2), 1, third);
    auto end = std::make_unique<record::EndT>(recordOf<record::EndT>(taskOfJob(2), 1, third));
    end->how = EndKind::Crashed;
    record::CommandT command;
    command.ends.push_back(std::move(end));
    command.gone.push_back(third);
    state.apply(command);
    const TicketCache tickets;
    const auto run = [&] {
        return plan({ state, tickets,
            [](uint32_t) {
                return WorkerHealthView { true, 0, false };
            },
            [](const StepKey&) { return false; }, TimePoint {}, 0 });
    };
    auto made = run();
    REQUIRE(made.starts.size() == 1);
    CHECK(made.starts[0].worker == idle);
    start(state, taskOfJob(2), 2, idle);
    submit(state, job(jobId(3), step(2)));
    made = run();
    REQUIRE(made.starts.size() == 2);
    CHECK(made.starts[0].worker == busy);
    CHECK(made.starts[1].worker == busy);
    // Without another worker the task is not left waiting.
    submit(state, job(jobId(4), step(1, 4'000)));
    submit(state, job(jobId(5), step(3)));
    CHECK(run().starts.size() >= 5);
}

// Guards against a job that is given up because an order was on its way to a worker that had already crashed.
TEST_CASE("an unanswered order beside other runs raises suspicion, but does not count", "[cell]")
{
    CrashFixture fixture;
    fixture.addReadyWorker("w1");
    fixture.submitJob(job(jobId(1), step(1)));
    fixture.answerStart(OrderResult::Accepted);
    fixture.submitJob(job(jobId(2), step(1)));
    fixture.starts.clear();
    fixture.restart("w1");
    CHECK(fixture.state.findTask(taskOfJob(1))->crashes == 1); // Young as well.
    CHECK(fixture.state.findTask(taskOfJob(2))->crashes == 0);
    CHECK(fixture.state.findTask(taskOfJob(2))->suspicions == 1);
}

// Guards against a job that is shown as failed because an order went to a worker that had been silent, and had crashed
// long before it (LOST on the day trouble-3).
TEST_CASE("an unanswered order to a worker that was silent before it does not count as a crash", "[cell]")
{
    CrashFixture fixture;
    fixture.addReadyWorker("w1");
    fixture.advanceTime(milliseconds(3'400)); // The worker has crashed and is about to be back.
    fixture.submitJob(job(jobId(1), step(1)));
    REQUIRE(fixture.starts.size() == 1);
    fixture.starts.clear();
    fixture.restart("w1");
    CHECK(fixture.state.findTask(taskOfJob(1))->crashes == 0);
    CHECK(fixture.state.findTask(taskOfJob(1))->suspicions == 1);
}

// Guards against a job that is shown as failed after fewer lost runs than its queue allows attempts (review/4).
TEST_CASE("a job is not given up before as many crashes as its queue allows attempts", "[cell]")
{
    constexpr uint32_t attempts = 4;
    CrashFixture fixture;
    configure(fixture.state, config(2, attempts));
    fixture.addReadyWorker("w1");
    fixture.submitJob(job(jobId(1), step(1)));
    for (uint32_t crash = 1; crash <= attempts; ++crash) {
        CHECK(fixture.jobState(1) == JobState::Open);
        REQUIRE(fixture.starts.size() == 1);
        const auto worker = fixture.workerOf(taskOfJob(1));
        fixture.answerStart(OrderResult::Accepted);
        fixture.restart(worker);
    }
    CHECK(fixture.jobState(1) == JobState::Failed);
}

// Guards against suspects that are told apart by their age when the worker is back, seconds after the crash.
TEST_CASE("the age of a run counts up to the first failed poll", "[cell]")
{
    CrashFixture fixture;
    fixture.addReadyWorker("w1");
    fixture.submitJob(job(jobId(1), step(1)));
    fixture.answerStart(OrderResult::Accepted);
    fixture.advanceTime(milliseconds(1'500));
    fixture.submitJob(job(jobId(2), step(1)));
    fixture.answerStart(OrderResult::Accepted);
    PollAnswer refused;
    refused.result = OrderResult::ConnectionRefused;
    REQUIRE(fixture.answerPollWith("w1", refused));
    fixture.clock.advance(milliseconds(3'300));
    fixture.restart("w1");
    CHECK(fixture.state.findTask(taskOfJob(1))->suspicions == 0);
    CHECK(fixture.state.findTask(taskOfJob(2))->crashes == 1);
}

// Guards against a task that is never given up where leases are shorter than the restart of a worker.
TEST_CASE("a crash counts when the worker is back after its leases have ended", "[cell]")
{
    CrashFixture fixture;
    fixture.addReadyWorker("w1");
    fixture.addReadyWorker("w2");
    fixture.submitJob(job(jobId(1), step(1)));
    PollAnswer refused;
    refused.result = OrderResult::ConnectionRefused;
    for (uint32_t crash = 1; crash <= 2; ++crash) {
        REQUIRE(fixture.starts.size() == 1);
        fixture.answerStart(OrderResult::Accepted);
        const auto id = fixture.workerOf(taskOfJob(1));
        for (int i = 0; i < 70 && fixture.state.findWorkerById(id); ++i) {
            fixture.answerPollWith(id, refused);
            for (const auto& other : { "w1", "w2" }) {
                if (id != other)
                    fixture.answerPoll(other);
            }
            fixture.advanceTime(milliseconds(100));
            fixture.heartbeat(test::worker(id == "w1" ? "w2" : "w1"));
        }
        REQUIRE_FALSE(fixture.state.findWorkerById(id));
        CHECK(fixture.state.findTask(taskOfJob(1))->crashes == crash - 1);
        auto back = test::worker(id, 2);
        fixture.heartbeat(std::move(back));
        CHECK(fixture.state.findTask(taskOfJob(1))->crashes == crash);
        fixture.answerPoll(id);
    }
    CHECK(fixture.jobState(1) == JobState::Failed);
}

// Guards against a worker that was cut off and lives on, whose loss would count as a crash.
TEST_CASE("a worker that comes back as the same incarnation has not crashed", "[cell]")
{
    CrashFixture fixture;
    fixture.addReadyWorker("w1");
    fixture.submitJob(job(jobId(1), step(1)));
    fixture.answerStart(OrderResult::Accepted);
    PollAnswer refused;
    refused.result = OrderResult::ConnectionRefused;
    for (int i = 0; i < 70 && fixture.state.findWorkerById("w1"); ++i) {
        fixture.answerPollWith("w1", refused);
        fixture.advanceTime(milliseconds(100));
    }
    REQUIRE_FALSE(fixture.state.findWorkerById("w1"));
    fixture.heartbeat(test::worker("w1"));
    CHECK(fixture.state.findTask(taskOfJob(1))->suspicions == 0);
}
