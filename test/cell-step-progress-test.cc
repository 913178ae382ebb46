#include "turmericpier/cell/step-progress.h"

#include "cell-fixtures.h"

#include <catch2/catch.hpp>
#include <random>

using namespace turmericpier::cell;
using namespace turmericpier::cell::test;
using record::TaskState;

namespace {

record::StepTasksT makeTasks(uint32_t count)
{
    record::StepTasksT tasks;
    for (uint32_t i = 0; i < count; ++i)
        tasks.tasks.push_back(std::make_unique<record::TaskT>());
    return tasks;
}

void checkAgainst(const StepProgress& progress, const record::StepTasksT& tasks)
{
    std::vector<uint32_t> waiting;
    uint32_t placed = 0;
    uint32_t done = 0;
    for (uint32_t i = 0; i < tasks.tasks.size(); ++i) {
        const auto state = tasks.tasks[i]->state;
        if (state == TaskState::Waiting)
            waiting.push_back(i);
        placed += state == TaskState::Placed ? 1 : 0;
        done += state == TaskState::Done ? 1 : 0;
    }
    REQUIRE(progress.waiting() == waiting.size());
    REQUIRE(progress.placed() == placed);
    REQUIRE(progress.done() == done);
    REQUIRE(progress.isDone() == (done == tasks.tasks.size()));
    REQUIRE(progress.firstWaiting(1'000) == waiting);
    waiting.resize(std::min<size_t>(waiting.size(), 3));
    REQUIRE(progress.firstWaiting(3) == waiting);
}

} // namespace

// Guards against counts that drift from the tasks, so that tasks are forgotten or a step counts as done too early.
TEST_CASE("the progress of a step follows each change of its tasks", "[cell]")
{
    std::mt19937 random(20261206);
    auto tasks = makeTasks(40);
    StepProgress progress(tasks);
    for (int i = 0; i < 2'000; ++i) {
        const auto index = static_cast<uint32_t>(random() % tasks.tasks.size());
        const auto next = static_cast<TaskState>(random() % 3);
        auto& state = tasks.tasks[index]->state;
        if (state == TaskState::Done)
            continue; // Final, as in the state.
        progress.change(index, state, next);
        state = next;
        checkAgainst(progress, tasks);
        checkAgainst(StepProgress(tasks), tasks);
        if (progress.isDone()) {
            tasks = makeTasks(40);
            progress = StepProgress(tasks);
        }
    }
}
