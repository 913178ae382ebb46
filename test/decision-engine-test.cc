#include "decision-fake-cell.h"

using namespace turmericpier;
using namespace turmericpier::decision;
using namespace turmericpier::decision::test;

TEST_CASE("a placed task takes capacity until its end is known")
{
    Engine engine({});
    engine.handle(WorkerAnnounced { makeWorker("w1"), { 1 } }, at(0));
    engine.handle(JobSubmitted { makeJob("a", 3'000) }, at(0));
    engine.handle(JobSubmitted { makeJob("b", 3'000) }, at(0));
    const auto placed = only<PlaceTask>(engine.tick(at(0)));
    REQUIRE(placed.size() == 1);
    CHECK(placed[0].placement.task == TaskId("a.0"));
    CHECK(only<PlaceTask>(engine.tick(at(100))).empty());
    const auto done = only<JobDone>(engine.handle(TaskEnded { TaskId("a.0"), placed[0].placement.epoch }, at(200)));
    REQUIRE(done.size() == 1);
    CHECK(done[0].outcome == Outcome::Ran);
    CHECK(only<PlaceTask>(engine.tick(at(200))).size() == 1);
}

TEST_CASE("the task of a lost worker is placed again only after lease end plus the clock skew bound")
{
    Engine engine({});
    engine.handle(WorkerAnnounced { makeWorker("w1"), { 1 } }, at(0));
    engine.handle(JobSubmitted { makeJob("a") }, at(0));
    const auto first = only<PlaceTask>(engine.tick(at(0)));
    REQUIRE(first.size() == 1);
    engine.handle(WorkerAnnounced { makeWorker("w2"), { 1 } }, at(0));
    engine.handle(WorkerLost { WorkerId("w1") }, at(1'000));
    CHECK(only<PlaceTask>(engine.tick(at(31'499))).empty());
    const auto second = only<PlaceTask>(engine.tick(at(31'500)));
    REQUIRE(second.size() == 1);
    CHECK(second[0].placement.worker == WorkerId("w2"));
    CHECK(second[0].placement.epoch > first[0].placement.epoch);
}

TEST_CASE("a gang is placed completely or not at all")
{
    Engine engine({});
    engine.handle(WorkerAnnounced { makeWorker("w1"), { 1 } }, at(0));
    engine.handle(JobSubmitted { makeJob("g", 3'000, 2, JobKind::Gang) }, at(0));
    CHECK(only<PlaceTask>(engine.tick(at(0))).empty());
    engine.handle(WorkerAnnounced { makeWorker("w2"), { 1 } }, at(0));
    CHECK(only<PlaceTask>(engine.tick(at(0))).size() == 2);
}

TEST_CASE("a restored placement is not started a second time")
{
    Engine engine({});
    engine.handle(WorkerAnnounced { makeWorker("w1"), { 1 } }, at(0));
    engine.handle(JobSubmitted { makeJob("a", 1'000, 2) }, at(0));
    engine.handle(Restored { { { TaskId("a.0"), WorkerId("w1"), { 7 }, {} } }, { TaskId("a.1") }, { 9 } }, at(0));
    CHECK(engine.tick(at(0)).empty());
    CHECK(only<JobDone>(engine.handle(TaskEnded { TaskId("a.0"), { 7 } }, at(10))).size() == 1);
}
