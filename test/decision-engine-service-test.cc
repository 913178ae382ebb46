#include "decision-fake-cell.h"

using namespace turmericpier;
using namespace turmericpier::decision;
using namespace turmericpier::decision::test;

TEST_CASE("replicas of a service are spread over data centres and racks")
{
    Engine engine({});
    announce(engine, 8);
    engine.handle(JobSubmitted { makeJob("s", 500, 4, JobKind::Service) }, atMs(0));
    std::set<WorkerId> workers;
    std::map<bool, int> dataCentres;
    for (const auto& placement : tickAndStart(engine, atMs(0))) {
        workers.insert(placement.worker);
        ++dataCentres[(placement.worker.str().back() - '0') % 2 == 0];
    }
    CHECK(workers.size() == 4);
    CHECK(dataCentres[true] == 2);
    CHECK(dataCentres[false] == 2);
}

TEST_CASE(
    "a lost replica is replaced at once by another task, and the surplus replica is stopped if the worker returns")
{
    Engine engine({});
    announce(engine, 4);
    engine.handle(JobSubmitted { makeJob("s", 500, 2, JobKind::Service) }, atMs(0));
    const auto first = tickAndStart(engine, atMs(0));
    REQUIRE(first.size() == 2);
    engine.handle(WorkerLost { first[0].worker }, atMs(1'000));
    const auto replacement = tickAndStart(engine, atMs(1'000));
    REQUIRE(replacement.size() == 1);
    CHECK(replacement[0].task == TaskId("s.2"));
    CHECK(replacement[0].worker != first[0].worker);
    const auto number = static_cast<uint32_t>(first[0].worker.str().back() - '0');
    const auto back = makeWorker(
        first[0].worker.str(), 4'000, 8'192, "r" + std::to_string(number / 2), "dc" + std::to_string(number % 2));
    const auto stops = actionsOf<StopTask>(engine.handle(WorkerAnnounced { back, { 1 } }, atMs(2'000)));
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == TaskId("s.2"));
}

TEST_CASE("a replica on a draining worker is stopped only after its replacement has started")
{
    Engine engine({});
    announce(engine, 3);
    auto service = makeJob("s", 500, 2, JobKind::Service);
    service.minAvailable = 2;
    engine.handle(JobSubmitted { service }, atMs(0));
    const auto first = tickAndStart(engine, atMs(0));
    REQUIRE(first.size() == 2);
    CHECK(actionsOf<StopTask>(engine.handle(WorkerDraining { first[0].worker, true }, atMs(1'000))).empty());
    const auto moved = actionsOf<PlaceTask>(engine.tick(atMs(1'000)));
    REQUIRE(moved.size() == 1);
    CHECK(moved[0].placement.worker != first[0].worker);
    const auto stops = actionsOf<StopTask>(
        engine.handle(TaskStarted { moved[0].placement.task, moved[0].placement.epoch }, atMs(2'000)));
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == first[0].task);
    CHECK(engine.handle(TaskEnded { stops[0].task, stops[0].epoch, TaskEnd::Stopped }, atMs(3'000)).empty());
    CHECK(engine.tick(atMs(3'000)).empty());
}

TEST_CASE(
    "on a draining worker, a batch task without a checkpoint runs to completion and one with a checkpoint is moved")
{
    Engine engine({});
    announce(engine, 1);
    engine.handle(JobSubmitted { makeJob("a") }, atMs(0));
    engine.handle(JobSubmitted { makeJob("b") }, atMs(0));
    const auto first = tickAndStart(engine, atMs(0));
    REQUIRE(first.size() == 2);
    engine.handle(TaskCheckpointed { first[1].task, first[1].epoch, 7 }, atMs(10));
    const auto actions = engine.handle(WorkerDraining { WorkerId("w0"), true }, atMs(20));
    CHECK(actionsOf<StopTask>(actions).empty());
    REQUIRE(actionsOf<CheckpointTask>(actions).size() == 1);
    CHECK(actionsOf<CheckpointTask>(actions)[0].task == first[1].task);
    engine.handle(TaskCheckpointed { first[1].task, first[1].epoch, 8 }, atMs(30));
    engine.handle(TaskEnded { first[1].task, first[1].epoch, TaskEnd::Stopped }, atMs(40));
    CHECK(engine.tick(atMs(50)).empty());
    engine.handle(WorkerAnnounced { makeWorker("w9"), { 1 } }, atMs(60));
    const auto again = actionsOf<PlaceTask>(engine.tick(atMs(60)));
    REQUIRE(again.size() == 1);
    CHECK(again[0].checkpoint == 8);
}
