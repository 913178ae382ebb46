#include "turmericpier/base/event-loop.h"

#include <catch2/catch.hpp>
#include <future>

using namespace turmericpier;

// Guards against lost or reordered functions, and against a stop that drops what was accepted.
TEST_CASE("stop runs every accepted function in order", "[base]")
{
    ManualClock clock;
    EventLoop loop("test", clock);
    std::vector<int> seen;
    for (int i = 0; i < 100; ++i)
        REQUIRE(loop.post([&seen, i] { seen.push_back(i); }));
    loop.start();
    loop.stop();
    REQUIRE(seen.size() == 100);
    CHECK(std::is_sorted(seen.begin(), seen.end()));
    CHECK_FALSE(loop.post([] {}));
}

// Guards against a full ring that blocks or grows.
TEST_CASE("a full ring refuses further functions", "[base]")
{
    ManualClock clock;
    EventLoop loop("test", clock, { .ringCapacity = 2 });
    CHECK(loop.post([] {}));
    CHECK(loop.post([] {}));
    CHECK_FALSE(loop.post([] {}));
}

// Guards against timers that follow the wall clock instead of the runtime's clock.
TEST_CASE("timers wait for the runtime's clock", "[base]")
{
    ManualClock clock;
    EventLoop loop("test", clock);
    std::promise<void> fired;
    loop.postAfter(std::chrono::seconds(10), [&] { fired.set_value(); });
    loop.start();
    clock.advance(std::chrono::seconds(9));
    std::promise<void> round;
    REQUIRE(loop.post([&] { round.set_value(); }));
    round.get_future().wait();
    auto future = fired.get_future();
    CHECK(future.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
    clock.advance(std::chrono::seconds(1));
    future.wait();
    loop.stop();
}
