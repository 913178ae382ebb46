#include "platform/node.h"

#include "turmericpier/base/error.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <unistd.h>

using namespace turmericpier;
using namespace turmericpier::platform;
using boost::asio::ip::tcp;

// Guards against a process that keeps running without its interface, or fails without naming the address.
TEST_CASE("a node whose address is in use fails with the address", "[platform]")
{
    boost::asio::io_context io;
    const auto host = boost::asio::ip::make_address("127.0.0.1");
    tcp::acceptor taken(io, { host, 0 });
    tcp::acceptor internal(io, { host, 0 });
    NodeSettings settings;
    settings.node = "entry-1";
    settings.ip = "127.0.0.1";
    settings.internalPort = internal.local_endpoint().port();
    settings.clientAddress = "127.0.0.1:" + std::to_string(taken.local_endpoint().port());
    settings.seeds = { "127.0.0.1:1" };
    internal.close();
    Node node(settings, { "no-such-file.toml", 0 });
    const auto status = node.run();
    CHECK_FALSE(status.ok());
    CHECK(detailsOf(status).peer == settings.clientAddress);
    CHECK(detailsOf(status).step == "listen");
}

// Guards against a control process that starts without a writable data folder: it would forget its votes and the log
// entries it acknowledged.
TEST_CASE("a control node without a usable data folder does not start", "[platform]")
{
    NodeSettings settings;
    settings.node = "control-1";
    settings.ip = "127.0.0.1";
    settings.internalPort = 1;
    settings.controlAddress = "127.0.0.1:1";
    settings.dataFolder = "/dev/null/folder";
    Node node(settings, { "no-such-file.toml", 0 });
    CHECK(detailsOf(node.run()).reason == "IDENTITY");
}
