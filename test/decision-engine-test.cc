#include "decision-fake-cell.h"

#include <boost/json.hpp>

using namespace turmericpier;
using namespace turmericpier::decision;
using namespace turmericpier::decision::test;

namespace {

bool isInDump(const Engine& engine, const WorkerId& worker)
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
    engine.handle(WorkerAnnounced { makeWorker("w1"), { 1 } }, atMs(0));
    engine.handle(JobSubmitted { makeJob("a", 3'000) }, atMs(0));
    engine.handle(JobSubmitted { makeJob("b", 3'000) }, atMs(0));
    const auto placed = actionsOf<PlaceTask>(engine.tick(atMs(0)));
    REQUIRE(placed.size() == 1);
    CHECK(placed[0].placement.task == TaskId("a.0"));
    CHECK(actionsOf<PlaceTask>(engine.tick(atMs(100))).empty());
    const auto done
        = actionsOf<JobDone>(engine.handle(TaskEnded { TaskId("a.0"), placed[0].placement.epoch }, atMs(200)));
    REQUIRE(done.size() == 1);
    CHECK(done[0].outcome == Outcome::Ran);
    CHECK(actionsOf<PlaceTask>(engine.tick(atMs(200))).size() == 1);
}

TEST_CASE("the task of a lost worker is placed again only after lease end plus the clock skew bound")
{
    Engine engine({});
    engine.handle(WorkerAnnounced { makeWorker("w1"), { 1 } }, atMs(0));
    engine.handle(JobSubmitted { makeJob("a") }, atMs(0));
    const auto first = actionsOf<PlaceTask>(engine.tick(atMs(0)));
    REQUIRE(first.size() == 1);
    engine.handle(WorkerAnnounced { makeWorker("w2"), { 1 } }, atMs(0));
    engine.handle(WorkerLost { WorkerId("w1") }, atMs(1'000));
    CHECK(actionsOf<PlaceTask>(engine.tick(atMs(31'499))).empty());
    const auto second = actionsOf<PlaceTask>(engine.tick(atMs(31'500)));
    REQUIRE(second.size() == 1);
    CHECK(second[0].placement.worker == WorkerId("w2"));
    CHECK(second[0].placement.epoch > first[0].placement.epoch);
}

TEST_CASE("the capacity of a task whose stop is not confirmed stays allocated until its lease has ended")
{
    Engine engine({});
    engine.handle(WorkerAnnounced { makeWorker("w1"), { 1 } }, atMs(0));
    engine.handle(JobSubmitted { makeJob("a", 4'000) }, atMs(0));
    tickAndStart(engine, atMs(0));
    CHECK(actionsOf<StopTask>(engine.handle(JobCancelled { JobId("a") }, atMs(1'000))).size() == 1);
    engine.handle(JobSubmitted { makeJob("b", 4'000) }, atMs(1'000));
    CHECK(engine.tick(atMs(31'400)).empty());
    const auto actions = engine.tick(atMs(31'500));
    CHECK(actionsOf<JobDone>(actions).size() == 1);
    CHECK(actionsOf<PlaceTask>(actions).size() == 1);
}

TEST_CASE("after a worker restart, running tasks are placed again at once and unconfirmed starts are fenced first")
{
    Engine engine({});
    engine.handle(WorkerAnnounced { makeWorker("w1"), { 1 } }, atMs(0));
    engine.handle(JobSubmitted { makeJob("a") }, atMs(0));
    const auto first = tickAndStart(engine, atMs(0));
    engine.handle(JobSubmitted { makeJob("b") }, atMs(0));
    const auto unconfirmed = actionsOf<PlaceTask>(engine.tick(atMs(0)));
    REQUIRE(unconfirmed.size() == 1);
    const auto actions = engine.handle(WorkerAnnounced { makeWorker("w1"), { 2 } }, atMs(1'000));
    REQUIRE(actionsOf<StopTask>(actions).size() == 1);
    CHECK(actionsOf<StopTask>(actions)[0].task == TaskId("b.0"));
    const auto again = tickAndStart(engine, atMs(1'000));
    REQUIRE(again.size() == 1);
    CHECK(again[0].task == TaskId("a.0"));
    CHECK(again[0].epoch > first[0].epoch);
    engine.handle(TaskEnded { TaskId("b.0"), unconfirmed[0].placement.epoch, TaskEnd::Stopped }, atMs(1'100));
    CHECK(tickAndStart(engine, atMs(1'100)).size() == 1);
}

TEST_CASE("a worker that announces less capacity gets no new tasks, and its tasks of lowest priority are stopped")
{
    Engine engine({});
    engine.handle(WorkerAnnounced { makeWorker("w1"), { 1 } }, atMs(0));
    auto important = makeJob("important", 2'000);
    important.priority = 5;
    engine.handle(JobSubmitted { important }, atMs(0));
    engine.handle(JobSubmitted { makeJob("other", 2'000) }, atMs(0));
    CHECK(tickAndStart(engine, atMs(0)).size() == 2);
    const auto stops = actionsOf<StopTask>(engine.handle(WorkerAnnounced { makeWorker("w1", 2'000), { 1 } }, atMs(10)));
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == TaskId("other.0"));
    engine.handle(JobSubmitted { makeJob("c", 100) }, atMs(10));
    CHECK(engine.tick(atMs(10)).empty());
}

TEST_CASE("a gang is placed completely or not at all")
{
    Engine engine({});
    engine.handle(WorkerAnnounced { makeWorker("w1"), { 1 } }, atMs(0));
    engine.handle(JobSubmitted { makeJob("g", 3'000, 2, JobKind::Gang) }, atMs(0));
    CHECK(actionsOf<PlaceTask>(engine.tick(atMs(0))).empty());
    engine.handle(WorkerAnnounced { makeWorker("w2"), { 1 } }, atMs(0));
    CHECK(actionsOf<PlaceTask>(engine.tick(atMs(0))).size() == 2);
}

TEST_CASE("two gangs that each need more than half of the cell run one after the other")
{
    Engine engine({});
    announce(engine, 4);
    engine.handle(JobSubmitted { makeJob("g1", 4'000, 3, JobKind::Gang) }, atMs(0));
    engine.handle(JobSubmitted { makeJob("g2", 4'000, 3, JobKind::Gang) }, atMs(0));
    const auto first = tickAndStart(engine, atMs(0));
    REQUIRE(first.size() == 3);
    for (const auto& placement : first)
        engine.handle(TaskEnded { placement.task, placement.epoch }, atMs(1'000));
    CHECK(tickAndStart(engine, atMs(1'000)).size() == 3);
}

TEST_CASE("a gang is not starved by small tasks, and backfill tasks are stopped for it")
{
    Engine engine({});
    announce(engine, 2);
    std::map<TaskId, Epoch> running;
    uint32_t next = 0;
    const auto submitSmall
        = [&](TimePoint now) { engine.handle(JobSubmitted { makeJob("s" + std::to_string(next++), 1'000) }, now); };
    for (int i = 0; i < 40; ++i)
        submitSmall(atMs(0));
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
    tick(atMs(0));
    engine.handle(JobSubmitted { makeJob("g", 4'000, 2, JobKind::Gang) }, atMs(0));
    // Each second one small task ends while another one waits. Without a reservation, no worker would ever become
    // empty.
    for (int second = 1; second < 300; ++second) {
        const auto now = atMs(second * 1'000);
        submitSmall(now);
        const auto [task, epoch] = *running.begin();
        running.erase(task);
        engine.handle(TaskEnded { task, epoch }, now);
        if (tick(now) == 2)
            return;
    }
    FAIL("the gang waited for 300 s: " << engine.explain(JobId("g")));
}

TEST_CASE("a job larger than every worker is refused with the resource and the largest worker, and blocks no other job")
{
    Engine engine({});
    CHECK(actionsOf<JobParked>(engine.handle(JobSubmitted { makeJob("early", 9'000) }, atMs(0))).size() == 1);
    announce(engine, 1);
    const auto refused = actionsOf<RefuseJob>(engine.handle(JobSubmitted { makeJob("big", 9'000) }, atMs(0)));
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason.find("processors") != std::string::npos);
    CHECK(refused[0].reason.find("4000 mCPU") != std::string::npos);
    engine.handle(JobSubmitted { makeJob("small") }, atMs(0));
    CHECK(actionsOf<PlaceTask>(engine.tick(atMs(0))).size() == 1);
    // The first job was submitted before any worker was known. It is refused after the grace period for announcements.
    CHECK(actionsOf<RefuseJob>(engine.tick(atMs(59'000))).empty());
    CHECK(actionsOf<RefuseJob>(engine.tick(atMs(61'000))).size() == 1);
    CHECK(explain(engine, "early")["state"] == "refused");
}

TEST_CASE("an urgent job on a full cell preempts batch tasks but no service at its minimum number of replicas")
{
    Engine engine({});
    announce(engine, 2);
    auto service = makeJob("s", 4'000, 1, JobKind::Service);
    service.minAvailable = 1;
    engine.handle(JobSubmitted { service }, atMs(0));
    tickAndStart(engine, atMs(0));
    engine.handle(JobSubmitted { makeJob("batch", 4'000) }, atMs(0));
    const auto batch = tickAndStart(engine, atMs(0));
    REQUIRE(batch.size() == 1);
    auto urgent = makeJob("urgent", 2'000);
    urgent.priority = urgentPriority;
    urgent.team = TeamId("other");
    engine.handle(JobSubmitted { urgent }, atMs(1'000));
    const auto stops = actionsOf<StopTask>(engine.tick(atMs(1'000)));
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == batch[0].task);
    // The freed capacity is claimed for the urgent task. The small job does not fit into the rest.
    engine.handle(JobSubmitted { makeJob("small", 2'500) }, atMs(1'500));
    engine.handle(TaskEnded { stops[0].task, stops[0].epoch, TaskEnd::Stopped }, atMs(2'000));
    const auto placed = tickAndStart(engine, atMs(2'000));
    REQUIRE(placed.size() == 1);
    CHECK(placed[0].task == TaskId("urgent.0"));
    CHECK(explain(engine, "batch")["decisions"].as_array().back().as_object()["what"] == "stop requested");
}

TEST_CASE("tasks are preempted for many urgent jobs at the same time, not for one after the other")
{
    Engine engine({});
    announce(engine, 20);
    engine.handle(JobSubmitted { makeJob("batch", 1'000, 80) }, atMs(0));
    CHECK(tickAndStart(engine, atMs(0)).size() == 80);
    for (int i = 0; i < 60; ++i) {
        auto urgent = makeJob("u" + std::to_string(i), 1'000);
        urgent.priority = urgentPriority;
        urgent.team = TeamId("other");
        engine.handle(JobSubmitted { urgent }, atMs(1'000));
    }
    size_t started = 0;
    for (int i = 0; i < 5; ++i) {
        const auto now = atMs(1'000 + i * 100);
        const auto actions = engine.tick(now);
        started += actionsOf<PlaceTask>(actions).size();
        for (const auto& stop : actionsOf<StopTask>(actions))
            engine.handle(TaskEnded { stop.task, stop.epoch, TaskEnd::Stopped }, now);
    }
    CHECK(started == 60);
}

TEST_CASE("in a team that has used up its quota, a job of higher priority only replaces tasks of lower priority")
{
    Engine engine({});
    announce(engine, 2);
    engine.handle(TeamChanged { { TeamId("team"), { { 4'000 }, { 8'192 }, { 0 } } } }, atMs(0));
    engine.handle(TeamChanged { { TeamId("idle"), { { 4'000 }, { 8'192 }, { 0 } } } }, atMs(0));
    engine.handle(JobSubmitted { makeJob("low", 1'000, 8) }, atMs(0));
    CHECK(tickAndStart(engine, atMs(0)).size() == 8);
    auto high = makeJob("high", 1'000, 10);
    high.priority = 500;
    engine.handle(JobSubmitted { high }, atMs(100'000));
    size_t placed = 0;
    for (int second = 100; second < 150; ++second) {
        const auto actions = engine.tick(atMs(second * 1'000));
        for (const auto& stop : actionsOf<StopTask>(actions)) {
            CHECK(jobOf(stop.task) == JobId("low"));
            engine.handle(TaskEnded { stop.task, stop.epoch, TaskEnd::Stopped }, atMs(second * 1'000));
        }
        for (const auto& place : actionsOf<PlaceTask>(actions)) {
            placed += jobOf(place.placement.task) == JobId("high") ? 1 : 0;
            engine.handle(TaskStarted { place.placement.task, place.placement.epoch }, atMs(second * 1'000));
        }
    }
    CHECK(placed == 8);
}

TEST_CASE("a team within its quota reclaims the resources that another team has borrowed")
{
    Engine engine({});
    announce(engine, 2);
    for (const auto* team : { "a", "b" })
        engine.handle(TeamChanged { { TeamId(team), { { 4'000 }, { 8'192 }, { 0 } } } }, atMs(0));
    auto borrower = makeJob("borrower", 1'000, 8);
    borrower.team = TeamId("a");
    engine.handle(JobSubmitted { borrower }, atMs(0));
    CHECK(tickAndStart(engine, atMs(0)).size() == 8);
    auto owner = makeJob("owner", 1'000, 6);
    owner.team = TeamId("b");
    engine.handle(JobSubmitted { owner }, atMs(100'000));
    size_t placed = 0;
    size_t preempted = 0;
    for (int second = 100; second < 130; ++second) {
        for (const auto& action : engine.tick(atMs(second * 1'000))) {
            if (const auto* stop = std::get_if<StopTask>(&action)) {
                CHECK(jobOf(stop->task) == JobId("borrower"));
                ++preempted;
                engine.handle(TaskEnded { stop->task, stop->epoch, TaskEnd::Stopped }, atMs(second * 1'000));
            } else if (const auto* place = std::get_if<PlaceTask>(&action)) {
                placed += jobOf(place->placement.task) == JobId("owner") ? 1 : 0;
                engine.handle(TaskStarted { place->placement.task, place->placement.epoch }, atMs(second * 1'000));
            }
        }
    }
    CHECK(placed == 4); // Up to the quota of the team.
    CHECK(preempted == 4);
}

TEST_CASE("a worker on which every task fails is quarantined, probed and released, and its failures end no job")
{
    Engine engine({});
    engine.handle(PolicyChanged { { PolicyId("policy"), ScoreKind::Mixed, 3, 20 } }, atMs(0));
    announce(engine, 6);
    std::vector<WorkerQuarantined> changes;
    uint32_t next = 0;
    size_t badPlacements = 0;
    bool repaired = false;
    for (int second = 1; second < 400; ++second) {
        const auto now = atMs(second * 1'000);
        engine.handle(JobSubmitted { makeJob("j" + std::to_string(next++), 1'000, 24) }, now);
        const auto handle = [&](const Actions& actions) {
            for (const auto& change : actionsOf<WorkerQuarantined>(actions))
                changes.push_back(change);
            for (const auto& done : actionsOf<JobDone>(actions))
                CHECK(done.reason.empty());
        };
        const auto actions = engine.tick(now);
        handle(actions);
        for (const auto& place : actionsOf<PlaceTask>(actions)) {
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

TEST_CASE("a job that fails on every worker is ended after three distinct workers and causes no quarantine")
{
    Engine engine({});
    engine.handle(PolicyChanged { { PolicyId("policy"), ScoreKind::Mixed, 3, 100 } }, atMs(0));
    announce(engine, 6);
    engine.handle(JobSubmitted { makeJob("poison") }, atMs(0));
    std::set<WorkerId> workers;
    for (int second = 0; second < 300; ++second) {
        for (const auto& placement : tickAndStart(engine, atMs(second * 1'000))) {
            workers.insert(placement.worker);
            const auto actions = engine.handle(
                TaskEnded { placement.task, placement.epoch, TaskEnd::Failed, "crash" }, atMs(second * 1'000));
            CHECK(actionsOf<WorkerQuarantined>(actions).empty());
            if (const auto done = actionsOf<JobDone>(actions); !done.empty()) {
                CHECK(workers.size() == 3);
                CHECK(done[0].outcome == Outcome::Ran);
                CHECK(done[0].reason.find("3 distinct workers") != std::string::npos);
                return;
            }
        }
    }
    FAIL("the job was not ended");
}

TEST_CASE("a job is ended at the retry limit of its policy, also if the limit changes while the job runs")
{
    Engine engine({});
    announce(engine, 1);
    engine.handle(JobSubmitted { makeJob("a") }, atMs(0));
    engine.handle(PolicyChanged { { PolicyId("policy"), ScoreKind::PackingFirst, 3, 1 } }, atMs(0));
    auto placed = tickAndStart(engine, atMs(0));
    REQUIRE(placed.size() == 1);
    CHECK(engine.handle(TaskEnded { placed[0].task, placed[0].epoch, TaskEnd::Failed, "x" }, atMs(1)).empty());
    placed = tickAndStart(engine, atMs(2));
    REQUIRE(placed.size() == 1);
    const auto done = actionsOf<JobDone>(
        engine.handle(TaskEnded { placed[0].task, placed[0].epoch, TaskEnd::Failed, "x" }, atMs(3)));
    REQUIRE(done.size() == 1);
    CHECK(done[0].reason.find("1 retries") != std::string::npos);
}

TEST_CASE("restarts after the loss of many workers are paced, with urgent tasks first")
{
    Engine engine({});
    announce(engine, 20, 64'000);
    for (int i = 0; i < 600; ++i) {
        auto job = makeJob("j" + std::to_string(i), 1'000);
        job.priority = i == 599 ? urgentPriority : 0;
        job.request.memory = { 64 };
        engine.handle(JobSubmitted { job }, atMs(0));
    }
    const auto placed = tickAndStart(engine, atMs(0));
    REQUIRE(placed.size() == 600);
    std::map<WorkerId, size_t> tasks;
    for (const auto& placement : placed)
        ++tasks[placement.worker];
    size_t lost = 0;
    for (const auto& [worker, count] : tasks) {
        if (lost < 300) {
            lost += count;
            engine.handle(WorkerGone { worker }, atMs(1'000));
        }
    }
    const auto first = tickAndStart(engine, atMs(1'000));
    CHECK(first.size() < 50);
    CHECK(std::any_of(first.begin(), first.end(), [](const auto& p) { return p.task == TaskId("j599.0"); })
        == std::none_of(placed.begin(), placed.end(),
            [&](const auto& p) { return p.task == TaskId("j599.0") && isInDump(engine, p.worker); }));
    size_t total = first.size();
    for (int second = 2; second < 120; ++second)
        total += tickAndStart(engine, atMs(second * 1'000)).size();
    CHECK(total == lost);
    CHECK(engine.tick(atMs(121'000)).empty());
}

TEST_CASE("the cancellation of many jobs does not block the placement of other jobs")
{
    Engine engine({});
    announce(engine, 10, 16'000);
    engine.handle(JobSubmitted { makeJob("large", 100, 1'000) }, atMs(0));
    for (int i = 0; i < 20'000; ++i)
        engine.handle(JobSubmitted { makeJob("j" + std::to_string(i), 3'000) }, atMs(0));
    tickAndStart(engine, atMs(0));
    size_t done = 0;
    for (int i = 0; i < 20'000; ++i)
        done += actionsOf<JobDone>(engine.handle(JobCancelled { JobId("j" + std::to_string(i)) }, atMs(100))).size();
    engine.handle(JobCancelled { JobId("large") }, atMs(100));
    CHECK(done > 19'900);
    engine.handle(WorkerAnnounced { makeWorker("later"), { 1 } }, atMs(100));
    engine.handle(JobSubmitted { makeJob("after", 100) }, atMs(100));
    CHECK(actionsOf<PlaceTask>(engine.tick(atMs(100))).size() == 1);
}

TEST_CASE("task sizes are learned from usage within bounds, and a worker is relieved before it runs out of resources")
{
    Engine engine({});
    announce(engine, 1);
    auto job = makeJob("a", 4'000);
    job.family = "f";
    for (int i = 0; i < 8; ++i) {
        job.id = JobId("a" + std::to_string(i));
        engine.handle(JobSubmitted { job }, atMs(i * 100'000));
        const auto placed = tickAndStart(engine, atMs(i * 100'000));
        REQUIRE(placed.size() == 1);
        engine.handle(
            WorkerReport { WorkerId("w0"), { { placed[0].task, placed[0].epoch, { { 500 }, { 300 }, {} } } } },
            atMs(i * 100'000 + 60'000));
        engine.handle(TaskEnded { placed[0].task, placed[0].epoch }, atMs(i * 100'000 + 90'000));
    }
    job.id = JobId("b");
    job.tasks = 4;
    engine.handle(JobSubmitted { job }, atMs(900'000));
    const auto placed = tickAndStart(engine, atMs(900'000));
    REQUIRE(placed.size() == 4);
    for (const auto& placement : placed) {
        CHECK(placement.limit.cpu >= MilliCpu { 400 }); // A tenth of the declared size is the lower bound.
        CHECK(placement.limit.cpu <= MilliCpu { 1'000 });
    }
    WorkerReport report { WorkerId("w0"), {} };
    for (const auto& placement : placed)
        report.usage.push_back({ placement.task, placement.epoch, { { 1'000 }, { 300 }, {} } });
    CHECK_FALSE(actionsOf<ThrottleTask>(engine.handle(report, atMs(1'000'000))).empty());
    for (auto& usage : report.usage)
        usage.usage.memory = { 2'000 };
    CHECK_FALSE(actionsOf<StopTask>(engine.handle(report, atMs(1'010'000))).empty());
}

TEST_CASE("an unconfirmed start is fenced before the task is placed again")
{
    Engine engine({});
    announce(engine, 1);
    engine.handle(JobSubmitted { makeJob("a") }, atMs(0));
    const auto placed = actionsOf<PlaceTask>(engine.tick(atMs(0)));
    REQUIRE(placed.size() == 1);
    CHECK(engine.tick(atMs(30'400)).empty());
    CHECK(actionsOf<StopTask>(engine.tick(atMs(30'500))).size() == 1);
    engine.handle(TaskEnded { TaskId("a.0"), placed[0].placement.epoch, TaskEnd::Stopped }, atMs(31'000));
    CHECK(actionsOf<PlaceTask>(engine.tick(atMs(31'000))).size() == 1);
}

TEST_CASE("a refused placement is queued again")
{
    Engine engine({});
    announce(engine, 1);
    engine.handle(JobSubmitted { makeJob("a", 4'000) }, atMs(0));
    const auto placed = actionsOf<PlaceTask>(engine.tick(atMs(0)));
    REQUIRE(placed.size() == 1);
    engine.handle(PlacementRefused { TaskId("a.0"), placed[0].placement.epoch }, atMs(1));
    const auto again = actionsOf<PlaceTask>(engine.tick(atMs(2)));
    REQUIRE(again.size() == 1);
    CHECK(again[0].placement.epoch > placed[0].placement.epoch);
    engine.handle(PlacementRefused { TaskId("a.0"), again[0].placement.epoch }, atMs(3));
    const auto done = actionsOf<JobDone>(engine.handle(JobCancelled { JobId("a") }, atMs(4)));
    REQUIRE(done.size() == 1);
    CHECK(done[0].outcome == Outcome::NotRun);
}

TEST_CASE("a restored placement is not started a second time")
{
    Engine engine({});
    engine.handle(WorkerAnnounced { makeWorker("w1"), { 3 } }, atMs(0));
    engine.handle(JobSubmitted { makeJob("a", 1'000, 3) }, atMs(0));
    engine.handle(Restored { { { TaskId("a.0"), WorkerId("w1"), { 7 }, {}, { 3 } },
                                 { TaskId("a.2"), WorkerId("w1"), { 8 }, {}, { 2 } } },
                      { TaskId("a.1") }, { 9 } },
        atMs(0));
    // The worker was restarted after a.2 was placed, so that only this task is placed again.
    const auto placed = tickAndStart(engine, atMs(0));
    REQUIRE(placed.size() == 1);
    CHECK(placed[0].task == TaskId("a.2"));
    CHECK(placed[0].epoch == Epoch { 9 });
    engine.handle(TaskEnded { placed[0].task, placed[0].epoch }, atMs(10));
    CHECK(actionsOf<JobDone>(engine.handle(TaskEnded { TaskId("a.0"), { 7 } }, atMs(10))).size() == 1);
}

TEST_CASE("explain reports why a job waits, with the figures of the workers")
{
    Engine engine({});
    announce(engine, 2);
    engine.handle(JobSubmitted { makeJob("a", 4'000, 2) }, atMs(0));
    engine.handle(JobSubmitted { makeJob("b", 1'500) }, atMs(0));
    tickAndStart(engine, atMs(0));
    auto waits = explain(engine, "b")["waits"].as_object();
    CHECK(waits["reason"] == "the team is over its quota and no other team leaves quota idle");
    CHECK(waits["room"].as_object()["workersWithRoom"].to_number<int>() == 0);
    CHECK(waits["room"].as_object()["workersLargeEnough"].to_number<int>() == 2);
    const auto decision = explain(engine, "a")["decisions"].as_array()[0].as_object();
    CHECK(decision.at("what") == "placed");
    CHECK(decision.at("workersCompared").to_number<int>() >= 2);
    CHECK(boost::json::parse(engine.dump()).as_object()["workers"].as_array().size() == 2);
}

TEST_CASE("the same events give the same actions, with the built-in and with a custom score")
{
    const auto run = [](EngineOptions options) {
        Engine engine(std::move(options));
        announce(engine, 8);
        std::vector<std::string> out;
        for (int i = 0; i < 200; ++i) {
            engine.handle(JobSubmitted { makeJob("j" + std::to_string(i), 100 + i % 7 * 100) }, atMs(i));
            for (const auto& placement : tickAndStart(engine, atMs(i)))
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
