#include "turmericpier/decision/restart-pacer.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::decision;
using namespace std::chrono_literals;

namespace {

TaskId taskNumber(int i) { return TaskId("t" + std::to_string(i)); }

} // namespace

// Guards against an unnecessary delay after the loss of a few tasks.
TEST_CASE("a small loss is restarted at once", "[decision]")
{
    RestartPacer pacer({});
    pacer.setWorkers(50, {});
    for (int i = 0; i < 20; ++i)
        pacer.add({ taskNumber(i) });
    CHECK(pacer.take({}).size() == 20);
}

// Guards against a recovery that overloads the remaining workers or delays urgent tasks and services below their floor.
TEST_CASE("the loss of a data centre is paced by priority", "[decision]")
{
    RestartPacer pacer({});
    TimePoint now;
    pacer.setWorkers(7'800, now);
    for (int i = 0; i < 11'000; ++i)
        pacer.add({ taskNumber(i), static_cast<uint32_t>(i % 10), false });
    for (int i = 11'000; i < 13'000; ++i)
        pacer.add({ taskNumber(i), i % 2 == 0 ? urgentPriority : 0, i % 2 == 1 });
    auto released = pacer.take(now);
    CHECK(released.size() == 3'900); // Half a task per worker.
    for (int i = 0; i < 2'000; ++i)
        CHECK(std::stoi(released[i].str().substr(1)) >= 11'000);
    size_t total = released.size();
    uint32_t last = 9;
    while (pacer.waiting() > 0) {
        now = now + 100ms;
        released = pacer.take(now);
        CHECK(released.size() <= 157); // 1,560 per second.
        total += released.size();
        for (const TaskId& task : released) {
            const uint32_t priority = std::stoi(task.str().substr(1)) % 10;
            CHECK(priority <= last);
            last = priority;
        }
    }
    CHECK(total == 13'000);
    CHECK(now.sinceStart < 7s);
}

// Guards against urgent restarts delayed because other restarts have used the tokens, and against overdrawing the
// tokens without limit.
TEST_CASE("critical restarts exceed the rate up to a limit", "[decision]")
{
    RestartPacer pacer({});
    pacer.setWorkers(10, {});
    for (int i = 0; i < 20; ++i)
        pacer.add({ taskNumber(i) });
    CHECK(pacer.take({}).size() == 5);
    for (int i = 100; i < 200; ++i)
        pacer.add({ taskNumber(i), urgentPriority });
    CHECK(pacer.take({}).size() == 40);
    CHECK(pacer.take({}).empty());
    CHECK(pacer.take(TimePoint { 1s }).size() == 2);
}

// Guards against a next release time that is too early or too late, and against releasing removed tasks.
TEST_CASE("the next release time is exact and removed tasks are not released", "[decision]")
{
    RestartPacer pacer({});
    TimePoint now;
    pacer.setWorkers(3, now);
    for (int i = 0; i < 50; ++i)
        pacer.add({ taskNumber(i) });
    pacer.add({ taskNumber(7) }); // Adding a queued task again does not duplicate it.
    CHECK(pacer.remove(taskNumber(49)));
    CHECK_FALSE(pacer.remove(taskNumber(49)));
    size_t total = 0;
    while (pacer.waiting() > 0) {
        now = pacer.nextRelease(now);
        const auto released = pacer.take(now);
        CHECK_FALSE(released.empty());
        total += released.size();
    }
    CHECK(total == 49);
    pacer.setWorkers(0, now);
    pacer.add({ taskNumber(1) });
    CHECK(pacer.take(now + 1h).empty());
}
