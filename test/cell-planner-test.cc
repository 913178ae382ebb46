#include "turmericpier/cell/planner.h"

#include "cell-fixtures.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;
using record::EndKind;

namespace {

struct PlannerFixture {
    State state;
    TicketCache tickets;
    std::set<uint32_t> unusable;
    std::map<uint32_t, double> penalties;
    std::set<uint32_t> recentlySuccessful;
    std::set<StepKey> asking;
    TimePoint now { std::chrono::seconds(100) };
    int64_t wallMs = 1'000'000;

    explicit PlannerFixture(bool advice = false) { configure(state, config(1, 2, advice)); }

    Plan run()
    {
        return plan({ state, tickets,
            [this](uint32_t serial) {
                return WorkerHealthView { !unusable.contains(serial), penalties[serial],
                    recentlySuccessful.contains(serial) };
            },
            [this](const StepKey& step) { return asking.contains(step); }, now, wallMs });
    }
    void applyStarts(const Plan& made)
    {
        for (const auto& start : made.starts)
            test::start(state, { start.job, start.occurrence, start.step, start.index }, start.run, start.worker);
    }
};

std::set<uint32_t> workersOf(const Plan& plan)
{
    std::set<uint32_t> workers;
    for (const auto& start : plan.starts)
        workers.insert(start.worker);
    return workers;
}

} // namespace

// Guards against starts that exceed the capacity of a worker, also within one round.
TEST_CASE("a plan never exceeds the capacity of a worker", "[cell]")
{
    PlannerFixture fixture;
    const auto serial = addWorker(fixture.state, worker("w1", 1, 2'500));
    submit(fixture.state, job(jobId(1), step(5)));
    const auto first = fixture.run();
    CHECK(first.starts.size() == 2);
    fixture.applyStarts(first);
    CHECK(fixture.run().starts.empty());
    end(fixture.state, { jobId(1), 0, 0, first.starts[0].index }, 1, serial, EndKind::Failed);
    const auto again = fixture.run();
    REQUIRE(again.starts.size() == 1);
    CHECK(again.starts[0].run == (again.starts[0].index == first.starts[0].index ? 2 : 1));
}

// Guards against a load report that does not tell missing room from slow advice.
TEST_CASE("a plan counts the tasks that it did not place by reason", "[cell]")
{
    PlannerFixture fixture;
    addWorker(fixture.state, worker("w1", 1, 2'500));
    submit(fixture.state, job(jobId(1), step(5)));
    CHECK(fixture.run().unplaced[WaitReason::NoRoom] == 3);
    PlannerFixture advised(true);
    addWorker(advised.state, worker("w1", 1, 2'500));
    submit(advised.state, job(jobId(1), step(5)));
    CHECK(advised.run().unplaced[WaitReason::Advice] == 5);
    advised.asking.insert({ jobId(1), 0, 0, 0 });
    CHECK(advised.run().unplaced[WaitReason::Advice] == 5);
    CHECK(advised.run().unplaced[WaitReason::NoRoom] == 0);
}

// Guards against tasks on workers that drain, do not answer or belong to another service.
TEST_CASE("only usable workers of the service get tasks", "[cell]")
{
    PlannerFixture fixture;
    auto draining = worker("w1");
    draining->draining = true;
    addWorker(fixture.state, std::move(draining));
    fixture.unusable.insert(addWorker(fixture.state, worker("w2")));
    auto foreign = worker("w3");
    foreign->service = "other";
    addWorker(fixture.state, std::move(foreign));
    submit(fixture.state, job(jobId(1), step(1)));
    CHECK(fixture.run().starts.empty());
    const auto good = addWorker(fixture.state, worker("w4"));
    CHECK(workersOf(fixture.run()) == std::set<uint32_t> { good });
}

// Guards against a task on a worker without the required label, and against too many tasks of a step on one worker.
TEST_CASE("required labels and the limit per worker are respected", "[cell]")
{
    PlannerFixture fixture;
    const auto plain = addWorker(fixture.state, worker("w1"));
    auto special = worker("w2");
    special->labels[0] = "b";
    const auto labelled = addWorker(fixture.state, std::move(special));
    auto needy = step(1);
    needy->needs = "b";
    submit(fixture.state, job(jobId(1), std::move(needy)));
    CHECK(workersOf(fixture.run()) == std::set<uint32_t> { labelled });
    fixture.applyStarts(fixture.run());
    auto apart = step(3);
    apart->max_per_worker = 1;
    submit(fixture.state, job(jobId(2), std::move(apart)));
    const auto spread = fixture.run();
    CHECK(spread.starts.size() == 2);
    CHECK(workersOf(spread) == std::set<uint32_t> { plain, labelled });
    fixture.applyStarts(spread);
    CHECK(fixture.run().starts.empty());
}

// Guards against urgent queues that wait behind less urgent ones.
TEST_CASE("the queue with the lowest priority number comes first", "[cell]")
{
    PlannerFixture fixture;
    auto both = config(2);
    both->queues.front()->priority = 2;
    auto urgent = std::make_unique<record::QueueT>(*both->queues.front());
    urgent->prefix = "/urgent/";
    urgent->priority = 0;
    both->queues.push_back(std::move(urgent));
    configure(fixture.state, std::move(both));
    addWorker(fixture.state, worker("w1", 1, 1'000));
    submit(fixture.state, job(jobId(1), step(1)));
    auto second = job(jobId(2), step(1));
    second->queue = queueKey(host, "/urgent/");
    submit(fixture.state, std::move(second));
    const auto made = fixture.run();
    REQUIRE(made.starts.size() == 1);
    CHECK(made.starts[0].job == jobId(2));
}

// Guards against a gang that starts only in part, and against members with different run numbers.
TEST_CASE("a gang starts whole or not at all", "[cell]")
{
    PlannerFixture fixture;
    const auto w1 = addWorker(fixture.state, worker("w1", 1, 2'000));
    auto gang = step(3);
    gang->gang = true;
    submit(fixture.state, job(jobId(1), std::move(gang)));
    CHECK(fixture.run().starts.empty());
    const auto w2 = addWorker(fixture.state, worker("w2", 1, 2'000));
    const auto made = fixture.run();
    REQUIRE(made.starts.size() == 3);
    fixture.applyStarts(made);
    for (const auto& start : made.starts) {
        if (start.index != 2)
            end(fixture.state, { jobId(1), 0, 0, start.index }, 1, start.worker, EndKind::Stopped);
    }
    CHECK(fixture.run().starts.empty()); // One member of the former run has not ended.
    end(fixture.state, { jobId(1), 0, 0, 2 }, 1, made.starts[2].worker, EndKind::NeverStarted);
    const auto again = fixture.run();
    REQUIRE(again.starts.size() == 3);
    CHECK(std::ranges::all_of(again.starts, [](const auto& start) { return start.run == 2; }));
    CHECK(workersOf(again) == std::set<uint32_t> { w1, w2 });
}

// Guards against a gang that is spread over racks, where it takes three times as long, although one rack has the
// capacity.
TEST_CASE("a gang for one rack starts in one rack if any has the capacity", "[cell]")
{
    PlannerFixture fixture;
    for (const auto* id : { "w1", "w2", "w3" }) {
        auto made = worker(id, 1, 1'000);
        made->rack = std::string(id) == "w1" ? "r1" : "r2";
        addWorker(fixture.state, std::move(made));
    }
    auto gang = step(2);
    gang->gang = true;
    gang->same_rack = true;
    submit(fixture.state, job(jobId(1), std::move(gang)));
    const auto made = fixture.run();
    REQUIRE(made.starts.size() == 2);
    for (const auto& start : made.starts)
        CHECK(fixture.state.findWorker(start.worker)->worker.rack == "r2");
}

// Guards against tasks that run away from their data while a worker near it has capacity.
TEST_CASE("a task goes to the rack of its data", "[cell]")
{
    PlannerFixture fixture;
    for (const auto* id : { "w1", "w2", "w3" })
        addWorker(fixture.state, worker(id));
    auto near = step(1);
    near->data_rack = "rack-w2";
    submit(fixture.state, job(jobId(1), std::move(near)));
    CHECK(workersOf(fixture.run()) == std::set<uint32_t> { fixture.state.findWorkerById("w2")->worker.serial });
}

// Guards against tasks that fill unused capacity and disturb tasks with a latency target.
TEST_CASE("filling tasks and tasks with a latency target do not share a worker", "[cell]")
{
    PlannerFixture fixture;
    const auto w1 = addWorker(fixture.state, worker("w1"));
    auto serving = step(1);
    serving->target_ms = 50;
    serving->long_running = true;
    submit(fixture.state, job(jobId(1), std::move(serving)));
    fixture.applyStarts(fixture.run());
    auto filling = step(1);
    filling->fills = true;
    submit(fixture.state, job(jobId(2), std::move(filling)));
    CHECK(fixture.run().starts.empty());
    const auto w2 = addWorker(fixture.state, worker("w2"));
    CHECK(workersOf(fixture.run()) == std::set<uint32_t> { w2 });
    end(fixture.state, { jobId(1), 0, 0, 0 }, 1, w1, EndKind::Failed);
    fixture.applyStarts(fixture.run());
    CHECK(fixture.state.findWorker(w1)->placed.size() + fixture.state.findWorker(w2)->placed.size() == 2);
}

// Guards against starts without a valid ticket, and against repeated questions about workers that may not run the step.
TEST_CASE("a step of a queue with advice waits for a ticket", "[cell]")
{
    PlannerFixture fixture(true);
    const auto w1 = addWorker(fixture.state, worker("w1"));
    const auto w2 = addWorker(fixture.state, worker("w2"));
    submit(fixture.state, job(jobId(1), step(1)));
    const StepKey key { jobId(1), 0, 0, 0 };
    auto made = fixture.run();
    CHECK(made.starts.empty());
    REQUIRE(made.advice.size() == 1);
    CHECK(made.advice[0].workers.size() == 2);
    CHECK(made.advice[0].expectedDuration == std::chrono::microseconds(24'000 + 2 * 340));
    fixture.tickets.record(key, { w1, w2 }, { { w2, "ticket" } }, fixture.now + std::chrono::seconds(2));
    made = fixture.run();
    CHECK(workersOf(made) == std::set<uint32_t> { w2 });
    CHECK(made.advice.empty());
    fixture.now = fixture.now + std::chrono::seconds(3);
    made = fixture.run();
    CHECK(made.starts.empty());
    REQUIRE(made.advice.size() == 1);
    CHECK(made.advice[0].workers == std::vector<uint32_t> { w2 });
}

// Guards against a second call to the advisor about a step while one is in flight, and against tasks that wait for its
// answer although a worker with a ticket has capacity.
TEST_CASE("no advice is requested for a step with a call in flight", "[cell]")
{
    PlannerFixture fixture(true);
    const auto w1 = addWorker(fixture.state, worker("w1", 1, 1'000));
    addWorker(fixture.state, worker("w2"));
    submit(fixture.state, job(jobId(1), step(2)));
    const StepKey key { jobId(1), 0, 0, 0 };
    fixture.tickets.record(key, { w1 }, { { w1, "ticket" } }, fixture.now + std::chrono::seconds(2));
    fixture.asking.insert(key);
    auto made = fixture.run();
    CHECK(workersOf(made) == std::set { w1 });
    CHECK(made.advice.empty());
    fixture.asking.clear();
    CHECK(fixture.run().advice.size() == 1);
}

// Guards against a gang that is placed in part when a later member finds no worker.
TEST_CASE("a gang without capacity for all members leaves the capacity to others", "[cell]")
{
    PlannerFixture fixture;
    addWorker(fixture.state, worker("w1", 1, 2'000));
    auto gang = step(3);
    gang->gang = true;
    submit(fixture.state, job(jobId(1), std::move(gang)));
    submit(fixture.state, job(jobId(2), step(2)));
    const auto made = fixture.run();
    REQUIRE(made.starts.size() == 2);
    CHECK(made.starts[0].job == jobId(2));
    CHECK(made.starts[1].job == jobId(2));
}

// Guards against occurrences that start before they are due.
TEST_CASE("an occurrence starts when it is due", "[cell]")
{
    PlannerFixture fixture;
    addWorker(fixture.state, worker("w1"));
    auto timed = job(jobId(1), step(1));
    timed->times = 3;
    timed->first_due_ms = fixture.wallMs + 500;
    timed->interval_ms = 1'000;
    submit(fixture.state, std::move(timed));
    auto made = fixture.run();
    CHECK(made.starts.empty());
    CHECK(made.nextDueMs == 1'000'500);
    fixture.wallMs = 1'001'500;
    made = fixture.run();
    REQUIRE(made.starts.size() == 2);
    CHECK(made.starts[1].occurrence == 1);
    CHECK(made.nextDueMs == 1'002'500);
}

// Guards against jobs that are spread over many workers, so that each lost worker delays many jobs.
TEST_CASE("the tasks of a step share few workers", "[cell]")
{
    PlannerFixture fixture;
    for (const auto* name : { "w1", "w2", "w3", "w4" }) {
        const auto serial = addWorker(fixture.state, worker(name));
        submit(fixture.state, job(std::string(name) + "-half", step(1, 2'500)));
        test::start(fixture.state, { std::string(name) + "-half", 0, 0, 0 }, 1, serial);
    }
    const auto empty = addWorker(fixture.state, worker("w5"));
    submit(fixture.state, job(jobId(1), step(4)));
    CHECK(workersOf(fixture.run()) == std::set { empty });
}

// Guards against single tasks that fragment empty workers, so that large tasks find no place.
TEST_CASE("a single task goes to the fullest worker", "[cell]")
{
    PlannerFixture fixture;
    addWorker(fixture.state, worker("w1"));
    const auto half = addWorker(fixture.state, worker("w2"));
    submit(fixture.state, job(jobId(2), step(1, 2'500)));
    test::start(fixture.state, { jobId(2), 0, 0, 0 }, 1, half);
    submit(fixture.state, job(jobId(1), step(1)));
    CHECK(workersOf(fixture.run()) == std::set { half });
}

// Guards against tasks that return to a worker on which several tasks have just failed.
TEST_CASE("workers without recent failures come first", "[cell]")
{
    PlannerFixture fixture;
    const auto w1 = addWorker(fixture.state, worker("w1"));
    const auto w2 = addWorker(fixture.state, worker("w2"));
    fixture.penalties[w1] = 1;
    submit(fixture.state, job(jobId(1), step(1)));
    CHECK(workersOf(fixture.run()) == std::set<uint32_t> { w2 });
}

// Guards against a job that fails because its task runs on two faulty workers in succession.
TEST_CASE("a task that has failed goes to a worker with a recent success", "[cell]")
{
    PlannerFixture fixture;
    const auto w1 = addWorker(fixture.state, worker("w1", 1, 1'000));
    submit(fixture.state, job(jobId(1), step(1)));
    fixture.applyStarts(fixture.run());
    end(fixture.state, { jobId(1), 0, 0, 0 }, 1, w1, EndKind::Failed);
    fixture.unusable.insert(w1);
    addWorker(fixture.state, worker("w2", 1, 1'000));
    const auto w3 = addWorker(fixture.state, worker("w3", 1, 16'000)); // The last choice by capacity alone.
    fixture.recentlySuccessful.insert(w3);
    CHECK(workersOf(fixture.run()) == std::set<uint32_t> { w3 });
}

// Guards against a job that fails because its task runs again on the worker on which it has failed.
TEST_CASE("a failed task avoids the worker on which it failed if another may run it", "[cell]")
{
    const bool advice = GENERATE(false, true);
    PlannerFixture fixture(advice);
    const auto w1 = addWorker(fixture.state, worker("w1"));
    submit(fixture.state, job(jobId(1), step(1)));
    const StepKey key { jobId(1), 0, 0, 0 };
    fixture.tickets.record(key, { w1 }, { { w1, "t" } }, fixture.now + std::chrono::seconds(9));
    fixture.applyStarts(fixture.run());
    end(fixture.state, { jobId(1), 0, 0, 0 }, 1, w1, EndKind::Failed);
    CHECK(workersOf(fixture.run()) == std::set<uint32_t> { w1 }); // There is no other worker.
    const auto w2 = addWorker(fixture.state, worker("w2"));
    if (advice) {
        const auto asked = fixture.run();
        CHECK(asked.starts.empty());
        REQUIRE(asked.advice.size() == 1);
        CHECK(asked.advice[0].workers == std::vector<uint32_t> { w2 });
        const bool fit = GENERATE(false, true);
        fixture.tickets.record(key, { w2 },
            fit ? std::map<uint32_t, std::string> { { w2, "u" } } : std::map<uint32_t, std::string> {},
            fixture.now + std::chrono::seconds(9));
        CHECK(workersOf(fixture.run()) == std::set<uint32_t> { fit ? w2 : w1 });
    } else {
        CHECK(workersOf(fixture.run()) == std::set<uint32_t> { w2 });
    }
}

// Guards against an accepted job that never ends: its task had failed on the only worker that may run it, the ticket
// for that worker had expired meanwhile, and the advisor was not asked about it again.
TEST_CASE("a failed task asks again about the only worker that may run it", "[cell]")
{
    PlannerFixture fixture(true);
    const auto w1 = addWorker(fixture.state, worker("w1"));
    const auto w2 = addWorker(fixture.state, worker("w2"));
    submit(fixture.state, job(jobId(1), step(1)));
    const StepKey key { jobId(1), 0, 0, 0 };
    fixture.tickets.record(key, { w1, w2 }, { { w1, "t" } }, fixture.now + std::chrono::seconds(2));
    fixture.applyStarts(fixture.run());
    end(fixture.state, { jobId(1), 0, 0, 0 }, 1, w1, EndKind::Failed);
    fixture.now = fixture.now + std::chrono::seconds(3);
    const auto asked = fixture.run();
    CHECK(asked.starts.empty());
    REQUIRE(asked.advice.size() == 1);
    CHECK(asked.advice[0].workers == std::vector<uint32_t> { w1 });
    fixture.tickets.record(key, { w1 }, { { w1, "u" } }, fixture.now + std::chrono::seconds(2));
    CHECK(workersOf(fixture.run()) == std::set<uint32_t> { w1 });
}

// Guards against steps of a large fleet that ask about the same workers, take each other's room and have to ask again.
TEST_CASE("steps that wait together ask about different workers of a large fleet", "[cell]")
{
    PlannerFixture fixture(true);
    for (int i = 0; i < 1'100; ++i)
        addWorker(fixture.state, worker("w" + std::to_string(i)));
    constexpr unsigned steps = 20;
    for (unsigned i = 1; i <= steps; ++i)
        submit(fixture.state, job(jobId(i), step(13, 3'500)));
    const auto made = fixture.run();
    REQUIRE(made.advice.size() == steps);
    std::set<uint32_t> asked;
    for (const auto& request : made.advice) {
        CHECK(request.workers.size() == 26);
        asked.insert(request.workers.begin(), request.workers.end());
    }
    CHECK(asked.size() >= steps * 26 / 2); // Each task has a worker of its own to go to.
}
