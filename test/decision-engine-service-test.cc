#include "decision-fake-cell.h"

using namespace turmericpier;
using namespace turmericpier::decision;
using namespace turmericpier::decision::test;

TEST_CASE("replicas of a service are spread over data centres and racks")
{
    Engine engine({});
    announce(engine, 8);
    engine.handle(JobSubmitted { makeJob("s", 500, 4, JobKind::Service) }, at(0));
    std::set<WorkerId> workers;
    std::map<bool, int> dataCentres;
    for (const auto& placement : tickAndStart(engine, at(0))) {
        workers.insert(placement.worker);
        ++dataCentres[(placement.worker.str().back() - '0') % 2 == 0];
    }
    CHECK(workers.size() == 4);
    CHECK(dataCentres[true] == 2);
    CHECK(dataCentres[false] == 2);
}

TEST_CASE("a lost replica is replaced at once by another task, and the surplus is stopped if the worker returns")
{
    Engine engine({});
    announce(engine, 4);
    engine.handle(JobSubmitted { makeJob("s", 500, 2, JobKind::Service) }, at(0));
    const auto first = tickAndStart(engine, at(0));
    REQUIRE(first.size() == 2);
    engine.handle(WorkerLost { first[0].worker }, at(1'000));
    const auto replacement = tickAndStart(engine, at(1'000));
    REQUIRE(replacement.size() == 1);
    CHECK(replacement[0].task == TaskId("s.2"));
    CHECK(replacement[0].worker != first[0].worker);
    const auto number = static_cast<uint32_t>(first[0].worker.str().back() - '0');
    const auto back = makeWorker(
        first[0].worker.str(), 4'000, 8'192, "r" + std::to_string(number / 2), "dc" + std::to_string(number % 2));
    const auto stops = only<StopTask>(engine.handle(WorkerAnnounced { back, { 1 } }, at(2'000)));
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == TaskId("s.2"));
}

TEST_CASE("a drained replica is stopped only after its replacement has started")
{
    Engine engine({});
    announce(engine, 3);
    auto service = makeJob("s", 500, 2, JobKind::Service);
    service.minAvailable = 2;
    engine.handle(JobSubmitted { service }, at(0));
    const auto first = tickAndStart(engine, at(0));
    REQUIRE(first.size() == 2);
    CHECK(only<StopTask>(engine.handle(WorkerDraining { first[0].worker, true }, at(1'000))).empty());
    const auto moved = only<PlaceTask>(engine.tick(at(1'000)));
    REQUIRE(moved.size() == 1);
    CHECK(moved[0].placement.worker != first[0].worker);
    const auto stops
        = only<StopTask>(engine.handle(TaskStarted { moved[0].placement.task, moved[0].placement.epoch }, at(2'000)));
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == first[0].task);
    CHECK(engine.handle(TaskEnded { stops[0].task, stops[0].epoch, TaskEnd::Stopped }, at(3'000)).empty());
    CHECK(engine.tick(at(3'000)).empty());
}

TEST_CASE("a drained batch task without a checkpoint runs to its end, one with a checkpoint is moved")
{
    Engine engine({});
    announce(engine, 1);
    engine.handle(JobSubmitted { makeJob("a") }, at(0));
    engine.handle(JobSubmitted { makeJob("b") }, at(0));
    const auto first = tickAndStart(engine, at(0));
    REQUIRE(first.size() == 2);
    engine.handle(TaskCheckpointed { first[1].task, first[1].epoch, 7 }, at(10));
    const auto actions = engine.handle(WorkerDraining { WorkerId("w0"), true }, at(20));
    CHECK(only<StopTask>(actions).empty());
    REQUIRE(only<CheckpointTask>(actions).size() == 1);
    CHECK(only<CheckpointTask>(actions)[0].task == first[1].task);
    engine.handle(TaskCheckpointed { first[1].task, first[1].epoch, 8 }, at(30));
    engine.handle(TaskEnded { first[1].task, first[1].epoch, TaskEnd::Stopped }, at(40));
    CHECK(engine.tick(at(50)).empty());
    engine.handle(WorkerAnnounced { makeWorker("w9"), { 1 } }, at(60));
    const auto again = only<PlaceTask>(engine.tick(at(60)));
    REQUIRE(again.size() == 1);
    CHECK(again[0].checkpoint == 8);
}
