#include "platform/settings.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::platform;

namespace {

const std::string control = R"(node = "core-1"
role = "control"
ip = "10.1.0.16"
zone = "z1"
internal-port-range = [7720,7735]
seeds = ["10.1.0.16:8166","10.2.0.32:8166"]
bootstrap = true
data-dir = "/data/control"
heartbeat-interval-ms = 1500
new-field = "ignored"
[listen]
control = "10.1.0.16:8166"
[bounds]
grace-s = 6
max-hold-ms = 10000
status_s = 120
)";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string faultOf(const std::string& text)
{
    const auto settings = parseNodeSettings(text, "node.toml");
    return settings.ok() ? std::string() : std::string(settings.status().message());
}

} // namespace

// Guards against bounds that are read in the wrong unit or not at all.
TEST_CASE("the settings of a node are read", "[platform]")
{
    const auto settings = parseNodeSettings(control, "node.toml");
    REQUIRE(settings.ok());
    CHECK(settings->node == "core-1");
    CHECK(settings->internalPort == 7'720);
    CHECK(settings->seeds.size() == 2);
    CHECK(settings->firstStart);
    CHECK(settings->grace == std::chrono::seconds(6));
    CHECK(settings->longestLease == std::chrono::seconds(10));
    CHECK(settings->keepEnded == std::chrono::seconds(120));
    CHECK(internalAddress(*settings, "10.2.0.32:8166") == "10.2.0.32:7720");
}

// Guards against a process that starts with settings it cannot work with, or does not say why it stops.
TEST_CASE("a fault in the settings is named", "[platform]")
{
    CHECK(faultOf(replaced(control, "ip = \"10.1.0.16\"\n", "")) == "ip: is missing");
    CHECK(faultOf(replaced(control, "10.2.0.32:8166", "somewhere")).find("seeds") == 0);
    CHECK(faultOf(replaced(control, "[7720,7735]", "[0,5]")).find("internal-port-range[0]") == 0);
    CHECK(faultOf(replaced(control, "max-hold-ms = 10000", "max-hold-ms = -5"))
              .find("bounds.max-hold-ms: is out of range")
        == 0);
    CHECK(faultOf(replaced(control, "data-dir = \"/data/control\"\n", "")).find("data-dir") == 0);
    CHECK(faultOf(replaced(control, "control = \"10.1.0.16:8166\"\n", "")).find("listen") == 0);
    CHECK(faultOf(replaced(control, "bootstrap = true", "bootstrap = \"yes\"")).find("bootstrap") == 0);
    CHECK(faultOf("node = ").find("line 1") == 0);
}
