#include "turmericpier/cell/arrival-limiter.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace std::chrono_literals;

namespace {

int takeAll(ArrivalLimiter& limiter, const std::string& tenant, double rate, TimePoint now)
{
    int taken = 0;
    while (limiter.take(tenant, rate, now))
        ++taken;
    return taken;
}

} // namespace

// Guards against a limit that one tenant uses up for the others, and against one that differs from the weight.
TEST_CASE("each tenant has its own rate and window", "[cell]")
{
    ArrivalLimiter limiter(5s);
    TimePoint now { 100s };
    CHECK(takeAll(limiter, "a", 10, now) == 50);
    CHECK(takeAll(limiter, "b", 2, now) == 10);
    now = now + 1s;
    CHECK(takeAll(limiter, "a", 10, now) == 10);
    CHECK(takeAll(limiter, "b", 2, now) == 2);
    now = now + 1h;
    CHECK(takeAll(limiter, "a", 10, now) == 50);
    // A rate below one in a window, or of zero, still allows for one.
    CHECK(takeAll(limiter, "slow", 0.1, now) == 1);
    CHECK(takeAll(limiter, "none", 0, now) == 1);
}

// Guards against refused callers that return together, and against waiting times that grow without limit.
TEST_CASE("refused callers are told to return one after the other", "[cell]")
{
    ArrivalLimiter limiter(5s);
    const TimePoint now { 100s };
    takeAll(limiter, "a", 2, now);
    std::vector<Duration> waits;
    for (int i = 0; i < 1'000; ++i)
        waits.push_back(limiter.promise("a", 2, now));
    CHECK(waits.front() == 1s); // At least.
    CHECK(waits[5] - waits[3] == 1s);
    CHECK(waits.back() == 8s);
    CHECK(limiter.promise("a", 2, now + 20s) == 1s);
}

// Guards against memory that grows with the names of former tenants.
TEST_CASE("the buckets of removed tenants are dropped", "[cell]")
{
    ArrivalLimiter limiter(5s);
    const TimePoint now { 100s };
    takeAll(limiter, "a", 1, now);
    takeAll(limiter, "b", 1, now);
    limiter.removeUnless([](const std::string& tenant) { return tenant == "a"; });
    CHECK_FALSE(limiter.take("a", 1, now));
    CHECK(takeAll(limiter, "b", 1, now) == 5);
}
