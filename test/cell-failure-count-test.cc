#include "turmericpier/cell/failure-count.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::cell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
constexpr TimePoint start { seconds(100) };
}

// Guards against one job that takes a worker out of use, however often its tasks fail there.
TEST_CASE("the failures of one job stay below the limit of a worker", "[cell]")
{
    FailureCount failures;
    for (int i = 0; i < 1'000; ++i)
        failures.recordTask("a", 1, start + milliseconds(i));
    CHECK(failures.value(start + seconds(1)) < maxRecentFailures);
    failures.recordTask("b", 1, start + seconds(1));
    CHECK(failures.value(start + seconds(1)) >= maxRecentFailures);
}

// Guards against a worker that refuses all starts and stays in use, and against one that is out of use for minutes.
TEST_CASE("failures of the worker itself count in full and for a bounded time", "[cell]")
{
    FailureCount failures;
    for (int i = 0; i < 3; ++i)
        failures.record(1, start);
    CHECK(failures.value(start) == Approx(3));
    CHECK(failures.value(start + seconds(6)) == Approx(1.5));
    for (int i = 0; i < 1'000; ++i) {
        failures.record(1, start + seconds(6));
        failures.recordTask(std::to_string(i), 1, start + seconds(6));
    }
    CHECK(failures.value(start + seconds(6)) >= maxRecentFailures);
    CHECK(failures.value(start + seconds(6) + maxTimeOutOfUse) < maxRecentFailures);
}

// Guards against a sound worker that keeps the failures of tasks although others succeed, or although the job was at
// fault.
TEST_CASE("a success halves the failures, and those of a job at fault are removed", "[cell]")
{
    FailureCount failures;
    failures.record(1, start);
    failures.recordTask("a", 1, start);
    failures.recordTask("b", 1, start);
    failures.recordSuccess(start);
    CHECK(failures.value(start) == Approx(1.5));
    failures.forgetJob("a");
    CHECK(failures.value(start) == Approx(1));
    CHECK(failures.lastAt() == start);
}
