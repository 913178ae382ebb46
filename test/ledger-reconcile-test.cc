#include "turmericpier/ledger/reconcile.h"

#include "operator.pb.h"
#include "turmericpier/base/error.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace turmericpier;
using namespace turmericpier::ledger;

namespace {
LedgerLine lineOf(const std::string& id, const std::string& outcome, const std::string& service = "till")
{
    return { "duftwerk", "east", id, service, outcome };
}

std::vector<std::string> textsOf(const Reconciliation& result)
{
    std::vector<std::string> texts;
    for (const auto& difference : result.differences)
        texts.push_back(toString(difference));
    return texts;
}
} // namespace

// Guards against a difference that is missed, reported under another request or reported twice.
TEST_CASE("every kind of difference is reported by request id", "[ledger]")
{
    const std::vector<LedgerLine> here { lineOf("r6", "RAN"), lineOf("r1", "RAN"), lineOf("r2", "RAN"),
        lineOf("r3", "NOT_RUN"), lineOf("r4", "RAN", "till"), lineOf("r5", "RAN"), lineOf("r5", "UNKNOWN") };
    const std::vector<LedgerLine> there { lineOf("r1", "RAN"), lineOf("r3", "RAN"), lineOf("r4", "RAN", "stock"),
        lineOf("r5", "RAN"), lineOf("r7", "UNKNOWN"), lineOf("r6", "RAN"), lineOf("r6", "RAN") };
    const auto result = reconcile(here, there);
    CHECK(result.requests == 7);
    CHECK(textsOf(result)
        == std::vector<std::string> {
            "duftwerk/east/r2: missing there: here RAN, there none",
            "duftwerk/east/r3: outcome differs: here NOT_RUN, there RAN",
            "duftwerk/east/r4: service differs: here till, there stock",
            "duftwerk/east/r5: duplicate here: here RAN,UNKNOWN, there RAN",
            "duftwerk/east/r6: duplicate there: here RAN, there RAN,RAN",
            "duftwerk/east/r7: missing here: here none, there UNKNOWN",
        });
}

// Guards against requests of different partners or regions that are treated as one because their ids are equal.
TEST_CASE("partner and home region are part of the request key", "[ledger]")
{
    auto west = lineOf("r1", "RAN");
    west.homeRegion = "west";
    auto other = lineOf("r1", "RAN");
    other.partner = "restoration";
    CHECK(reconcile({ lineOf("r1", "RAN"), west, other }, { other, west, lineOf("r1", "RAN") }).differences.empty());
    CHECK(reconcile({ lineOf("r1", "RAN") }, { west }).differences.size() == 2);
}

// Guards against reporting every request as missing if the file of a partner does not contain the name of the partner.
TEST_CASE("members that one ledger never sets are not compared", "[ledger]")
{
    std::istringstream file("{\"request_id\":\"r2\",\"service\":\"till\",\"outcome\":\"RAN\"}\r\n\n"
                            "{\"request_id\":\"r1\",\"service\":\"till\",\"outcome\":\"NOT_RUN\",\"note\":1}");
    const auto there = parseLedger(file, "partner.jsonl");
    REQUIRE(there.ok());
    const auto result = reconcile({ lineOf("r1", "RAN"), lineOf("r2", "RAN") }, *there);
    CHECK(textsOf(result) == std::vector<std::string> { "duftwerk/east/r1: outcome differs: here RAN, there NOT_RUN" });
}

// Guards against a damaged file that is parsed as a shorter ledger.
TEST_CASE("the error for a malformed line contains its number", "[ledger]")
{
    const std::string good = "{\"request_id\":\"r1\",\"service\":\"till\",\"outcome\":\"RAN\"}\n";
    for (const std::string bad : { "{", "[]", "{\"request_id\":\"r1\",\"outcome\":\"RAN\"}",
             "{\"request_id\":\"\",\"service\":\"till\",\"outcome\":\"RAN\"}",
             "{\"request_id\":\"r1\",\"service\":\"till\",\"outcome\":\"ran\"}",
             "{\"request_id\":\"r1\",\"service\":\"till\",\"outcome\":\"RAN\",\"partner\":3}",
             "{\"request_id\":\"r1\",\"service\":\"till\",\"outcome\":\"RAN\"} x" }) {
        std::istringstream in(good + bad + "\n" + good);
        const auto result = parseLedger(in, "partner.jsonl");
        REQUIRE_FALSE(result.ok());
        CHECK(detailsOf(result.status()).peer == "partner.jsonl:2");
    }
}

// Guards against an export that parseLedger() rejects, in particular one that omits UNKNOWN because it is the default.
TEST_CASE("an exported record can be parsed", "[ledger]")
{
    rpc::LedgerRecord record;
    record.set_partner("duftwerk");
    record.set_home_region("east");
    record.set_request_id("r\"1\n");
    record.set_service("till");
    std::istringstream in(toJsonLine(record) + "\n");
    const auto lines = parseLedger(in, "export");
    REQUIRE(lines.ok());
    REQUIRE(lines->size() == 1);
    CHECK((*lines)[0].partner == "duftwerk");
    CHECK((*lines)[0].homeRegion == "east");
    CHECK((*lines)[0].requestId == "r\"1\n");
    CHECK((*lines)[0].outcome == "UNKNOWN");
}
