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
[limits]
max-fds = 4324
memory-mb = 384
max-framing-bytes = 8192
[fault-tolerance]
machines = 2
[bounds]
grace-s = 6
max-hold-ms = 10000
gang-wait-ms = 3500
status_s = 120
quota-window-s = 4
)";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string errorOf(const std::string& text)
{
    const auto settings = parseNodeSettings(text, "node.toml");
    return settings.ok() ? std::string() : std::string(settings.status().message());
}

} // namespace

// Guards against bounds that are ignored or read in the wrong unit.
TEST_CASE("the settings of a node are parsed", "[platform]")
{
    const auto settings = parseNodeSettings(control, "node.toml");
    REQUIRE(settings.ok());
    CHECK(settings->node == "core-1");
    CHECK(settings->internalPort == 7'720);
    CHECK(settings->seeds.size() == 2);
    CHECK(settings->maxDescriptors == 4'324);
    CHECK(settings->memoryMb == 384);
    CHECK(settings->maxFramingBytes == 8'192);
    CHECK(settings->firstStart);
    CHECK(settings->grace == std::chrono::seconds(6));
    CHECK(settings->maxLease == std::chrono::seconds(10));
    CHECK(settings->gangWait == std::chrono::milliseconds(3'500));
    CHECK(settings->maxLostDisks == 2);
    CHECK(settings->statusRetention == std::chrono::seconds(120));
    CHECK(settings->quotaWindow == std::chrono::seconds(4));
    CHECK(internalAddress(*settings, "10.2.0.32:8166") == "10.2.0.32:7720");
    CHECK(settings->peerListenAddress.empty());
    const auto proxied = parseNodeSettings("internal-listen = \"10.1.0.17:7800\"\n" + control, "node.toml");
    REQUIRE(proxied.ok());
    CHECK(proxied->peerListenAddress == "10.1.0.17:7800");
}

// Guards against starting with invalid settings, and against an error that does not name the key.
TEST_CASE("an error names the invalid key", "[platform]")
{
    CHECK(errorOf(replaced(control, "ip = \"10.1.0.16\"\n", "")) == "ip: is missing");
    CHECK(errorOf(replaced(control, "10.2.0.32:8166", "somewhere")).find("seeds") == 0);
    CHECK(errorOf(replaced(control, "[7720,7735]", "[0,5]")).find("internal-port-range[0]") == 0);
    CHECK(errorOf(replaced(control, "max-hold-ms = 10000", "max-hold-ms = -5"))
              .find("bounds.max-hold-ms: is out of range")
        == 0);
    CHECK(errorOf(replaced(control, "machines = 2", "machines = -1")).find("fault-tolerance.machines: is out of range")
        == 0);
    CHECK(errorOf(replaced(control, "max-fds = 4324", "max-fds = 100"))
        == "limits.max-fds: is out of range; accepted: 512 to 1048576");
    CHECK(errorOf(replaced(control, "data-dir = \"/data/control\"\n", "")).find("data-dir") == 0);
    CHECK(errorOf(replaced(control, "control = \"10.1.0.16:8166\"\n", "")).find("listen") == 0);
    CHECK(errorOf(replaced(control, "bootstrap = true", "bootstrap = \"yes\"")).find("bootstrap") == 0);
    CHECK(errorOf("node = ").find("line 1") == 0);
}

// Guards against limits with which a process could not work or would accept anything.
TEST_CASE("limits of memory out of range are rejected", "[platform]")
{
    CHECK(
        errorOf(replaced(control, "memory-mb = 384", "memory-mb = 31")).find("limits.memory-mb") != std::string::npos);
    CHECK(errorOf(replaced(control, "memory-mb = 384", "memory-mb = \"x\"")).find("limits.memory-mb")
        != std::string::npos);
    CHECK(errorOf(replaced(control, "max-framing-bytes = 8192", "max-framing-bytes = 65536"))
              .find("limits.max-framing-bytes")
        != std::string::npos);
    CHECK(errorOf(replaced(control, "memory-mb = 384\n", "")).empty());
}
