#include "turmericpier/base/memory-share.h"

#include <catch2/catch.hpp>

using namespace turmericpier;

namespace {

struct Fixture {
    Metrics metrics;
    std::shared_ptr<MemoryShare> share = std::make_shared<MemoryShare>("test", 1'000, metrics);
};

} // namespace

// Guards against a share that grows beyond its limit or loses what was given back.
TEST_CASE("reservations never exceed the share and are given back", "[base]")
{
    Fixture fixture;
    MemoryReservation first(fixture.share, "a");
    CHECK(first.tryResize(500));
    {
        MemoryReservation second(fixture.share, "b");
        CHECK(second.tryResize(400));
        CHECK_FALSE(second.tryResize(501));
        CHECK(second.size() == 400);
        CHECK(fixture.share->used() == 900);
    }
    CHECK(fixture.share->used() == 500);
    MemoryReservation moved(std::move(first));
    CHECK(moved.tryResize(100));
    CHECK(fixture.share->used() == 100);
    moved = MemoryReservation();
    CHECK(fixture.share->used() == 0);
    CHECK(fixture.metrics.gauge("memory_test_bytes").value() == 0);
}

// Guards against one caller that takes a share from all others.
TEST_CASE("one source takes at most half of a share", "[base]")
{
    Fixture fixture;
    MemoryReservation first(fixture.share, "a");
    MemoryReservation second(fixture.share, "a");
    MemoryReservation other(fixture.share, "b");
    CHECK(first.tryResize(300));
    CHECK_FALSE(second.tryResize(201));
    CHECK(second.tryResize(200));
    CHECK(other.tryResize(500));
    CHECK(first.tryResize(200)); // Less is allowed also at the limit.
    CHECK(second.tryResize(300));
}

// Guards against a refusal that an operator cannot see.
TEST_CASE("refusals are counted", "[base]")
{
    Fixture fixture;
    fixture.share->recordRefusal("a", 10, 20);
    CHECK(fixture.metrics.counter("memory_test_refused_total").value() == 1);
}

// Guards against small requests that are given up for a large one, and against the memory of one source being taken
// from others, where that does not help.
TEST_CASE("the largest holder that helps gives up its memory", "[base]")
{
    Fixture fixture;
    MemoryReservation wanting(fixture.share, "a");
    MemoryReservation small(fixture.share, "b");
    MemoryReservation large(fixture.share, "b");
    MemoryReservation own(fixture.share, "a");
    REQUIRE(small.tryResize(150));
    REQUIRE(large.tryResize(300));
    REQUIRE(own.tryResize(400));
    LargestHolder whenShareIsFull(wanting, 100);
    CHECK(whenShareIsFull.consider(small));
    CHECK(whenShareIsFull.consider(large));
    CHECK_FALSE(whenShareIsFull.consider(small));
    LargestHolder whenSourceIsFull(wanting, 101);
    CHECK_FALSE(whenSourceIsFull.consider(large));
    CHECK(whenSourceIsFull.consider(own));
    LargestHolder whenWantingIsLargest(wanting, 450);
    CHECK_FALSE(whenWantingIsLargest.consider(own));
}
