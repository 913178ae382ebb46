#include "turmericpier/http/memory-budget.h"

#include "turmericpier/base/error.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::http;

// Guards against shares that leave no memory for the program itself, about 20 MiB, and for its connections.
TEST_CASE("the shares leave memory for the program", "[http]")
{
    for (const auto use : { ConnectionUse::Entry, ConnectionUse::Control }) {
        for (const size_t mebibytes : { 32, 160, 256, 384, 4'096 }) {
            const auto budget = divideMemory(mebibytes << 20U, use);
            REQUIRE(budget.ok());
            CHECK(budget->requests + budget->answers + budget->peers + budget->document + budget->state
                <= (mebibytes << 20U) * 7 / 10);
        }
    }
}

// Guards against shares in which a request of the largest allowed size has no room beside other callers: a job of
// 262,144 bytes at an entry of 160 MB, and a heartbeat of 4 MiB at a control process of 256 MB.
TEST_CASE("one source may send a request of the largest allowed size", "[http]")
{
    CHECK(divideMemory(size_t { 160 } << 20U, ConnectionUse::Entry)->requests / 2 > 16 * 262'144);
    CHECK(divideMemory(size_t { 256 } << 20U, ConnectionUse::Control)->requests / 2 > (size_t { 10 } << 20U));
}

// Guards against a start with so little memory that the process could not work.
TEST_CASE("too little memory is refused with the size needed", "[http]")
{
    const auto budget = divideMemory(size_t { 16 } << 20U, ConnectionUse::Entry);
    REQUIRE(!budget.ok());
    CHECK(detailsOf(budget.status()).reason == "TOO_LITTLE_MEMORY");
    CHECK(std::string(budget.status().message()).find("33554432") != std::string::npos);
}
