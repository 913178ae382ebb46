#include "turmericpier/decision/preemption.h"

#include <algorithm>
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

RunningTask runningTask(const std::string& name, uint32_t priority, const Resources& limit)
{
    return { .task = TaskId(name),
        .job = JobId(name),
        .team = TeamId("low"),
        .priority = priority,
        .limit = limit,
        .running = 1h,
        .lostWork = 10min };
}

PreemptionRequest requestOf(uint32_t priority) { return { TeamId("high"), amounts(4, 4), priority, true }; }

// Names of the victims on one worker without free resources.
std::vector<std::string> victimsOf(
    const PreemptionRequest& request, std::vector<RunningTask> tasks, const PreemptionOptions& options = {})
{
    const std::vector<PreemptionCandidate> candidates { { WorkerId("w"), {}, {}, std::move(tasks) } };
    std::vector<std::string> names;
    if (auto plan = planPreemption(request, candidates, options)) {
        for (const auto& victim : plan->victims)
            names.push_back(victim.task.str());
    }
    std::sort(names.begin(), names.end());
    return names;
}

using Names = std::vector<std::string>;

} // namespace

// Guards against stopping tasks that must not be preempted.
TEST_CASE("protected tasks are never victims", "[decision]")
{
    RunningTask task = runningTask("t", 10, amounts(4, 4));
    REQUIRE(victimsOf(requestOf(11), { task }) == Names { "t" });
    CHECK(victimsOf(requestOf(10), { task }).empty()); // Equal priority.
    SECTION("limit of preemptions reached")
    {
        task.preemptions = task.maxPreemptions;
        CHECK(victimsOf(requestOf(urgentPriority), { task }).empty());
    }
    SECTION("task is already being stopped")
    {
        task.stopping = true;
        CHECK(victimsOf(requestOf(urgentPriority), { task }).empty());
    }
    SECTION("just restarted after a preemption, except for urgent requests")
    {
        task.running = 5s;
        CHECK(victimsOf(requestOf(500), { task }) == Names { "t" });
        task.preemptions = 1;
        CHECK(victimsOf(requestOf(500), { task }).empty());
        CHECK(victimsOf(requestOf(urgentPriority), { task }) == Names { "t" });
    }
    SECTION("service at its floor, counting all victims of a plan")
    {
        std::vector<RunningTask> replicas { runningTask("s.0", 1, amounts(2, 2)),
            runningTask("s.1", 1, amounts(2, 2)) };
        for (RunningTask& replica : replicas) {
            replica.kind = JobKind::Service;
            replica.job = JobId("s");
        }
        uint32_t spare = 1;
        PreemptionOptions options { .spareReplicas = [&](const JobId&) { return spare; } };
        CHECK(victimsOf(requestOf(urgentPriority), replicas).empty());
        CHECK(victimsOf(requestOf(urgentPriority), replicas, options).empty());
        spare = 2;
        CHECK(victimsOf(requestOf(urgentPriority), replicas, options) == Names { "s.0", "s.1" });
    }
}

// Guards against reclaiming more than was borrowed, and against two teams that preempt each other in turn.
TEST_CASE("only borrowed quota is reclaimed, from any priority", "[decision]")
{
    Resources excess = amounts(4, 4);
    const PreemptionOptions options { .excess
        = [&](const TeamId& team) { return team == TeamId("low") ? excess : Resources {}; } };
    const std::vector<RunningTask> tasks { runningTask("a", 500, amounts(4, 4)), runningTask("b", 500, amounts(4, 4)) };
    CHECK(victimsOf(requestOf(0), tasks, options) == Names { "a" });
    PreemptionRequest large = requestOf(0);
    large.request = amounts(8, 8);
    CHECK(victimsOf(large, tasks, options).empty()); // The second victim is within the quota of its team.
    PreemptionRequest borrower = requestOf(600);
    borrower.withinQuota = false;
    CHECK(victimsOf(borrower, tasks, options) == Names { "a" });
    excess = {};
    CHECK(victimsOf(requestOf(0), tasks, options).empty());
    CHECK(victimsOf(borrower, tasks, options).empty());
    borrower.priority = urgentPriority;
    CHECK(victimsOf(borrower, tasks, options) == Names { "a" });
}

// Guards against losing more work than necessary.
TEST_CASE("the cheapest victims are chosen", "[decision]")
{
    std::vector<RunningTask> tasks { runningTask("a", 1, amounts(4, 4)), runningTask("b", 1, amounts(4, 4)) };
    SECTION("less work since the checkpoint") { tasks[1].lostWork = 1min; }
    SECTION("can resume") { tasks[1].canResume = true; }
    SECTION("lower priority") { tasks[1].priority = 0; }
    CHECK(victimsOf(requestOf(100), tasks) == Names { "b" });
    tasks.push_back(runningTask("c", 1, amounts(1, 1))); // Cheap, but does not free enough by itself.
    tasks.back().lostWork = 0s;
    CHECK(victimsOf(requestOf(100), tasks) == Names { "b" });
}

// Guards against urgent requests that miss their 3.5 s because of slow checkpoints.
TEST_CASE("checkpoints for urgent requests have a short time limit", "[decision]")
{
    std::vector<PreemptionCandidate> workers { { WorkerId("w"), {}, {}, { runningTask("a", 1, amounts(4, 4)) } } };
    workers[0].tasks[0].canResume = true;
    const auto plan = planPreemption(requestOf(urgentPriority), workers, {});
    REQUIRE(plan);
    CHECK(plan->victims[0].checkpointFirst);
    CHECK(plan->victims[0].checkpointTime <= 2s);
}

// Guards against missing plans, unnecessary victims and costs far from the optimum, which is found by trying all
// subsets.
TEST_CASE("plans on random workers are feasible, minimal and near the optimum", "[decision]")
{
    std::mt19937_64 random(7);
    double worst = 1;
    double sumPlanned = 0, sumOptimal = 0;
    for (int round = 0; round < 2'000; ++round) {
        std::vector<RunningTask> tasks;
        for (size_t i = 0; i < 2 + random() % 8; ++i) {
            tasks.push_back(runningTask(
                "t" + std::to_string(i), random() % 300, amounts(1 + random() % 4, 1 + random() % 6, random() % 2)));
            tasks.back().lostWork = std::chrono::seconds(random() % 1'000);
            tasks.back().canResume = random() % 2 == 0;
        }
        const PreemptionRequest request { TeamId("high"), amounts(random() % 8, random() % 8, random() % 3), 200,
            true };
        const std::vector<PreemptionCandidate> worker { { WorkerId("w"), amounts(1, 1), {}, tasks } };
        double optimum = -1;
        for (uint32_t set = 0; set < 1U << tasks.size(); ++set) {
            Resources freed = amounts(1, 1);
            double cost = 0;
            bool allowed = true;
            for (size_t i = 0; i < tasks.size(); ++i) {
                if ((set >> i & 1) == 0)
                    continue;
                freed += tasks[i].limit;
                cost += costOf(tasks[i], false, {});
                allowed = allowed && tasks[i].priority < request.priority;
            }
            if (allowed && fits(request.request, freed) && (optimum < 0 || cost < optimum))
                optimum = cost;
        }
        const auto plan = planPreemption(request, worker, {});
        REQUIRE(plan.has_value() == (optimum >= 0));
        if (!plan || optimum == 0)
            continue;
        worst = std::max(worst, plan->cost / optimum);
        sumPlanned += plan->cost;
        sumOptimal += optimum;
        for (const auto& left : plan->victims) { // Without any one victim the request does not fit.
            Resources freed = amounts(1, 1);
            for (const auto& victim : plan->victims) {
                for (const RunningTask& task : tasks)
                    freed += task.task == victim.task && victim.task != left.task ? task.limit : Resources {};
            }
            REQUIRE(!fits(request.request, freed));
        }
    }
    INFO("worst " << worst << ", mean " << sumPlanned / sumOptimal);
    CHECK(worst < 4);
    CHECK(sumPlanned / sumOptimal < 1.1);
}

// Guards against a plan for only some tasks of a gang, and against counting a service floor separately for each worker.
TEST_CASE("a gang gets a plan for all tasks or none", "[decision]")
{
    std::vector<PreemptionCandidate> workers;
    for (int i = 0; i < 3; ++i) {
        const std::string name = "t" + std::to_string(i);
        workers.push_back(
            { WorkerId("w" + std::to_string(i)), amounts(4, 4), {}, { runningTask(name, 1, amounts(4, 4)) } });
    }
    const auto plans = planGangPreemption(requestOf(100), 5, workers, {});
    REQUIRE(plans.size() == 5);
    CHECK(std::count_if(plans.begin(), plans.end(), [](const auto& plan) { return plan.victims.empty(); }) == 3);
    CHECK(planGangPreemption(requestOf(100), 7, workers, {}).empty());
    for (auto& worker : workers) {
        worker.tasks[0].kind = JobKind::Service;
        worker.tasks[0].job = JobId("s");
    }
    const PreemptionOptions options { .spareReplicas = [](const JobId&) { return 1U; } };
    CHECK(planGangPreemption(requestOf(100), 4, workers, options).size() == 4);
    CHECK(planGangPreemption(requestOf(100), 5, workers, options).empty());
}
