#include "turmericpier/cell/restart-delays.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::cell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
const TaskKey task { "0000000000000001", 0, 0, 7 };
constexpr Duration shortly = milliseconds(50);
}

// Guards against a first restart that is late, and against delays that grow until a task is away for too long.
TEST_CASE("the delays of restarts begin at none, double and have a bound", "[cell]")
{
    RestartDelays delays;
    TimePoint now { seconds(100) };
    for (const int64_t expected : { 0, 250, 500, 1'000, 2'000, 4'000, 4'000 }) {
        delays.recordEnd(task, shortly, now);
        const auto delayed = delays.delayedTasks(stepOf(task), now);
        if (expected == 0) {
            CHECK(delayed.empty());
            continue;
        }
        REQUIRE(delayed.size() == 1);
        CHECK(delayed[0].first == task.index);
        CHECK(delayed[0].second == now + milliseconds(expected));
        now = delayed[0].second;
        CHECK(delays.delayedTasks(stepOf(task), now).empty());
    }
}

// Guards against a task that is delayed because of ends long before.
TEST_CASE("a run that lasts, or time, clears the delay of a task", "[cell]")
{
    RestartDelays delays;
    TimePoint now { seconds(100) };
    for (int i = 0; i < 5; ++i)
        delays.recordEnd(task, shortly, now);
    delays.recordEnd(task, seconds(10), now);
    CHECK(delays.delayedTasks(stepOf(task), now).empty());
    for (int i = 0; i < 5; ++i)
        delays.recordEnd(task, shortly, now);
    CHECK_FALSE(delays.delayedTasks(stepOf(task), now).empty());
    delays.forgetOld(now + seconds(15));
    delays.recordEnd(task, shortly, now + seconds(15));
    CHECK(delays.delayedTasks(stepOf(task), now + seconds(15)).empty());
    delays.recordEnd(task, shortly, now + seconds(15));
    delays.forgetJob(task.job);
    CHECK(delays.delayedTasks(stepOf(task), now + seconds(15)).empty());
}
