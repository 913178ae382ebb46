#include "turmericpier/cell/gang-offers.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::cell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const StepKey step { "0000000000000001", 0, 0, 0 };
constexpr TimePoint start { seconds(100) };

} // namespace

// Guards against a gang that is stopped although all its members were ordered, or before time has passed.
TEST_CASE("a gang is late if members are not ordered while the first ones wait", "[cell]")
{
    GangOffers offers(seconds(4));
    offers.begin(step, 1, 2);
    offers.begin(step, 1, 1); // On another worker.
    CHECK(offers.takeLate(start + seconds(60)).empty()); // No member was ordered.
    offers.recordSent(step, 1, start);
    offers.recordSent(step, 1, start);
    CHECK(offers.takeLate(start + milliseconds(2'900)).empty());
    const auto late = offers.takeLate(start + milliseconds(3'000));
    REQUIRE(late.size() == 1);
    CHECK(late[0].run == 1);
    CHECK(late[0].unsent == 1);
    CHECK(offers.takeLate(start + seconds(9)).empty());
    GangOffers complete(seconds(4));
    complete.begin(step, 1, 1);
    complete.recordSent(step, 1, start);
    CHECK(complete.takeLate(start + seconds(60)).empty());
}

// Guards against attempts without end that keep the leader and the workers busy.
TEST_CASE("the delay before the next attempt doubles up to a limit", "[cell]")
{
    GangOffers offers(seconds(4));
    auto now = start;
    Duration last { 0 };
    for (uint32_t run = 1; run <= 10; ++run) {
        offers.begin(step, run, 1);
        CHECK_FALSE(offers.deferredUntil(step, now));
        const auto delay = offers.recordFailure(step, run, now);
        REQUIRE(delay);
        CHECK(*delay == std::min<Duration>(run == 1 ? Duration(seconds(1)) : 2 * last, seconds(60)));
        CHECK_FALSE(offers.recordFailure(step, run, now)); // Another member of the same run.
        CHECK(offers.deferredUntil(step, now + *delay - milliseconds(1)) == now + *delay);
        now = now + *delay;
        last = *delay;
    }
    offers.forgetJob(step.job);
    CHECK_FALSE(offers.deferredUntil(step, now - milliseconds(1)));
}
