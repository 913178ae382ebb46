#include "turmericpier/http/connection-budget.h"

#include "turmericpier/base/error.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::http;

// Guards against shares that exceed the limit together, which left no descriptor for the log: a replica stopped with
// "Too many open files" when it wrote a snapshot.
TEST_CASE("the shares leave descriptors for files", "[http]")
{
    constexpr size_t filesOfReplica = 40; // Segments of the log, snapshots, event loops and listening sockets.
    constexpr size_t withheldByPlatform = 200;
    for (const auto use : { ConnectionUse::Entry, ConnectionUse::Control }) {
        for (const size_t limit : { minDescriptors, size_t { 4'100 }, size_t { 4'324 }, size_t { 65'536 } }) {
            const auto budget = divideDescriptors(limit, use);
            REQUIRE(budget.ok());
            CHECK(budget->served + budget->outgoing + budget->peersIn + budget->peersOut + filesOfReplica
                    + withheldByPlatform
                <= limit);
        }
    }
}

// Guards against a control process that cannot hold a poll and an order at each of 1,100 workers beside a heartbeat
// connection from each, at the limit of 4,324 descriptors.
TEST_CASE("a control process reaches 1,100 workers", "[http]")
{
    constexpr size_t workers = 1'100;
    const auto budget = divideDescriptors(4'324, ConnectionUse::Control);
    REQUIRE(budget.ok());
    CHECK(budget->served > workers);
    CHECK(budget->outgoing > workers + workers / 2);
    CHECK(budget->peersIn > 300); // Own machines of the largest deployment that is planned for.
}

// Guards against a start with a limit under which the process could not work.
TEST_CASE("too few descriptors are refused with the number needed", "[http]")
{
    const auto budget = divideDescriptors(100, ConnectionUse::Control);
    REQUIRE(!budget.ok());
    CHECK(detailsOf(budget.status()).reason == "TOO_FEW_DESCRIPTORS");
    CHECK(std::string(budget.status().message()).find("512") != std::string::npos);
}
