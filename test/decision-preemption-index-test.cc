#include "turmericpier/decision/preemption-index.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace turmericpier;
using namespace turmericpier::decision;

// Guards against missing or wrong workers after many updates: the answers are compared with a scan of all workers.
TEST_CASE("the preemption index agrees with a scan of all workers", "[decision]")
{
    struct Task {
        WorkerId worker;
        TeamId team;
        uint32_t priority;
        Resources limit;
    };
    std::mt19937_64 random(31);
    PreemptionIndex index;
    std::map<WorkerId, Resources> free;
    std::vector<Task> tasks;
    const auto randomCpu = [&](int max) { return Resources { MilliCpu { int64_t(random() % max) }, {}, {} }; };
    for (int step = 0; step < 3'000; ++step) {
        const WorkerId worker("w" + std::to_string(random() % 20));
        if (const auto kind = random() % 20; kind == 0) {
            index.removeWorker(worker);
            free.erase(worker);
            std::erase_if(tasks, [&](const Task& task) { return task.worker == worker; });
        } else if (kind < 6) {
            index.setFree(worker, free[worker] = randomCpu(20));
        } else if (kind < 14 && free.contains(worker)) {
            tasks.push_back({ worker, TeamId(std::to_string(random() % 3)), uint32_t(random() % 9), randomCpu(30) });
            index.addTask(worker, tasks.back().team, tasks.back().priority, tasks.back().limit);
        } else if (!tasks.empty()) {
            std::swap(tasks[random() % tasks.size()], tasks.back());
            index.removeTask(tasks.back().worker, tasks.back().team, tasks.back().priority, tasks.back().limit);
            tasks.pop_back();
        }
        const Resources request = randomCpu(60);
        const uint32_t priority = random() % 9;
        const TeamId team(std::to_string(random() % 3));
        size_t below = 0, ofTeam = 0;
        for (const auto& [id, resources] : free) {
            Resources availableBelow = resources, availableOfTeam = resources;
            bool anyBelow = false, anyOfTeam = false;
            for (const Task& task : tasks) {
                if (task.worker != id)
                    continue;
                if (task.priority < priority) {
                    anyBelow = true;
                    availableBelow += task.limit;
                }
                if (task.team == team) {
                    anyOfTeam = true;
                    availableOfTeam += task.limit;
                }
            }
            below += anyBelow && fits(request, availableBelow);
            ofTeam += anyOfTeam && fits(request, availableOfTeam);
        }
        REQUIRE(index.belowPriority(priority, request, 100).size() == below);
        REQUIRE(index.ofTeam(team, request, 100).size() == ofTeam);
        REQUIRE(index.belowPriority(priority, request, 2).size() == std::min<size_t>(below, 2));
    }
}
