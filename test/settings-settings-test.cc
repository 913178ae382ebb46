#include "turmericpier/base/error.h"
#include "turmericpier/settings/settings.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace turmericpier;
using settings::parseSettings;

namespace {
boost::json::object validSettings()
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

// Guards against a valid file that is refused or misread.
TEST_CASE("valid settings are parsed", "[settings]")
{
    const auto result = parseSettings(boost::json::serialize(validSettings()), "test");
    REQUIRE(result.ok());
    CHECK(result->roles.size() == 3);
    CHECK(result->peers.size() == 1);
    CHECK(result->peers.at(InstanceId("e2")).port == 7102);
    CHECK(result->ledgerVoters.at(RegionId("east")).size() == 2);
    CHECK(result->consensus.heartbeat == std::chrono::milliseconds(100));
}

// Guards against a misspelt key that is ignored without an error.
TEST_CASE("an unknown key is reported with its path and the accepted keys", "[settings]")
{
    auto object = validSettings();
    object["entry"] = { { "max_atempts", 3 } };
    CHECK(errorOf(object)
        == "entry.max_atempts: is not a known key; accepted: default_deadline_ms, heartbeat_ms, "
           "max_attempts, max_deadline_ms, max_memory_mib, max_requests, max_streams_per_connection");
}

// Guards against values that would start a process in an unsafe state.
TEST_CASE("invalid and missing values are reported with the path of the key", "[settings]")
{
    auto object = validSettings();
    object["entry"] = { { "max_attempts", 99 } };
    CHECK(errorOf(object) == "entry.max_attempts: 99 is out of range; accepted: 1 to 16");
    object = validSettings();
    object["entry"] = { { "max_attempts", -1 } };
    CHECK(errorOf(object) == "entry.max_attempts: -1 is out of range; accepted: 1 to 16");
    object = validSettings();
    object["instance"] = 7;
    CHECK(errorOf(object) == "instance: is of type int64 or empty; accepted: non-empty string");
    object = validSettings();
    object.erase("region");
    CHECK(errorOf(object) == "region: is missing");
    object = validSettings();
    object["peer_address"] = "localhost:1";
    CHECK(errorOf(object) == "peer_address: \"localhost:1\" is not an address; accepted: IP address, colon and port");
    object = validSettings();
    object["roles"] = { "proxy" };
    CHECK(errorOf(object) == "roles: \"proxy\" is not a role; accepted: entry, control, ledger");
    object = validSettings();
    object["control_voters"] = { "e1", "e9" };
    CHECK(errorOf(object) == "control_voters: e9 is neither this instance nor one of peers");
    object = validSettings();
    object.erase("data_folder");
    CHECK(errorOf(object) == "data_folder: is missing; the roles control and ledger need it");
    object = validSettings();
    object["leases"] = { { "task_ms", 1'000 }, { "clock_skew_bound_ms", 600 } };
    CHECK(errorOf(object) == "leases.clock_skew_bound_ms: must be at most half of the shortest lease");
}

// Guards against a crash, or settings that stay empty, on malformed input.
TEST_CASE("input that is not a JSON object is refused", "[settings]")
{
    CHECK_FALSE(parseSettings("{", "test").ok());
    CHECK_FALSE(parseSettings("[]", "test").ok());
    CHECK_FALSE(parseSettings("", "test").ok());
}
