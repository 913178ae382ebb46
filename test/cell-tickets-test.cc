#include "turmericpier/cell/tickets.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::cell;
using std::chrono::seconds;

// Guards against a ticket that is used after it has expired, for another step, or on another worker.
TEST_CASE("a ticket is valid for its step and worker until it expires", "[cell]")
{
    TicketCache book;
    const StepKey step { "job", 0, 1, 0 };
    const TimePoint now { seconds(10) };
    book.record(step, { 1, 2 }, { { 1, "t" } }, now + seconds(2));
    CHECK(book.fitnessOf(step, 1, now) == Fitness::Fit);
    CHECK(*book.ticketFor(step, 1, now) == "t");
    CHECK(book.fitWorkers(step, now) == std::vector<uint32_t> { 1 });
    CHECK(book.fitWorkers(step, now + seconds(2)).empty());
    CHECK(book.fitnessOf(step, 2, now) == Fitness::Unfit);
    CHECK(book.fitnessOf(step, 3, now) == Fitness::Unknown);
    CHECK(book.fitnessOf({ "job", 0, 2, 0 }, 1, now) == Fitness::Unknown);
    CHECK(book.fitnessOf(step, 1, now + seconds(2)) == Fitness::Expired);
    CHECK_FALSE(book.ticketFor(step, 1, now + seconds(2)));
    const auto asked = book.askedWorkers(step, now + seconds(2));
    REQUIRE(asked.size() == 2);
    CHECK(asked.front() == std::pair(uint32_t { 1 }, Fitness::Expired));
    CHECK(asked.back() == std::pair(uint32_t { 2 }, Fitness::Unfit));
    CHECK(book.askedWorkers({ "job", 0, 2, 0 }, now).empty());
}

// Guards against reusing a refused ticket, and against entries that outlive their worker or job.
TEST_CASE("tickets are removed with their worker and their job", "[cell]")
{
    TicketCache book;
    const StepKey step { "job", 0, 0, 0 };
    const StepKey other { "jobs", 0, 0, 0 };
    const TimePoint now { seconds(10) };
    for (const auto& key : { step, other })
        book.record(key, { 1, 2 }, { { 1, "t" }, { 2, "u" } }, now + seconds(2));
    book.expire(step, 1);
    CHECK(book.fitnessOf(step, 1, now) == Fitness::Expired);
    book.forgetWorker(2);
    CHECK(book.fitnessOf(step, 2, now) == Fitness::Unknown);
    book.forgetJob("job");
    CHECK(book.fitnessOf(step, 1, now) == Fitness::Unknown);
    CHECK(book.fitnessOf(other, 1, now) == Fitness::Fit);
}
