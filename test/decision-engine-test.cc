#include "decision-fake-cell.h"

#include <boost/json.hpp>

using namespace turmericpier;
using namespace turmericpier::decision;
using namespace turmericpier::decision::test;

namespace {

bool engineHas(const Engine& engine, const WorkerId& worker)
{
    return engine.dump().find("\"" + worker.str() + "\"") != std::string::npos;
}

boost::json::object explain(const Engine& engine, const std::string& job)
{
    return boost::json::parse(engine.explain(JobId(job))).as_object();
}

} // namespace

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

TEST_CASE("an unconfirmed stop keeps its capacity until its lease has ended")
{
    Engine engine({});
    engine.handle(WorkerAnnounced { makeWorker("w1"), { 1 } }, at(0));
    engine.handle(JobSubmitted { makeJob("a", 4'000) }, at(0));
    tickAndStart(engine, at(0));
    CHECK(only<StopTask>(engine.handle(JobCancelled { JobId("a") }, at(1'000))).size() == 1);
    engine.handle(JobSubmitted { makeJob("b", 4'000) }, at(1'000));
    CHECK(engine.tick(at(31'400)).empty());
    const auto actions = engine.tick(at(31'500));
    CHECK(only<JobDone>(actions).size() == 1);
    CHECK(only<PlaceTask>(actions).size() == 1);
}

TEST_CASE("a restarted worker runs nothing: started tasks move at once, starts on their way are fenced")
{
    Engine engine({});
    engine.handle(WorkerAnnounced { makeWorker("w1"), { 1 } }, at(0));
    engine.handle(JobSubmitted { makeJob("a") }, at(0));
    const auto first = tickAndStart(engine, at(0));
    engine.handle(JobSubmitted { makeJob("b") }, at(0));
    const auto unconfirmed = only<PlaceTask>(engine.tick(at(0)));
    REQUIRE(unconfirmed.size() == 1);
    const auto actions = engine.handle(WorkerAnnounced { makeWorker("w1"), { 2 } }, at(1'000));
    REQUIRE(only<StopTask>(actions).size() == 1);
    CHECK(only<StopTask>(actions)[0].task == TaskId("b.0"));
    const auto again = tickAndStart(engine, at(1'000));
    REQUIRE(again.size() == 1);
    CHECK(again[0].task == TaskId("a.0"));
    CHECK(again[0].epoch > first[0].epoch);
    engine.handle(TaskEnded { TaskId("b.0"), unconfirmed[0].placement.epoch, TaskEnd::Stopped }, at(1'100));
    CHECK(tickAndStart(engine, at(1'100)).size() == 1);
}

TEST_CASE("a worker that announces less capacity gets no new work and loses its least important tasks")
{
    Engine engine({});
    engine.handle(WorkerAnnounced { makeWorker("w1"), { 1 } }, at(0));
    auto important = makeJob("important", 2'000);
    important.priority = 5;
    engine.handle(JobSubmitted { important }, at(0));
    engine.handle(JobSubmitted { makeJob("other", 2'000) }, at(0));
    CHECK(tickAndStart(engine, at(0)).size() == 2);
    const auto stops = only<StopTask>(engine.handle(WorkerAnnounced { makeWorker("w1", 2'000), { 1 } }, at(10)));
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == TaskId("other.0"));
    engine.handle(JobSubmitted { makeJob("c", 100) }, at(10));
    CHECK(engine.tick(at(10)).empty());
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

TEST_CASE("two gangs that each need more than half of the cell both run in the end")
{
    Engine engine({});
    announce(engine, 4);
    engine.handle(JobSubmitted { makeJob("g1", 4'000, 3, JobKind::Gang) }, at(0));
    engine.handle(JobSubmitted { makeJob("g2", 4'000, 3, JobKind::Gang) }, at(0));
    const auto first = tickAndStart(engine, at(0));
    REQUIRE(first.size() == 3);
    for (const auto& placement : first)
        engine.handle(TaskEnded { placement.task, placement.epoch }, at(1'000));
    CHECK(tickAndStart(engine, at(1'000)).size() == 3);
}

TEST_CASE("a gang is not starved by small tasks, and backfill gives way to it")
{
    Engine engine({});
    announce(engine, 2);
    std::map<TaskId, Epoch> running;
    uint32_t next = 0;
    const auto submitSmall
        = [&](TimePoint now) { engine.handle(JobSubmitted { makeJob("s" + std::to_string(next++), 1'000) }, now); };
    for (int i = 0; i < 40; ++i)
        submitSmall(at(0));
    const auto tick = [&](TimePoint now) {
        size_t gang = 0;
        for (const auto& action : engine.tick(now)) {
            if (const auto* place = std::get_if<PlaceTask>(&action)) {
                const auto& placement = place->placement;
                engine.handle(TaskStarted { placement.task, placement.epoch }, now);
                running[placement.task] = placement.epoch;
                gang += jobOf(placement.task) == JobId("g") ? 1 : 0;
            } else if (const auto* stop = std::get_if<StopTask>(&action)) {
                engine.handle(TaskEnded { stop->task, stop->epoch, TaskEnd::Stopped }, now);
                running.erase(stop->task);
            }
        }
        return gang;
    };
    tick(at(0));
    engine.handle(JobSubmitted { makeJob("g", 4'000, 2, JobKind::Gang) }, at(0));
    // One small task ends each second and another one waits: without a reservation no worker is ever empty.
    for (int second = 1; second < 300; ++second) {
        const auto now = at(second * 1'000);
        submitSmall(now);
        const auto [task, epoch] = *running.begin();
        running.erase(task);
        engine.handle(TaskEnded { task, epoch }, now);
        if (tick(now) == 2)
            return;
    }
    FAIL("the gang waited for 300 s: " << engine.explain(JobId("g")));
}

TEST_CASE("a job larger than any worker is refused with the resource and the largest worker, and blocks nothing")
{
    Engine engine({});
    CHECK(only<JobParked>(engine.handle(JobSubmitted { makeJob("early", 9'000) }, at(0))).size() == 1);
    announce(engine, 1);
    const auto refused = only<RefuseJob>(engine.handle(JobSubmitted { makeJob("big", 9'000) }, at(0)));
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason.find("processors") != std::string::npos);
    CHECK(refused[0].reason.find("4000 mCPU") != std::string::npos);
    engine.handle(JobSubmitted { makeJob("small") }, at(0));
    CHECK(only<PlaceTask>(engine.tick(at(0))).size() == 1);
    // Submitted before any worker was known: refused once workers had time to announce themselves.
    CHECK(only<RefuseJob>(engine.tick(at(59'000))).empty());
    CHECK(only<RefuseJob>(engine.tick(at(61'000))).size() == 1);
    CHECK(explain(engine, "early")["state"] == "refused");
}

TEST_CASE("urgent work starts on a full cell by preemption of batch work, never of services at their floor")
{
    Engine engine({});
    announce(engine, 2);
    auto service = makeJob("s", 4'000, 1, JobKind::Service);
    service.minAvailable = 1;
    engine.handle(JobSubmitted { service }, at(0));
    tickAndStart(engine, at(0));
    engine.handle(JobSubmitted { makeJob("batch", 4'000) }, at(0));
    const auto batch = tickAndStart(engine, at(0));
    REQUIRE(batch.size() == 1);
    auto urgent = makeJob("urgent", 2'000);
    urgent.priority = urgentPriority;
    urgent.team = TeamId("other");
    engine.handle(JobSubmitted { urgent }, at(1'000));
    const auto stops = only<StopTask>(engine.tick(at(1'000)));
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == batch[0].task);
    // The freed capacity is kept for the urgent task; what is left over can be used.
    engine.handle(JobSubmitted { makeJob("small", 2'500) }, at(1'500));
    engine.handle(TaskEnded { stops[0].task, stops[0].epoch, TaskEnd::Stopped }, at(2'000));
    const auto placed = tickAndStart(engine, at(2'000));
    REQUIRE(placed.size() == 1);
    CHECK(placed[0].task == TaskId("urgent.0"));
    CHECK(explain(engine, "batch")["decisions"].as_array().back().as_object()["what"] == "stop requested");
}

TEST_CASE("many urgent jobs get room at the same time, not one after the other")
{
    Engine engine({});
    announce(engine, 20);
    engine.handle(JobSubmitted { makeJob("batch", 1'000, 80) }, at(0));
    CHECK(tickAndStart(engine, at(0)).size() == 80);
    for (int i = 0; i < 60; ++i) {
        auto urgent = makeJob("u" + std::to_string(i), 1'000);
        urgent.priority = urgentPriority;
        urgent.team = TeamId("other");
        engine.handle(JobSubmitted { urgent }, at(1'000));
    }
    size_t started = 0;
    for (int i = 0; i < 5; ++i) {
        const auto now = at(1'000 + i * 100);
        const auto actions = engine.tick(now);
        started += only<PlaceTask>(actions).size();
        for (const auto& stop : only<StopTask>(actions))
            engine.handle(TaskEnded { stop.task, stop.epoch, TaskEnd::Stopped }, now);
    }
    CHECK(started == 60);
}

TEST_CASE("higher priority takes the place of lower priority in a team that has used up its quota, and no more")
{
    Engine engine({});
    announce(engine, 2);
    engine.handle(TeamChanged { { TeamId("team"), { { 4'000 }, { 8'192 }, { 0 } } } }, at(0));
    engine.handle(TeamChanged { { TeamId("idle"), { { 4'000 }, { 8'192 }, { 0 } } } }, at(0));
    engine.handle(JobSubmitted { makeJob("low", 1'000, 8) }, at(0));
    CHECK(tickAndStart(engine, at(0)).size() == 8);
    auto high = makeJob("high", 1'000, 10);
    high.priority = 500;
    engine.handle(JobSubmitted { high }, at(100'000));
    size_t placed = 0;
    for (int second = 100; second < 150; ++second) {
        const auto actions = engine.tick(at(second * 1'000));
        for (const auto& stop : only<StopTask>(actions)) {
            CHECK(jobOf(stop.task) == JobId("low"));
            engine.handle(TaskEnded { stop.task, stop.epoch, TaskEnd::Stopped }, at(second * 1'000));
        }
        for (const auto& place : only<PlaceTask>(actions)) {
            placed += jobOf(place.placement.task) == JobId("high") ? 1 : 0;
            engine.handle(TaskStarted { place.placement.task, place.placement.epoch }, at(second * 1'000));
        }
    }
    CHECK(placed == 8);
}

TEST_CASE("a team within its quota reclaims what another has borrowed")
{
    Engine engine({});
    announce(engine, 2);
    for (const auto* team : { "a", "b" })
        engine.handle(TeamChanged { { TeamId(team), { { 4'000 }, { 8'192 }, { 0 } } } }, at(0));
    auto borrower = makeJob("borrower", 1'000, 8);
    borrower.team = TeamId("a");
    engine.handle(JobSubmitted { borrower }, at(0));
    CHECK(tickAndStart(engine, at(0)).size() == 8);
    auto owner = makeJob("owner", 1'000, 6);
    owner.team = TeamId("b");
    engine.handle(JobSubmitted { owner }, at(100'000));
    size_t placed = 0;
    size_t preempted = 0;
    for (int second = 100; second < 130; ++second) {
        for (const auto& action : engine.tick(at(second * 1'000))) {
            if (const auto* stop = std::get_if<StopTask>(&action)) {
                CHECK(jobOf(stop->task) == JobId("borrower"));
                ++preempted;
                engine.handle(TaskEnded { stop->task, stop->epoch, TaskEnd::Stopped }, at(second * 1'000));
            } else if (const auto* place = std::get_if<PlaceTask>(&action)) {
                placed += jobOf(place->placement.task) == JobId("owner") ? 1 : 0;
                engine.handle(TaskStarted { place->placement.task, place->placement.epoch }, at(second * 1'000));
            }
        }
    }
    CHECK(placed == 4); // up to its quota and no further
    CHECK(preempted == 4);
}

TEST_CASE("a worker that fails everything is quarantined, probed and let back; its failures end no job")
{
    Engine engine({});
    engine.handle(PolicyChanged { { PolicyId("policy"), ScoreKind::Mixed, 3, 20 } }, at(0));
    announce(engine, 6);
    std::vector<WorkerQuarantined> changes;
    uint32_t next = 0;
    size_t badPlacements = 0;
    bool repaired = false;
    for (int second = 1; second < 400; ++second) {
        const auto now = at(second * 1'000);
        engine.handle(JobSubmitted { makeJob("j" + std::to_string(next++), 1'000, 24) }, now);
        const auto handle = [&](const Actions& actions) {
            for (const auto& change : only<WorkerQuarantined>(actions))
                changes.push_back(change);
            for (const auto& done : only<JobDone>(actions))
                CHECK(done.reason.empty());
        };
        const auto actions = engine.tick(now);
        handle(actions);
        for (const auto& place : only<PlaceTask>(actions)) {
            const auto& placement = place.placement;
            const bool bad = placement.worker == WorkerId("w3") && !repaired;
            badPlacements += bad ? 1 : 0;
            handle(engine.handle(TaskStarted { placement.task, placement.epoch }, now));
            handle(engine.handle(
                TaskEnded { placement.task, placement.epoch, bad ? TaskEnd::Failed : TaskEnd::Finished, "x" }, now));
        }
        repaired = second > 120;
    }
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].worker == WorkerId("w3"));
    CHECK(changes[0].quarantined);
    CHECK_FALSE(changes[1].quarantined);
    CHECK(badPlacements < 60);
}

TEST_CASE("a job that fails everywhere is ended after distinct workers, within its retries, without a quarantine")
{
    Engine engine({});
    engine.handle(PolicyChanged { { PolicyId("policy"), ScoreKind::Mixed, 3, 100 } }, at(0));
    announce(engine, 6);
    engine.handle(JobSubmitted { makeJob("poison") }, at(0));
    std::set<WorkerId> workers;
    for (int second = 0; second < 300; ++second) {
        for (const auto& placement : tickAndStart(engine, at(second * 1'000))) {
            workers.insert(placement.worker);
            const auto actions = engine.handle(
                TaskEnded { placement.task, placement.epoch, TaskEnd::Failed, "crash" }, at(second * 1'000));
            CHECK(only<WorkerQuarantined>(actions).empty());
            if (const auto done = only<JobDone>(actions); !done.empty()) {
                CHECK(workers.size() == 3);
                CHECK(done[0].outcome == Outcome::Ran);
                CHECK(done[0].reason.find("3 distinct workers") != std::string::npos);
                return;
            }
        }
    }
    FAIL("the job was not ended");
}

TEST_CASE("the retry limit of the policy ends a job, also when it is changed while running")
{
    Engine engine({});
    announce(engine, 1);
    engine.handle(JobSubmitted { makeJob("a") }, at(0));
    engine.handle(PolicyChanged { { PolicyId("policy"), ScoreKind::PackingFirst, 3, 1 } }, at(0));
    auto placed = tickAndStart(engine, at(0));
    REQUIRE(placed.size() == 1);
    CHECK(engine.handle(TaskEnded { placed[0].task, placed[0].epoch, TaskEnd::Failed, "x" }, at(1)).empty());
    placed = tickAndStart(engine, at(2));
    REQUIRE(placed.size() == 1);
    const auto done
        = only<JobDone>(engine.handle(TaskEnded { placed[0].task, placed[0].epoch, TaskEnd::Failed, "x" }, at(3)));
    REQUIRE(done.size() == 1);
    CHECK(done[0].reason.find("1 retries") != std::string::npos);
}

TEST_CASE("restarts after a large loss are paced, urgent ones first")
{
    Engine engine({});
    announce(engine, 20, 64'000);
    for (int i = 0; i < 600; ++i) {
        auto job = makeJob("j" + std::to_string(i), 1'000);
        job.priority = i == 599 ? urgentPriority : 0;
        job.request.memory = { 64 };
        engine.handle(JobSubmitted { job }, at(0));
    }
    const auto placed = tickAndStart(engine, at(0));
    REQUIRE(placed.size() == 600);
    std::map<WorkerId, size_t> tasks;
    for (const auto& placement : placed)
        ++tasks[placement.worker];
    size_t lost = 0;
    for (const auto& [worker, count] : tasks) {
        if (lost < 300) {
            lost += count;
            engine.handle(WorkerGone { worker }, at(1'000));
        }
    }
    const auto first = tickAndStart(engine, at(1'000));
    CHECK(first.size() < 50);
    CHECK(std::any_of(first.begin(), first.end(), [](const auto& p) { return p.task == TaskId("j599.0"); })
        == std::none_of(placed.begin(), placed.end(),
            [&](const auto& p) { return p.task == TaskId("j599.0") && engineHas(engine, p.worker); }));
    size_t total = first.size();
    for (int second = 2; second < 120; ++second)
        total += tickAndStart(engine, at(second * 1'000)).size();
    CHECK(total == lost);
    CHECK(engine.tick(at(121'000)).empty());
}

TEST_CASE("a wave of cancellations does not keep other work from being placed")
{
    Engine engine({});
    announce(engine, 10, 16'000);
    engine.handle(JobSubmitted { makeJob("large", 100, 1'000) }, at(0));
    for (int i = 0; i < 20'000; ++i)
        engine.handle(JobSubmitted { makeJob("j" + std::to_string(i), 3'000) }, at(0));
    tickAndStart(engine, at(0));
    size_t done = 0;
    for (int i = 0; i < 20'000; ++i)
        done += only<JobDone>(engine.handle(JobCancelled { JobId("j" + std::to_string(i)) }, at(100))).size();
    engine.handle(JobCancelled { JobId("large") }, at(100));
    CHECK(done > 19'900);
    engine.handle(WorkerAnnounced { makeWorker("later"), { 1 } }, at(100));
    engine.handle(JobSubmitted { makeJob("after", 100) }, at(100));
    CHECK(only<PlaceTask>(engine.tick(at(100))).size() == 1);
}

TEST_CASE("sizes are learned from usage within bounds, and a worker is relieved before it runs out")
{
    Engine engine({});
    announce(engine, 1);
    auto job = makeJob("a", 4'000);
    job.family = "f";
    for (int i = 0; i < 8; ++i) {
        job.id = JobId("a" + std::to_string(i));
        engine.handle(JobSubmitted { job }, at(i * 100'000));
        const auto placed = tickAndStart(engine, at(i * 100'000));
        REQUIRE(placed.size() == 1);
        engine.handle(
            WorkerReport { WorkerId("w0"), { { placed[0].task, placed[0].epoch, { { 500 }, { 300 }, {} } } } },
            at(i * 100'000 + 60'000));
        engine.handle(TaskEnded { placed[0].task, placed[0].epoch }, at(i * 100'000 + 90'000));
    }
    job.id = JobId("b");
    job.tasks = 4;
    engine.handle(JobSubmitted { job }, at(900'000));
    const auto placed = tickAndStart(engine, at(900'000));
    REQUIRE(placed.size() == 4);
    for (const auto& placement : placed) {
        CHECK(placement.limit.cpu >= MilliCpu { 400 }); // a tenth of the declared size
        CHECK(placement.limit.cpu <= MilliCpu { 1'000 });
    }
    WorkerReport report { WorkerId("w0"), {} };
    for (const auto& placement : placed)
        report.usage.push_back({ placement.task, placement.epoch, { { 1'000 }, { 300 }, {} } });
    CHECK_FALSE(only<ThrottleTask>(engine.handle(report, at(1'000'000))).empty());
    for (auto& usage : report.usage)
        usage.usage.memory = { 2'000 };
    CHECK_FALSE(only<StopTask>(engine.handle(report, at(1'010'000))).empty());
}

TEST_CASE("a start that nothing confirms is fenced and repeated")
{
    Engine engine({});
    announce(engine, 1);
    engine.handle(JobSubmitted { makeJob("a") }, at(0));
    const auto placed = only<PlaceTask>(engine.tick(at(0)));
    REQUIRE(placed.size() == 1);
    CHECK(engine.tick(at(30'400)).empty());
    CHECK(only<StopTask>(engine.tick(at(30'500))).size() == 1);
    engine.handle(TaskEnded { TaskId("a.0"), placed[0].placement.epoch, TaskEnd::Stopped }, at(31'000));
    CHECK(only<PlaceTask>(engine.tick(at(31'000))).size() == 1);
}

TEST_CASE("a refused placement is queued again")
{
    Engine engine({});
    announce(engine, 1);
    engine.handle(JobSubmitted { makeJob("a", 4'000) }, at(0));
    const auto placed = only<PlaceTask>(engine.tick(at(0)));
    REQUIRE(placed.size() == 1);
    engine.handle(PlacementRefused { TaskId("a.0"), placed[0].placement.epoch }, at(1));
    const auto again = only<PlaceTask>(engine.tick(at(2)));
    REQUIRE(again.size() == 1);
    CHECK(again[0].placement.epoch > placed[0].placement.epoch);
    engine.handle(PlacementRefused { TaskId("a.0"), again[0].placement.epoch }, at(3));
    const auto done = only<JobDone>(engine.handle(JobCancelled { JobId("a") }, at(4)));
    REQUIRE(done.size() == 1);
    CHECK(done[0].outcome == Outcome::NotRun);
}

TEST_CASE("a restored placement is not started a second time")
{
    Engine engine({});
    engine.handle(WorkerAnnounced { makeWorker("w1"), { 3 } }, at(0));
    engine.handle(JobSubmitted { makeJob("a", 1'000, 3) }, at(0));
    engine.handle(Restored { { { TaskId("a.0"), WorkerId("w1"), { 7 }, {}, { 3 } },
                                 { TaskId("a.2"), WorkerId("w1"), { 8 }, {}, { 2 } } },
                      { TaskId("a.1") }, { 9 } },
        at(0));
    // The worker was restarted after a.2 was placed, so that only this task starts again.
    const auto placed = tickAndStart(engine, at(0));
    REQUIRE(placed.size() == 1);
    CHECK(placed[0].task == TaskId("a.2"));
    CHECK(placed[0].epoch == Epoch { 9 });
    engine.handle(TaskEnded { placed[0].task, placed[0].epoch }, at(10));
    CHECK(only<JobDone>(engine.handle(TaskEnded { TaskId("a.0"), { 7 } }, at(10))).size() == 1);
}

TEST_CASE("explain gives the figures of a wait")
{
    Engine engine({});
    announce(engine, 2);
    engine.handle(JobSubmitted { makeJob("a", 4'000, 2) }, at(0));
    engine.handle(JobSubmitted { makeJob("b", 1'500) }, at(0));
    tickAndStart(engine, at(0));
    auto waits = explain(engine, "b")["waits"].as_object();
    CHECK(waits["reason"] == "the team is over its quota and no other team leaves quota idle");
    CHECK(waits["room"].as_object()["workersWithRoom"].to_number<int>() == 0);
    CHECK(waits["room"].as_object()["workersLargeEnough"].to_number<int>() == 2);
    const auto decision = explain(engine, "a")["decisions"].as_array()[0].as_object();
    CHECK(decision.at("what") == "placed");
    CHECK(decision.at("workersCompared").to_number<int>() >= 2);
    CHECK(boost::json::parse(engine.dump()).as_object()["workers"].as_array().size() == 2);
}

TEST_CASE("the same events give the same actions, with a custom score too")
{
    const auto run = [](EngineOptions options) {
        Engine engine(std::move(options));
        announce(engine, 8);
        std::vector<std::string> out;
        for (int i = 0; i < 200; ++i) {
            engine.handle(JobSubmitted { makeJob("j" + std::to_string(i), 100 + i % 7 * 100) }, at(i));
            for (const auto& placement : tickAndStart(engine, at(i)))
                out.push_back(placement.task.str() + placement.worker.str());
        }
        return out;
    };
    CHECK(run({}) == run({}));
    EngineOptions options;
    options.scoreFor = [](ScoreKind) { return [](const ScoreInput& in) { return double(in.free.cpu.value); }; };
    CHECK(run(options) == run(options));
    CHECK(run(options) != run({}));
}
