#include "turmericpier/decision/worker-health.h"

#include <catch2/catch.hpp>
#include <functional>
#include <random>

using namespace turmericpier;
using namespace turmericpier::decision;
using namespace std::chrono_literals;
using Admission = WorkerHealth::Admission;

namespace {

// Simulates workers w0 to w<n-1> that run single-task jobs. Each job is tried up to four times on random workers that
// accept tasks.
struct Cell {
    Cell(size_t workers, uint64_t seed)
        : random(seed)
        , count(workers)
    {
        for (size_t i = 0; i < workers; ++i)
            health.addWorker(workerOf(i));
    }
    static WorkerId workerOf(size_t i) { return WorkerId("w" + std::to_string(i)); }

    void run(int jobs, const std::function<bool(size_t worker)>& fails)
    {
        for (int i = 0; i < jobs; ++i) {
            const JobId job("j" + std::to_string(nextJob++));
            for (int attempt = 0; attempt < 4; ++attempt) {
                now = now + 50ms;
                const size_t worker = random() % count;
                const auto admission = health.admission(workerOf(worker), now);
                if (admission == Admission::None)
                    continue;
                if (admission == Admission::Probe)
                    health.probeStarted(workerOf(worker));
                const bool failed = fails(worker);
                failures += failed;
                const auto changes = failed ? health.taskFailed(workerOf(worker), job, now)
                                            : health.taskSucceeded(workerOf(worker), job, now);
                for (const HealthChange& change : changes)
                    quarantines += change.quarantined;
                if (!failed)
                    break;
            }
            health.jobEnded(job);
        }
    }

    WorkerHealth health { {} };
    std::mt19937_64 random;
    size_t count;
    TimePoint now;
    int nextJob = 0;
    int failures = 0;
    int quarantines = 0;
};

} // namespace

// Guards against workers that fail every task and keep getting tasks, and against quarantining good workers with them.
TEST_CASE("exactly the workers that fail every task are quarantined, here a third", "[decision]")
{
    Cell cell(48, 11);
    cell.run(1'000, [](size_t worker) { return worker < 16; });
    CHECK(cell.health.quarantinedWorkers() == 16);
    for (size_t i = 0; i < 48; ++i)
        CHECK((cell.health.admission(Cell::workerOf(i), cell.now) == Admission::All) == (i >= 16));
    CHECK(cell.failures < 16 * 10); // Of about 4,000 attempts.
}

// Guards against quarantining good workers when tasks fail at random by themselves.
TEST_CASE("tasks that fail at random do not quarantine workers", "[decision]")
{
    Cell cell(40, 12);
    std::mt19937_64 outcomes(13);
    cell.run(20'000, [&](size_t) { return outcomes() % 10 < 2; });
    CHECK(cell.failures > 2'000);
    CHECK(cell.quarantines <= 8); // One in 2,500 jobs.
    CHECK(cell.health.quarantinedWorkers() <= 1);
}

// Guards against quarantining workers because of a bad job.
TEST_CASE("a job that fails on every worker is suspect and the workers are not", "[decision]")
{
    Cell cell(10, 14);
    cell.run(100, [](size_t) { return false; });
    for (int job = 0; job < 5; ++job) {
        const JobId bad("bad" + std::to_string(job));
        for (size_t i = 0; i < 10; ++i) {
            CHECK(cell.health.taskFailed(Cell::workerOf(i), bad, cell.now).empty());
            CHECK(cell.health.isSuspect(bad) == (i >= 2));
        }
        CHECK(cell.health.failedWorkers(bad) == 8);
    }
    CHECK(cell.health.quarantinedWorkers() == 0);
    CHECK(cell.health.suspicion(Cell::workerOf(0), cell.now) == 0);
}

// Guards against ending a job because of workers that fail every task but are not quarantined yet.
TEST_CASE("failures on a worker that fails other jobs too do not count against a job", "[decision]")
{
    WorkerHealth health({});
    const WorkerId worker("w");
    const JobId a("a"), b("b");
    health.addWorker(worker);
    health.taskFailed(worker, a, TimePoint { 1s });
    CHECK(health.countsAgainstJob(worker, a, TimePoint { 1s }));
    health.taskFailed(worker, b, TimePoint { 2s });
    CHECK_FALSE(health.countsAgainstJob(worker, a, TimePoint { 2s }));
    CHECK_FALSE(health.countsAgainstJob(worker, b, TimePoint { 2s }));
    health.taskSucceeded(worker, JobId("c"), TimePoint { 3s });
    CHECK(health.countsAgainstJob(worker, a, TimePoint { 3s }));
    CHECK(health.countsAgainstJob(worker, b, TimePoint { 3s }));
}

// Guards against quarantining the whole cell because of a bad network or another common fault.
TEST_CASE("the share of workers in quarantine is bounded", "[decision]")
{
    SECTION("all fail")
    {
        Cell cell(40, 15);
        cell.run(500, [](size_t) { return true; });
        CHECK(cell.health.quarantinedWorkers() == 0);
    }
    SECTION("most fail")
    {
        Cell cell(40, 16);
        cell.run(2'000, [](size_t worker) { return worker < 30; });
        CHECK(cell.health.quarantinedWorkers() <= 16);
        CHECK(cell.health.quarantinedWorkers() >= 12);
        for (size_t i = 30; i < 40; ++i)
            CHECK(cell.health.admission(Cell::workerOf(i), cell.now) == Admission::All);
    }
}

// Guards against a repaired worker that stays in quarantine, a bad worker that is probed without delay, and several
// probes at a time.
TEST_CASE("a worker is probed one task at a time with increasing delays", "[decision]")
{
    Cell cell(10, 17);
    const WorkerId bad = Cell::workerOf(0);
    cell.run(200, [](size_t worker) { return worker == 0; });
    REQUIRE(cell.health.quarantinedWorkers() == 1);
    Duration before { 0 };
    for (int probe = 0; probe < 4; ++probe) {
        const TimePoint start = cell.now;
        while (cell.health.admission(bad, cell.now) != Admission::Probe)
            cell.now = cell.now + 1s;
        CHECK(cell.now - start >= before);
        before = cell.now - start + 1s;
        cell.health.probeStarted(bad);
        CHECK(cell.health.admission(bad, cell.now) == Admission::None);
        CHECK(cell.health.taskFailed(bad, JobId("p" + std::to_string(probe)), cell.now).empty());
    }
    cell.now = cell.now + 10min;
    for (int probe = 0; probe < 2; ++probe) {
        REQUIRE(cell.health.admission(bad, cell.now) == Admission::Probe);
        cell.health.probeStarted(bad);
        const auto changes = cell.health.taskSucceeded(bad, JobId("good"), cell.now);
        CHECK(changes.size() == (probe == 1 ? 1 : 0));
    }
    CHECK(cell.health.admission(bad, cell.now) == Admission::All);
}
