#include "turmericpier/base/error.h"
#include "turmericpier/settings/settings.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace turmericpier;
using settings::parseSettings;

namespace {
boost::json::object valid()
{
    return boost::json::parse(R"({
        "instance": "e1", "data_centre": "vienna", "region": "east", "roles": ["entry", "control", "ledger"],
        "rpc_address": "127.0.0.1:7001", "peer_address": "127.0.0.1:7101", "admin_address": "127.0.0.1:7201",
        "data_folder": "data", "peers": { "e1": "127.0.0.1:7101", "e2": "127.0.0.1:7102" },
        "control_voters": ["e1", "e2"], "ledger_voters": { "east": ["e1", "e2"] }
    })")
        .as_object();
}

std::string errorOf(const boost::json::object& object)
{
    const auto result = parseSettings(boost::json::serialize(object), "test");
    REQUIRE_FALSE(result.ok());
    CHECK(detailsOf(result.status()).step == "parse settings");
    return std::string(result.status().message());
}
} // namespace

// Guards against a valid file being refused or misread.
TEST_CASE("valid settings are parsed", "[settings]")
{
    const auto result = parseSettings(boost::json::serialize(valid()), "test");
    REQUIRE(result.ok());
    CHECK(result->roles.size() == 3);
    CHECK(result->peers.size() == 1);
    CHECK(result->peers.at(InstanceId("e2")).port == 7102);
    CHECK(result->ledgerVoters.at(RegionId("east")).size() == 2);
    CHECK(result->consensus.heartbeat == std::chrono::milliseconds(100));
}

// Guards against a misspelt key that is silently ignored.
TEST_CASE("an unknown key is named with its path", "[settings]")
{
    auto object = valid();
    object["entry"] = { { "max_atempts", 3 } };
    CHECK(errorOf(object)
        == "entry.max_atempts: is not a known key; accepted: default_deadline_ms, heartbeat_ms, "
           "max_attempts, max_deadline_ms, max_requests");
}

// Guards against values that would start a process in an unsafe state.
TEST_CASE("values out of range, of a wrong type or missing are named with what is accepted", "[settings]")
{
    auto object = valid();
    object["entry"] = { { "max_attempts", 99 } };
    CHECK(errorOf(object) == "entry.max_attempts: 99 is out of range; accepted: 1 to 16");
    object = valid();
    object["entry"] = { { "max_attempts", -1 } };
    CHECK(errorOf(object) == "entry.max_attempts: -1 is out of range; accepted: 1 to 16");
    object = valid();
    object["instance"] = 7;
    CHECK(errorOf(object) == "instance: is of type int64 or empty; accepted: non-empty string");
    object = valid();
    object.erase("region");
    CHECK(errorOf(object) == "region: is missing");
    object = valid();
    object["peer_address"] = "localhost:1";
    CHECK(errorOf(object) == "peer_address: \"localhost:1\" is not an address; accepted: IP address, colon and port");
    object = valid();
    object["roles"] = { "proxy" };
    CHECK(errorOf(object) == "roles: \"proxy\" is not a role; accepted: entry, control, ledger");
    object = valid();
    object["control_voters"] = { "e1", "e9" };
    CHECK(errorOf(object) == "control_voters: e9 is neither this instance nor one of peers");
    object = valid();
    object.erase("data_folder");
    CHECK(errorOf(object) == "data_folder: is missing; the roles control and ledger need it");
    object = valid();
    object["leases"] = { { "task_ms", 1'000 }, { "clock_skew_bound_ms", 600 } };
    CHECK(errorOf(object) == "leases.clock_skew_bound_ms: must be at most half of the shortest lease");
}

// Guards against a crash or an empty configuration on broken input.
TEST_CASE("broken JSON is refused", "[settings]")
{
    CHECK_FALSE(parseSettings("{", "test").ok());
    CHECK_FALSE(parseSettings("[]", "test").ok());
    CHECK_FALSE(parseSettings("", "test").ok());
}
