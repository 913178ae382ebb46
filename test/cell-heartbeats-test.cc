#include "turmericpier/cell/heartbeats.h"

#include "cell-fixtures.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;
using std::chrono::milliseconds;

namespace {

struct Fixture {
    State state;
    HeartbeatCollector collector;
    ManualClock clock;
    uint32_t serial = 0;

    Fixture()
    {
        configure(state, config());
        serial = addWorker(state, worker("w1", 5));
        clock.advance(milliseconds(1'000'000));
    }
    bool collect(const std::unique_ptr<record::WorkerT>& reported)
    {
        return collector.collect(state, *reported, clock.now());
    }
    std::vector<uint32_t> take() { return collector.take(clock.now()); }
    void accept()
    {
        take();
        collector.onReported(clock.now(), true);
    }
};

} // namespace

// Guards against a replica that is cut off from the leader and keeps workers from finding another one: the leader would
// take them for silent although their heartbeats are answered.
TEST_CASE("heartbeats are answered only while the leader accepts reports", "[cell]")
{
    Fixture fixture;
    CHECK_FALSE(fixture.collect(worker("w1", 5)));
    fixture.accept();
    CHECK(fixture.collect(worker("w1", 5)));
    CHECK(fixture.take() == std::vector<uint32_t> { fixture.serial });
    fixture.clock.advance(milliseconds(1'001)); // For example because this process was paused.
    CHECK_FALSE(fixture.collect(worker("w1", 5)));
}

// Guards against a change that the leader never learns of: a new incarnation, a drain, another address or capacity.
TEST_CASE("a heartbeat that changes something is not answered here", "[cell]")
{
    Fixture fixture;
    fixture.accept();
    CHECK_FALSE(fixture.collect(worker("w2", 5)));
    CHECK_FALSE(fixture.collect(worker("w1", 6)));
    CHECK_FALSE(fixture.collect(worker("w1", 4)));
    CHECK_FALSE(fixture.collect(worker("w1", 5, 8'000)));
    auto draining = worker("w1", 5);
    draining->draining = true;
    CHECK_FALSE(fixture.collect(draining));
    CHECK(fixture.take().empty());
    addWorker(fixture.state, std::move(draining));
    CHECK(fixture.collect(worker("w1", 5))); // A delayed heartbeat from before the drain.
}

// Guards against a worker that is taken for silent because one report was lost.
TEST_CASE("the workers of a report that was not accepted are reported again", "[cell]")
{
    Fixture fixture;
    fixture.accept();
    REQUIRE(fixture.collect(worker("w1", 5)));
    const auto serials = fixture.take();
    CHECK(serials == std::vector<uint32_t> { fixture.serial });
    CHECK(fixture.take().empty());
    fixture.collector.onReported(fixture.clock.now(), false);
    CHECK(fixture.take() == serials);
}

// Guards against a leader that takes a heartbeat from long ago for a sign of life, and with it undoes the leave of a
// worker that has gone since. Reports may fail for long, and a replica may lead in between.
TEST_CASE("a heartbeat that could not be reported in time is dropped", "[cell]")
{
    Fixture fixture;
    fixture.accept();
    REQUIRE(fixture.collect(worker("w1", 5)));
    fixture.take();
    fixture.collector.onReported(fixture.clock.now(), false);
    fixture.clock.advance(milliseconds(1'001));
    CHECK(fixture.take().empty());
}
