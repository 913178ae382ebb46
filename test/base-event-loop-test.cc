#include "turmericpier/base/event-loop.h"

#include <catch2/catch.hpp>
#include <future>

using namespace turmericpier;

// Guards against lost or reordered functions, and against a stop that drops accepted functions.
TEST_CASE("stop runs every accepted function in order", "[base]")
{
    ManualClock clock;
    EventLoop loop("test", clock);
    std::vector<int> executed;
    for (int i = 0; i < 100; ++i)
        REQUIRE(loop.post([&executed, i] { executed.push_back(i); }));
    loop.start();
    loop.stop();
    REQUIRE(executed.size() == 100);
    CHECK(std::is_sorted(executed.begin(), executed.end()));
    CHECK_FALSE(loop.post([] {}));
}

// Guards against a queue that blocks the producer or grows when it is full.
TEST_CASE("a full queue refuses further functions", "[base]")
{
    ManualClock clock;
    EventLoop loop("test", clock, { .queueCapacity = 2 });
    CHECK(loop.post([] {}));
    CHECK(loop.post([] {}));
    CHECK_FALSE(loop.post([] {}));
}

// Guards against timers that follow the system's clock instead of the clock given to the loop.
TEST_CASE("timers follow the loop's clock", "[base]")
{
    ManualClock clock;
    EventLoop loop("test", clock);
    std::promise<void> timerFired;
    loop.postAfter(std::chrono::seconds(10), [&] { timerFired.set_value(); });
    loop.start();
    clock.advance(std::chrono::seconds(9));
    std::promise<void> processed;
    REQUIRE(loop.post([&] { processed.set_value(); }));
    processed.get_future().wait();
    auto timerResult = timerFired.get_future();
    CHECK(timerResult.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
    clock.advance(std::chrono::seconds(1));
    timerResult.wait();
    loop.stop();
}
