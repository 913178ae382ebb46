#include "turmericpier/decision/size-estimator.h"

#include <catch2/catch.hpp>
#include <random>

using namespace turmericpier;
using namespace turmericpier::decision;
using namespace std::chrono_literals;

namespace {

Resources amounts(int64_t cpu, int64_t memory, int64_t accelerators = 0)
{
    return { MilliCpu { cpu }, MemoryMib { memory }, Accelerators { accelerators } };
}

UsageSample sampleOf(int task, const Resources& peak, const Resources& limit = {})
{
    return { TaskId("t" + std::to_string(task)), peak, limit, 5min, false };
}

} // namespace

// Guards against estimates that stay at the declared size, or drop below it without a safety margin.
TEST_CASE("a declared size ten times too large is corrected", "[decision]")
{
    SizeEstimator sizes({});
    const Resources declared = amounts(10'000, 40'000, 2);
    CHECK(sizes.estimate("f", declared, 0s).size == declared);
    std::mt19937_64 random(3);
    double margin = 10;
    for (int task = 0; task < 40; ++task) {
        for (int report = 0; report < 3; ++report) // One sample per task, however often it reports.
            sizes.recordUsage("f", sampleOf(task, amounts(900 + random() % 200, 3'600 + random() % 800)));
        const SizeEstimate found = sizes.estimate("f", declared, 0s);
        CHECK(found.margin <= margin);
        margin = found.margin;
        if (task < 2)
            CHECK(fits(declared, found.size));
        CHECK(found.size.cpu >= MilliCpu { 1'000 }); // A tenth of the declared size is the lower bound.
        CHECK(found.size.memory >= MemoryMib { 4'000 });
    }
    const SizeEstimate found = sizes.estimate("f", declared, 0s);
    CHECK(found.sizeSamples == 32);
    CHECK(found.size.cpu < MilliCpu { 1'400 });
    CHECK(found.size.memory < MemoryMib { 5'600 });
    CHECK(found.size.accelerators == declared.accelerators);
}

// Guards against taking the usage of a task that is restricted by its limit for its real size.
TEST_CASE("a declared size ten times too small is corrected despite limits", "[decision]")
{
    SizeEstimator sizes({});
    const Resources declared = amounts(100, 400), real = amounts(950, 3'800);
    int task = 0;
    for (int wave = 0; wave < 8; ++wave) {
        const Resources limit = sizes.estimate("f", declared, 0s).size;
        for (int i = 0; i < 8; ++i) {
            const Resources peak { std::min(real.cpu, limit.cpu), std::min(real.memory, limit.memory), {} };
            sizes.recordUsage("f", sampleOf(++task, peak, limit));
        }
    }
    const Resources found = sizes.estimate("f", declared, 0s).size;
    CHECK(fits(real, found));
    CHECK(fits(found, amounts(1'000, 4'000))); // Ten times the declared size.
}

// Guards against safety margins that raise a correctly declared size, whether or not limits are enforced.
TEST_CASE("a correctly declared size is kept", "[decision]")
{
    const Resources declared = amounts(2'000, 4'000);
    SizeEstimator sizes({});
    size_t larger = 0;
    for (int task = 0; task < 400; ++task) {
        const Resources limit = sizes.estimate("f", declared, 0s).size;
        larger += limit != declared;
        sizes.recordUsage("f", sampleOf(task, declared, limit));
    }
    CHECK(larger <= 5); // As long as the limit may have restricted the tasks.
    SizeEstimator unenforced({});
    unenforced.recordUsage("other", sampleOf(1, amounts(300, 300), amounts(200, 200)));
    for (int task = 0; task < 10; ++task)
        unenforced.recordUsage("f", sampleOf(task, declared, declared));
    CHECK(unenforced.estimate("f", declared, 0s).size == declared); // Limits are not enforced.
}

// Guards against one size for all jobs of a family whose declared sizes differ.
TEST_CASE("sizes are learned relative to the declared ones where these differ", "[decision]")
{
    std::mt19937_64 random(4);
    SizeEstimator sizes({});
    for (int task = 0; task < 40; ++task) {
        const int64_t cores = 1 + random() % 40, gigabytes = 1 + random() % 160;
        UsageSample sample = sampleOf(task, amounts(cores * 1'000, gigabytes * 500));
        sample.declared = amounts(cores * 1'000, gigabytes * 1'000); // Twice the memory that is used.
        sizes.recordUsage("f", sample);
    }
    const Resources found = sizes.estimate("f", amounts(3'000, 10'000), 0s).size;
    CHECK(found.cpu == MilliCpu { 3'000 });
    CHECK(found.memory >= MemoryMib { 5'000 });
    CHECK(found.memory <= MemoryMib { 5'500 });
}

// Guards against learning from tasks that have not reached their full usage yet.
TEST_CASE("young tasks are not counted until they finish", "[decision]")
{
    SizeEstimator sizes({});
    UsageSample sample = sampleOf(1, amounts(1, 1));
    sample.running = 3s;
    sizes.recordUsage("f", sample);
    CHECK(sizes.estimate("f", amounts(100, 100), 0s).sizeSamples == 0);
    sample.finished = true;
    sizes.recordUsage("f", sample);
    CHECK(sizes.estimate("f", amounts(100, 100), 0s).sizeSamples == 1);
}

// Guards against backfill that relies on declared run times, and against an estimate of zero for an overdue task.
TEST_CASE("run times are learned and declared ones are not trusted", "[decision]")
{
    SizeEstimator sizes({});
    CHECK(sizes.estimate("f", {}, 1min).runTime == 10min);
    CHECK(sizes.remainingRunTime("f", 1min, 5min) == 5min);
    CHECK(sizes.remainingRunTime("f", 0s, 0s) > 0s);
    for (int i = 1; i <= 20; ++i)
        sizes.recordRunTime("f", i * 1min);
    const SizeEstimate found = sizes.estimate("f", {}, 5min);
    CHECK(found.runTime > 18min);
    CHECK(found.runTime < 25min);
    CHECK(sizes.remainingRunTime("f", 5min, 10min) == 5min); // Median of 11 to 20 minutes.
    CHECK(sizes.remainingRunTime("f", 5min, 30min) == 30min);
}

// Guards against memory use that grows with each new family.
TEST_CASE("the least recently used families are evicted", "[decision]")
{
    SizeEstimator sizes({ .maxFamilies = 10 });
    for (int i = 0; i < 1'000; ++i) {
        sizes.recordRunTime("kept", 1min);
        sizes.recordRunTime("f" + std::to_string(i), 1min);
    }
    CHECK(sizes.families() == 10);
    CHECK(sizes.estimate("kept", {}, 0s).runTimeSamples == 32);
    CHECK(sizes.estimate("f5", {}, 0s).runTimeSamples == 0);
}

// Guards against running out of memory, and against moving tasks that are within their limits or need not move.
TEST_CASE("tasks are moved before memory runs out", "[decision]")
{
    const Resources capacity = amounts(16'000, 32'000);
    std::vector<TaskLoad> tasks;
    for (int i = 0; i < 4; ++i)
        tasks.push_back({ TaskId("t" + std::to_string(i)), amounts(1'000, 7'000), amounts(2'000, 8'000), {}, 5 });
    CHECK(planRelief(capacity, tasks).empty());
    tasks[2].memoryGrowthPerSecond = MemoryMib { 200 };
    tasks[2].usage.memory = tasks[2].limit.memory + MemoryMib { 1 };
    auto relief = planRelief(capacity, tasks);
    REQUIRE(relief.size() == 1);
    CHECK(relief[0].kind == Relief::Kind::Move);
    CHECK(relief[0].task == TaskId("t2"));
    CHECK(relief[0].reason.find("33001 MiB of 32000 MiB") != std::string::npos);
    tasks[2].movable = false;
    tasks[3].canResume = true;
    relief = planRelief(capacity, tasks);
    REQUIRE(relief.size() == 1);
    CHECK(relief[0].task == TaskId("t3"));
}

// Guards against endless moves and throttling on a worker that is full but not overloaded.
TEST_CASE("a full worker whose tasks are within their limits needs no relief", "[decision]")
{
    const Resources capacity = amounts(16'000, 32'000);
    std::vector<TaskLoad> tasks;
    for (int i = 0; i < 4; ++i)
        tasks.push_back({ TaskId("t" + std::to_string(i)), amounts(4'000, 8'000), amounts(4'000, 8'000), {}, 5 });
    CHECK(planRelief(capacity, tasks).empty());
    tasks[1].usage += amounts(1, 1); // Only the task above its limit moves.
    const auto relief = planRelief(capacity, tasks);
    REQUIRE(relief.size() == 1);
    CHECK(relief[0].kind == Relief::Kind::Move);
    CHECK(relief[0].task == TaskId("t1"));
}

// Guards against throttling tasks within their limits while others exceed theirs, and against throttling a task to a
// standstill.
TEST_CASE("tasks above their CPU limits are throttled first", "[decision]")
{
    const Resources capacity = amounts(16'000, 32'000);
    std::vector<TaskLoad> tasks {
        { TaskId("above"), amounts(10'000, 100), amounts(6'000, 1'000), {}, 900 },
        { TaskId("low"), amounts(6'000, 100), amounts(6'000, 1'000), {}, 1 },
    };
    auto relief = planRelief(capacity, tasks);
    REQUIRE(relief.size() == 1);
    CHECK(relief[0].task == TaskId("above"));
    CHECK(relief[0].cpu == MilliCpu { 9'520 }); // No further than needed.
    tasks.push_back({ TaskId("other"), amounts(6'000, 100), amounts(6'000, 1'000), {}, 2 });
    relief = planRelief(capacity, tasks);
    REQUIRE(relief.size() == 2);
    CHECK(relief[0].cpu == MilliCpu { 6'000 });
    CHECK(relief[1].task == TaskId("low"));
    CHECK(relief[1].cpu >= MilliCpu { 1'500 });
}
