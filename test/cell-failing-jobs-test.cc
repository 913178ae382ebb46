#include "cell-live-workers.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

/// Tests of what a client whose tasks fail can change for others.

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;

namespace {

constexpr int workerCount = 16;

struct FailingJobsCell : LiveCell {
    std::set<std::string> failingJobs;
    std::set<std::string> failingWorkers;

    FailingJobsCell()
    {
        fails = [this](const std::string& worker, const StartOrder& order) {
            return failingJobs.contains(order.task.job) || failingWorkers.contains(worker);
        };
        activate();
        addLiveWorkers(workerCount, 16'000);
        live(milliseconds(500));
    }
    void submitFailing(unsigned number, uint32_t tasks)
    {
        failingJobs.insert(jobId(number));
        submitJob(job(jobId(number), lasting(tasks, 300)));
    }
    /// Submits a sound job with one task on each of some workers.
    void submitWide(unsigned number, uint32_t tasks)
    {
        auto wide = lasting(tasks, 300);
        wide->max_per_worker = 1;
        submitJob(job(jobId(number), std::move(wide)));
    }
};

} // namespace

// Guards against review/13: one job that lasts and fails at each start takes all workers out of use.
TEST_CASE("one job that fails everywhere takes no worker out of use", "[cell]")
{
    FailingJobsCell cell;
    cell.submitFailing(1, 48);
    cell.live(milliseconds(3'000));
    cell.submitWide(2, workerCount);
    CHECK(cell.liveUntil(milliseconds(1'000), [&] { return cell.runningOf(jobId(2)) == workerCount; }));
}

// Guards against a job whose tasks make no progress and are moved from worker to worker, each of which counts as
// failing.
TEST_CASE("one job that makes no progress takes no worker out of use", "[cell]")
{
    FailingJobsCell cell;
    auto stalling = step(48, 300);
    stalling->memory = 1;
    stalling->estimate_ms = 100;
    cell.submitJob(job(jobId(1), std::move(stalling)));
    cell.live(milliseconds(20'000));
    cell.submitWide(2, workerCount);
    CHECK(cell.liveUntil(milliseconds(1'000), [&] { return cell.runningOf(jobId(2)) == workerCount; }));
}

// Guards against workers that stay suspected of the failures of a job after it was found at fault.
TEST_CASE("a job that fails on workers that are sound for others is found at fault", "[cell]")
{
    FailingJobsCell cell;
    cell.submitWide(2, workerCount);
    cell.live(milliseconds(3'000)); // The tasks have lasted long enough to show that the workers are sound.
    cell.submitFailing(1, 48);
    cell.live(milliseconds(5'000));
    const auto dump = boost::json::parse(cell.leader->dump());
    const auto withFailures = std::ranges::count_if(dump.at("workers").as_array(),
        [](const auto& worker) { return worker.at("failures").template to_number<double>() > 0; });
    CHECK(withFailures == 0);
}

// Guards against a worker that fails all that it starts and goes on getting tasks, or gets none after it is sound
// again.
TEST_CASE("a worker that fails everything loses its tasks and gets some again later", "[cell]")
{
    FailingJobsCell cell;
    cell.failingWorkers = { "w1" };
    for (unsigned i = 0; i < 10; ++i)
        cell.submitJob(job(jobId(10 + i), lasting(20, 50)));
    cell.live(milliseconds(5'000));
    CHECK(cell.running() == 200);
    const auto before = cell.begun;
    cell.submitWide(2, workerCount - 1);
    cell.live(milliseconds(1'000));
    CHECK(cell.runningOf(jobId(2)) == workerCount - 1);
    CHECK(cell.begun - before < 2 * workerCount);
    cell.failingWorkers.clear();
    cell.submitWide(3, workerCount);
    CHECK(cell.liveUntil(milliseconds(15'000), [&] { return cell.runningOf(jobId(3)) == workerCount; }));
}

// Guards against a job whose tasks fail at each start and take the worker, the log and the processor without bound, and
// against one whose tasks are given up or stay away for longer than a task that lasts may.
TEST_CASE("a task that fails at each start is restarted at once and then ever more slowly", "[cell]")
{
    FailingJobsCell cell;
    cell.submitFailing(1, 48);
    cell.live(milliseconds(60'000));
    CHECK(cell.begun <= 48 * 20);
    for (const auto& [task, begins] : cell.begins) {
        REQUIRE(begins.size() > 8);
        CHECK(begins[1] - begins[0] < milliseconds(500));
        for (size_t i = 1; i < begins.size(); ++i)
            CHECK(begins[i] - begins[i - 1] < milliseconds(6'000));
        CHECK(cell.clock.now() - begins.back() < milliseconds(6'000));
    }
}

// Guards against a gang that lasts and fails at each start, with the same cost.
TEST_CASE("a gang that fails at each start is restarted ever more slowly", "[cell]")
{
    FailingJobsCell cell;
    cell.failingJobs.insert(jobId(1));
    auto gang = lasting(4, 300);
    gang->gang = true;
    cell.submitJob(job(jobId(1), std::move(gang)));
    cell.live(milliseconds(60'000));
    CHECK(cell.begun >= 4 * 8);
    CHECK(cell.begun <= 4 * 25);
}

// Guards against a plan at each tick while the only tasks that wait do so for the delay of their restarts.
TEST_CASE("delayed restarts cause no plans until they are due", "[cell]")
{
    FailingJobsCell cell;
    cell.submitFailing(1, 1);
    cell.live(milliseconds(12'000)); // By now the delay is 4 s.
    auto& plans = cell.metrics.counter("cell_plans_total");
    const auto before = plans.value();
    cell.live(milliseconds(12'000));
    CHECK(plans.value() - before <= 30);
    CHECK(cell.fallbackStarts() == 0);
}

// Guards against sound tasks of a step that wait for the delays of its failing ones.
TEST_CASE("the delay of one task does not delay the others of its step", "[cell]")
{
    FailingJobsCell cell;
    cell.fails = [](const std::string&, const StartOrder& order) { return order.task.index < 300; };
    cell.submitJob(job(jobId(1), lasting(400, 10)));
    cell.live(milliseconds(5'000));
    size_t sound = 0;
    for (const auto& [id, worker] : cell.workers)
        sound += static_cast<size_t>(
            std::ranges::count_if(worker.running, [](const auto& run) { return run.first.index >= 300; }));
    CHECK(sound == 100);
}

// Guards against many failing jobs that together take all workers out of use.
TEST_CASE("most workers stay in use, however many jobs fail", "[cell]")
{
    FailingJobsCell cell;
    for (unsigned i = 0; i < 60; ++i) {
        cell.failingJobs.insert(jobId(100 + i));
        auto failing = lasting(workerCount, 10);
        failing->max_per_worker = 1;
        cell.submitJob(job(jobId(100 + i), std::move(failing)));
    }
    cell.live(milliseconds(500));
    constexpr uint32_t inUse = workerCount - workerCount * 4 / 10;
    cell.submitWide(2, inUse);
    CHECK(cell.liveUntil(milliseconds(1'000), [&] { return cell.runningOf(jobId(2)) == inUse; }));
}
