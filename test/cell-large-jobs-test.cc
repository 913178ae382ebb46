#include "allocation-counter.h"
#include "cell-fake-world.h"
#include "cell/bytes.h"
#include "consensus/core.h"
#include "turmericpier/cell/planner.h"

#include <catch2/catch.hpp>

/// Tests of jobs with very many tasks, which must neither end nor stop the processes that plan them.

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;
using record::EndKind;
using record::TaskState;
using std::chrono::milliseconds;

namespace {

/// Returns how many bytes the function allocates, also those that it frees.
template <typename Function> size_t bytesAllocatedBy(const Function& function)
{
    const size_t before = allocatedBytes;
    function();
    return allocatedBytes - before;
}

constexpr int64_t largeCpu = 64'000;

std::unique_ptr<record::WorkerT> largeWorker(const std::string& id, const std::string& rack = "r1")
{
    auto made = worker(id, 1, largeCpu);
    made->memory = 262'144;
    made->rack = rack;
    return made;
}

std::unique_ptr<record::StepT> smallTasks(uint32_t count)
{
    auto made = step(count, 5);
    made->memory = 10;
    return made;
}

std::unique_ptr<record::StepT> gang(uint32_t members)
{
    auto made = smallTasks(members);
    made->gang = true;
    return made;
}

/// A state with large workers, and plans for it.
struct LargeJobsFixture {
    State state;
    TicketCache tickets;
    uint32_t startRoom = UINT32_MAX;
    bool mayStartLargeGang = true;

    explicit LargeJobsFixture(int workers = 8, std::unique_ptr<record::ConfigT> configuration = config())
    {
        configure(state, std::move(configuration));
        for (int i = 0; i < workers; ++i)
            addWorker(state, largeWorker("w" + std::to_string(i), "r" + std::to_string(i / 4)));
    }

    Plan run()
    {
        PlannerInput input { state, tickets,
            [this](uint32_t) { return WorkerHealthView { .usable = true, .startRoom = startRoom }; },
            [](const StepKey&) { return false; }, TimePoint { std::chrono::seconds(100) }, 1'000'000 };
        input.mayStartLargeGang = mayStartLargeGang;
        return plan(input);
    }

    /// Returns the size of the plan's entry in the log, and applies it.
    size_t apply(const Plan& made)
    {
        record::CommandT command;
        for (const auto& start : made.starts)
            command.starts.push_back(std::make_unique<record::StartT>(start));
        const auto entry = pack<record::Command>(command);
        state.apply(command);
        return entry.size();
    }
};

uint64_t tasksOf(const Plan& made, const std::string& job)
{
    uint64_t tasks = 0;
    for (const auto& start : made.starts)
        tasks += start.job == job ? start.count : 0;
    return tasks;
}

} // namespace

// Guards against a round that copies what it has planned for each member of a gang: 4,000 members took more memory than
// a control process has (review/6).
TEST_CASE("the memory of a planning round grows at most with the members of a gang", "[cell]")
{
    constexpr size_t bytesPerMember = 400;
    constexpr size_t bytesPerRound = 100'000;
    const bool sameRack = GENERATE(false, true);
    for (const uint32_t members : { 10U, 100U, 1'000U, 4'000U, 10'000U }) {
        LargeJobsFixture fixture;
        auto wanted = gang(members);
        wanted->same_rack = sameRack;
        submit(fixture.state, job(jobId(1), std::move(wanted)));
        Plan made;
        const auto bytes = bytesAllocatedBy([&] { made = fixture.run(); });
        CHECK(tasksOf(made, jobId(1)) == members);
        CHECK(bytes < bytesPerRound + members * bytesPerMember);
        fixture.apply(made);
        CHECK(fixture.state.findTask({ jobId(1), 0, 0, members - 1 })->state == TaskState::Placed);
    }
}

// Guards against starts of a gang that exceed the largest entry of the log, so that no task of any job starts any more.
TEST_CASE("the log entry of a gang grows with the workers and not with the members", "[cell]")
{
    LargeJobsFixture fixture(16);
    submit(fixture.state, job(jobId(1), gang(60'000)));
    const auto made = fixture.run();
    CHECK(made.starts.size() <= 16);
    CHECK(fixture.apply(made) < 10'000);
    for (const uint32_t index : { 0U, 30'000U, 59'999U })
        CHECK(fixture.state.findTask({ jobId(1), 0, 0, index })->state == TaskState::Placed);
}

// Guards against gangs of a size that earlier versions could run, of which a replica of an earlier version would start
// one member for each worker only.
TEST_CASE("each member of a small gang has a start of its own", "[cell]")
{
    LargeJobsFixture fixture;
    submit(fixture.state, job(jobId(1), gang(maxListedGang)));
    const auto made = fixture.run();
    CHECK(made.starts.size() == maxListedGang);
    CHECK(std::ranges::all_of(made.starts, [](const auto& start) { return start.count == 1; }));
}

// Guards against a large gang whose members all wait for the connections to one worker.
TEST_CASE("a large gang is spread over the workers that have room", "[cell]")
{
    LargeJobsFixture fixture;
    submit(fixture.state, job(jobId(1), gang(2'000)));
    const auto made = fixture.run();
    REQUIRE(tasksOf(made, jobId(1)) == 2'000);
    for (const auto& start : made.starts)
        CHECK(start.count <= 256);
}

// Guards against a gang that does not fit and takes the room of others, or is placed in part.
TEST_CASE("a large gang that does not fit leaves the room to others", "[cell]")
{
    LargeJobsFixture fixture(1);
    submit(fixture.state, job(jobId(1), gang(20'000)));
    submit(fixture.state, job(jobId(2), smallTasks(2)));
    const auto made = fixture.run();
    CHECK(tasksOf(made, jobId(1)) == 0);
    CHECK(tasksOf(made, jobId(2)) == 2);
}

// Guards against several large gangs whose orders delay each other until members give up waiting.
TEST_CASE("large gangs start one after the other", "[cell]")
{
    LargeJobsFixture fixture;
    submit(fixture.state, job(jobId(1), gang(1'000)));
    submit(fixture.state, job(jobId(2), gang(1'000)));
    submit(fixture.state, job(jobId(3), smallTasks(2)));
    const auto made = fixture.run();
    CHECK(tasksOf(made, jobId(1)) == 1'000);
    CHECK(tasksOf(made, jobId(2)) == 0);
    CHECK(tasksOf(made, jobId(3)) == 2);
    fixture.apply(made);
    fixture.mayStartLargeGang = false;
    CHECK(fixture.run().starts.empty());
    fixture.mayStartLargeGang = true;
    CHECK(tasksOf(fixture.run(), jobId(2)) == 1'000);
}

// Guards against a gang of a tenant or with advice that is placed by another way than others.
TEST_CASE("a large gang starts with tickets and within the cap of its tenant", "[cell]")
{
    LargeJobsFixture advised(8, config(1, 2, true));
    submit(advised.state, job(jobId(1), gang(1'000)));
    const auto asked = advised.run();
    REQUIRE(asked.advice.size() == 1);
    std::map<uint32_t, std::string> tickets;
    for (const auto serial : asked.advice[0].workers)
        tickets[serial] = "ticket";
    advised.tickets.record(
        { jobId(1), 0, 0, 0 }, asked.advice[0].workers, tickets, TimePoint { std::chrono::seconds(200) });
    CHECK(tasksOf(advised.run(), jobId(1)) == 1'000);

    auto configuration = config();
    auto tenant = std::make_unique<record::TenantT>();
    tenant->name = "t";
    tenant->weight = 1;
    tenant->cap_cpu = 6'000;
    configuration->tenants.push_back(std::move(tenant));
    LargeJobsFixture capped(8, std::move(configuration));
    for (const uint32_t members : { 2'000U, 1'000U }) { // 10 and 5 cores.
        auto made = job(jobId(members), gang(members));
        made->tenant = "t";
        submit(capped.state, std::move(made));
    }
    const auto made = capped.run();
    CHECK(tasksOf(made, jobId(2'000)) == 0);
    CHECK(tasksOf(made, jobId(1'000)) == 1'000);
}

// Guards against a worker with so many runs that its answer to a poll cannot be read any more.
TEST_CASE("a worker gets no more tasks than an answer may list", "[cell]")
{
    LargeJobsFixture fixture(1);
    auto idle = step(60'000, 0);
    idle->memory = 0;
    idle->gang = true;
    submit(fixture.state, job(jobId(1), std::move(idle)));
    CHECK(fixture.run().starts.empty());
    addWorker(fixture.state, largeWorker("x1"));
    addWorker(fixture.state, largeWorker("x2"));
    const auto made = fixture.run();
    CHECK(tasksOf(made, jobId(1)) == 60'000);
    for (const auto& start : made.starts)
        CHECK(start.count == 20'000);
}

// Guards against a step that exceeds the largest entry of the log, so that no task of any job starts any more.
TEST_CASE("a plan starts only as many tasks of one step as one entry may hold", "[cell]")
{
    const uint32_t maxPerWorker = GENERATE(0U, 99'000U);
    LargeJobsFixture fixture;
    auto wide = smallTasks(99'000);
    wide->max_per_worker = maxPerWorker;
    submit(fixture.state, job(jobId(1), std::move(wide)));
    for (int round = 0; round < 4; ++round) {
        Plan made;
        const auto bytes = bytesAllocatedBy([&] { made = fixture.run(); });
        CHECK(made.starts.size() == 256);
        CHECK(made.unplaced[WaitReason::PlanLimit] == 99'000 - 256 * (static_cast<uint32_t>(round) + 1));
        CHECK(bytes < 200'000);
        CHECK(fixture.apply(made) < 100'000);
    }
}

// Guards against one wide step that takes all starts of each plan until all its tasks have run.
TEST_CASE("wide steps leave starts to others", "[cell]")
{
    const int wideSteps = GENERATE(1, 3, 20);
    LargeJobsFixture fixture;
    for (int i = 0; i < wideSteps; ++i)
        submit(fixture.state, job(jobId(static_cast<unsigned>(100 + i)), smallTasks(9'000)));
    submit(fixture.state, job(jobId(1), smallTasks(2)));
    const auto made = fixture.run();
    CHECK(made.starts.size() == 256);
    CHECK(tasksOf(made, jobId(1)) == 2);
    for (int i = 0; i < wideSteps; ++i)
        CHECK(tasksOf(made, jobId(static_cast<unsigned>(100 + i))) >= 128U / static_cast<unsigned>(wideSteps));
}

// Guards against tasks of a later job that take the room of an earlier wide step, which has more tasks than a plan
// starts.
TEST_CASE("the room for the next tasks of a wide step is kept", "[cell]")
{
    LargeJobsFixture fixture(1);
    submit(fixture.state, job(jobId(1), step(100, 640))); // The worker has room for 100.
    submit(fixture.state, job(jobId(2), step(2, 640)));
    const auto made = fixture.run();
    CHECK(tasksOf(made, jobId(1)) == 100);
    CHECK(tasksOf(made, jobId(2)) == 0);
}

// Guards against tasks that are started faster than their worker takes orders while others are free.
TEST_CASE("a worker gets no more starts than may wait for it", "[cell]")
{
    LargeJobsFixture fixture;
    fixture.startRoom = 10;
    submit(fixture.state, job(jobId(1), smallTasks(60)));
    std::map<uint32_t, uint32_t> byWorker;
    for (const auto& start : fixture.run().starts)
        ++byWorker[start.worker];
    CHECK(byWorker.size() == 6);
    for (const auto& [serial, starts] : byWorker)
        CHECK(starts == 10);
}

// Guards against a round that looks at each occurrence of a job, and searches for each of them among all others.
TEST_CASE("a round collects as many occurrences of a job as it may start", "[cell]")
{
    LargeJobsFixture fixture;
    auto timed = job(jobId(1), smallTasks(1));
    timed->times = 20'000;
    timed->first_due_ms = 1;
    timed->interval_ms = 1;
    submit(fixture.state, std::move(timed));
    for (int round = 0; round < 3; ++round) {
        Plan made;
        CHECK(bytesAllocatedBy([&] { made = fixture.run(); }) < 400'000);
        REQUIRE(made.starts.size() == 256);
        fixture.apply(made);
        for (const auto& start : made.starts)
            end(fixture.state, taskOf(start), 1, start.worker, EndKind::Done);
    }
    CHECK(fixture.state.firstOpenOccurrence(*fixture.state.findJob(jobId(1))) == 3 * 256);
}

// Guards against members that resume from different checkpoints, and against copies of it for each member at each end.
TEST_CASE("the members of a large gang resume from one checkpoint", "[cell]")
{
    LargeJobsFixture fixture;
    submit(fixture.state, job(jobId(1), gang(1'000)));
    const auto made = fixture.run();
    fixture.apply(made);
    for (const auto& start : made.starts) {
        for (auto key = taskOf(start); key.index < start.index + start.count; ++key.index)
            end(fixture.state, key, 1, start.worker, EndKind::Stopped, "saved " + std::to_string(key.index));
    }
    const auto saved = fixture.state.checkpointOf({ jobId(1), 0, 0, 0 });
    CHECK(saved.starts_with("saved "));
    CHECK(fixture.state.checkpointOf({ jobId(1), 0, 0, 999 }) == saved);
    State restored;
    REQUIRE(restored.restore(fixture.state.snapshot()).ok());
    CHECK(restored.checkpointOf({ jobId(1), 0, 0, 999 }) == saved);
}

namespace {

/// A leader with one large worker.
struct LargeWorkerFixture : LeaderFixture {
    explicit LargeWorkerFixture(const LeaderOptions& options = {})
    {
        createLeader(options);
        activate();
        heartbeat(largeWorker("w1"));
        answerPoll("w1");
    }
    size_t answerStarts(size_t most)
    {
        size_t answered = 0;
        for (; answered < most && !starts.empty(); ++answered)
            answerStart(OrderResult::Accepted);
        return answered;
    }
};

} // namespace

// Guards against starts that fail because too many of them wait for the connections to one worker, so that a gang of
// 600 members was started and stopped without end.
TEST_CASE("the starts of a gang are sent as fast as the worker takes them", "[cell]")
{
    LargeWorkerFixture fixture;
    fixture.submitJob(job(jobId(1), gang(600)));
    CHECK(fixture.starts.size() <= 64);
    CHECK(fixture.answerStarts(600) == 600);
    CHECK(fixture.starts.empty());
    CHECK(fixture.stops.empty());
    CHECK(fixture.state.findWorkerById("w1")->placed.size() == 600);
}

// Guards against urgent tasks that wait behind all members of a large gang.
TEST_CASE("the starts of other tasks are sent before those of a large gang", "[cell]")
{
    LargeWorkerFixture fixture;
    fixture.submitJob(job(jobId(1), gang(600)));
    fixture.submitJob(job(jobId(2), smallTasks(2)));
    std::set<std::string> next;
    for (int i = 0; i < 2; ++i) {
        fixture.answerStart(OrderResult::Accepted);
        next.insert(fixture.starts.back().order.task.job);
    }
    CHECK(next == std::set { jobId(2) });
}

// Guards against a gang whose members end alone because not all of them are ordered in time, again and again.
TEST_CASE("a gang that cannot be ordered in time is stopped and tried again later", "[cell]")
{
    LargeWorkerFixture fixture;
    fixture.submitJob(job(jobId(1), gang(600)));
    fixture.answerStarts(100);
    for (int i = 0; i < 46; ++i) { // 2.3 s of the 3 s for which members wait.
        fixture.advanceTime(milliseconds(50));
        fixture.answerPoll("w1", {}, {});
    }
    CHECK(fixture.starts.size() <= 64); // Nothing was sent after those without an answer.
    fixture.answerStarts(1);
    CHECK_FALSE(fixture.stops.empty());
    const auto placed = fixture.state.findWorkerById("w1")->placed.size();
    CHECK(placed <= 132); // Those that were not sent have ended.
    fixture.submitJob(job(jobId(2), smallTasks(1)));
    CHECK(fixture.state.findJob(jobId(2))->started);
}

// Guards against a gang that is placed again at once, without end, because one of its members is refused each time.
TEST_CASE("a large gang with a refused member is tried again later", "[cell]")
{
    LargeWorkerFixture fixture;
    fixture.submitJob(job(jobId(1), gang(600)));
    fixture.answerStart(OrderResult::Superseded);
    fixture.answerStarts(600);
    fixture.answerPoll("w1");
    for (int i = 0; i < 200 && !fixture.stops.empty(); ++i)
        fixture.answerStop(OrderResult::Accepted);
    fixture.answerPoll("w1");
    REQUIRE(fixture.state.findWorkerById("w1")->placed.empty());
    fixture.advanceTime(milliseconds(500));
    CHECK(fixture.starts.empty());
    fixture.advanceTime(milliseconds(600));
    CHECK_FALSE(fixture.starts.empty());
}

// Guards against a stop order for a run whose start was not sent, and against a job that cannot be cancelled meanwhile.
TEST_CASE("a cancelled gang ends without orders for members that were not ordered", "[cell]")
{
    LargeWorkerFixture fixture;
    fixture.submitJob(job(jobId(1), gang(600)));
    const auto sent = fixture.starts.size();
    fixture.call(LeaderFixture::callFor(record::CallKind::Cancel, prefix + jobId(1)));
    CHECK(fixture.state.findWorkerById("w1")->placed.size() == sent);
    CHECK(fixture.starts.size() == sent);
}

// Guards against a task that waits for an unreachable worker although its order was certainly not sent.
TEST_CASE("a start that was not sent goes to another worker at once", "[cell]")
{
    LargeWorkerFixture fixture;
    fixture.heartbeat(largeWorker("w2"));
    fixture.answerPoll("w2");
    fixture.submitJob(job(jobId(1), smallTasks(1)));
    REQUIRE(fixture.starts.size() == 1);
    const auto first = fixture.starts.front().to.id;
    fixture.answerStart(OrderResult::NotSent);
    REQUIRE(fixture.starts.size() == 1);
    CHECK(fixture.starts.front().to.id != first);
    CHECK(fixture.starts.front().order.run == 2);
    CHECK(fixture.stops.empty());
}

// Guards against ends that together exceed the largest entry of the log, so that none of them is ever committed.
TEST_CASE("ends with large checkpoints are split over several entries", "[cell]")
{
    constexpr uint32_t tasks = 2'000;
    LargeWorkerFixture fixture;
    fixture.submitJob(job(jobId(1), gang(tasks)));
    CHECK(fixture.answerStarts(tasks) == tasks);
    const std::string checkpoint(4'096, 'x');
    std::vector<ActiveRun> running;
    std::vector<EndedRun> ended;
    for (uint32_t i = 0; i < tasks; ++i) {
        const TaskKey task { jobId(1), 0, 0, i };
        if (i < 500)
            ended.push_back({ i + 1, task, 1, EndKind::Stopped, checkpoint });
        else
            running.push_back(activeRun(task, 1, 0, checkpoint));
    }
    const auto checkLog = [&] {
        size_t entries = 0;
        while (!fixture.log.empty()) {
            fixture.commits = false;
            for (const auto& [command, done] : fixture.log)
                CHECK(pack<record::Command>(*command).size() < consensus::maxEntryBytes);
            entries += fixture.log.size();
            fixture.commits = true;
            fixture.runPending();
        }
        return entries;
    };
    fixture.commits = false;
    fixture.answerPoll("w1", std::move(running), std::move(ended));
    CHECK(checkLog() > 1);
    CHECK(fixture.state.findWorkerById("w1")->placed.size() == tasks - 500);
    fixture.commits = false;
    fixture.heartbeat([] {
        auto later = largeWorker("w1");
        later->born_ms = 2;
        return later;
    }());
    CHECK(checkLog() > 1);
    CHECK(fixture.state.findWorkerById("w1")->worker.born_ms == 2);
}

// Guards against an end that is acknowledged before an earlier one is committed, because it concerns no run of the log.
// The worker then forgets both, and the task of the first one runs again.
TEST_CASE("an end of an unknown run is not acknowledged before earlier ends are committed", "[cell]")
{
    LargeWorkerFixture fixture;
    fixture.submitJob(job(jobId(1), smallTasks(1)));
    fixture.answerStart(OrderResult::Accepted);
    fixture.commits = false;
    const EndedRun first { 1, { jobId(1), 0, 0, 0 }, 1, EndKind::Done, {} };
    fixture.answerPoll("w1", {}, { first });
    fixture.advanceTime(milliseconds(200));
    fixture.answerPoll("w1", {}, { first, { 2, { jobId(9), 0, 0, 0 }, 1, EndKind::Stopped, {} } });
    fixture.advanceTime(milliseconds(200));
    for (const auto& poll : fixture.polls)
        CHECK(poll.order.ackCursor == 0);
}

// Guards against ended jobs that only the leader under which they ended removes, so that they fill the state.
TEST_CASE("a new leader removes the jobs that have ended under the one before it", "[cell]")
{
    LargeWorkerFixture fixture({ .endedJobRetention = std::chrono::seconds(60) });
    fixture.submitJob(job(jobId(1), smallTasks(1)));
    fixture.call(LeaderFixture::callFor(record::CallKind::Cancel, prefix + jobId(1)));
    fixture.answerStart(OrderResult::Accepted);
    fixture.answerPoll("w1", {}, { { 1, { jobId(1), 0, 0, 0 }, 1, EndKind::Stopped, {} } });
    fixture.advanceTime(std::chrono::seconds(20));
    fixture.submitJob(job(jobId(2), step(1, largeCpu + 1))); // The last entry of this leader.
    fixture.leader->deactivate();
    State restored;
    REQUIRE(restored.restore(fixture.state.snapshot()).ok());
    fixture.state = std::move(restored);
    fixture.activate(2);
    fixture.advanceTime(std::chrono::seconds(39));
    CHECK(fixture.state.findJob(jobId(1)));
    fixture.advanceTime(std::chrono::seconds(3));
    CHECK_FALSE(fixture.state.findJob(jobId(1)));
    CHECK(fixture.state.findJob(jobId(2)));
}
