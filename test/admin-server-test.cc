#include "turmericpier/admin/server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>

using namespace turmericpier;
using namespace turmericpier::admin;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {
/// A TCP connection to the server that sends raw bytes.
struct RawClient {
    explicit RawClient(uint16_t port) { socket.connect({ asio::ip::make_address("127.0.0.1"), port }); }

    void send(const std::string& bytes)
    {
        boost::system::error_code ignored; // The server may have closed the connection already.
        asio::write(socket, asio::buffer(bytes), ignored);
    }

    /// Returns everything that the server sends until it closes the connection.
    std::string readToEnd()
    {
        std::string received;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(received), error);
        return received;
    }

    asio::io_context io;
    tcp::socket socket { io };
};

/// A started server whose readiness hook fails.
struct Fixture {
    explicit Fixture(ServerOptions options = {})
    {
        options.host = "127.0.0.1";
        server.emplace(options,
            ServerHooks {
                .dump = [] { return std::string("{\"role\":\"entry\"}"); },
                .metrics = [this] { return metrics.toPrometheusText(); },
                .health = [] { return absl::OkStatus(); },
                .readiness = [] { return absl::UnavailableError("no leader of group control"); },
            },
            metrics);
        REQUIRE(server->start().ok());
    }

    /// Sends one request and returns the response. `line` is the method and the path, `headerLines` are further header
    /// lines.
    std::string request(const std::string& line, const std::string& headerLines = "")
    {
        RawClient client(server->port());
        client.send(line + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + headerLines + "\r\n");
        return client.readToEnd();
    }

    Metrics metrics;
    std::optional<Server> server;
};

bool hasStatus(const std::string& response, int status)
{
    return response.rfind("HTTP/1.1 " + std::to_string(status) + " ", 0) == 0;
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }
} // namespace

// Guards against a path that is served by the wrong hook, and against a failed readiness check that is answered as
// ready.
TEST_CASE("the four paths are served by their hooks", "[admin]")
{
    Fixture f;
    const auto dump = f.request("GET /dump");
    CHECK(hasStatus(dump, 200));
    CHECK(contains(dump, "application/json"));
    CHECK(contains(dump, "{\"role\":\"entry\"}"));
    const auto metrics = f.request("GET /metrics?x=1");
    CHECK(hasStatus(metrics, 200));
    CHECK(contains(metrics, "turmericpier_admin_requests_total 2"));
    CHECK(hasStatus(f.request("GET /healthz"), 200));
    const auto ready = f.request("GET /readyz");
    CHECK(hasStatus(ready, 503));
    CHECK(contains(ready, "no leader of group control"));
}

// Guards against other paths and methods that change state or reveal it.
TEST_CASE("other paths and methods are refused", "[admin]")
{
    Fixture f;
    CHECK(hasStatus(f.request("GET /"), 404));
    CHECK(hasStatus(f.request("GET /dump/x"), 404));
    CHECK(hasStatus(f.request("GET /../dump"), 404));
    for (const char* method : { "POST", "PUT", "DELETE", "OPTIONS" }) {
        const auto response = f.request(std::string(method) + " /dump");
        CHECK(hasStatus(response, 405));
        CHECK(contains(response, "Allow: GET"));
        CHECK_FALSE(contains(response, "entry"));
    }
}

// Guards against a request that exhausts the memory of the process.
TEST_CASE("oversized and malformed requests are answered and closed", "[admin]")
{
    Fixture f;
    CHECK(hasStatus(f.request("GET /dump", "X: " + std::string(20'000, 'x') + "\r\n"), 431));
    CHECK(hasStatus(f.request("GET /dump", "Content-Length: 1000000\r\n"), 413));
    CHECK(hasStatus(f.request("\x01\x02"), 400));
    CHECK(f.metrics.counter("admin_bad_requests_total").value() == 3);
    CHECK(hasStatus(f.request("GET /healthz"), 200));
}

// Guards against pipelined requests that are not answered, or are answered out of order.
TEST_CASE("a connection serves several requests in order", "[admin]")
{
    Fixture f;
    RawClient client(f.server->port());
    client.send("GET /dump HTTP/1.1\r\nHost: a\r\n\r\nGET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const auto received = client.readToEnd();
    CHECK(received.find("entry") < received.find("ok\n"));
    CHECK(contains(received, "ok\n"));
}

// Guards against connections that exhaust the file descriptors of the process.
TEST_CASE("connections over the limit are closed and counted", "[admin]")
{
    Fixture f({ .maxConnections = 2, .idleTimeout = std::chrono::hours(1) });
    RawClient first(f.server->port());
    RawClient second(f.server->port());
    RawClient third(f.server->port());
    CHECK(third.readToEnd().empty());
    CHECK(f.metrics.counter("admin_connections_over_limit_total").value() == 1);
    first.send("GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(hasStatus(first.readToEnd(), 200));
}

// Guards against silent or slow connections that permanently use up the connection limit.
TEST_CASE("idle connections are closed after the timeout", "[admin]")
{
    Fixture f({ .idleTimeout = milliseconds(50) });
    RawClient silent(f.server->port());
    RawClient slow(f.server->port());
    slow.send("GET /du");
    CHECK(silent.readToEnd().empty());
    CHECK(slow.readToEnd().empty());
}

// Guards against a stop that waits for open connections, and against a port that stays in use afterwards.
TEST_CASE("a stop closes connections and frees the port", "[admin]")
{
    Fixture f;
    const uint16_t port = f.server->port();
    RawClient open(port);
    open.send("GET /healthz HTTP/1.1\r\n");
    f.server->stop();
    f.server.reset();
    open.readToEnd();
    Metrics metrics;
    Server second({ .host = "127.0.0.1", .port = port }, {}, metrics);
    CHECK(second.start().ok());
    Server third({ .host = "127.0.0.1", .port = port }, {}, metrics);
    const auto status = third.start();
    REQUIRE_FALSE(status.ok());
    CHECK(contains(std::string(status.message()), std::to_string(port)));
}

// Guards against a body that is taken for the next request.
TEST_CASE("a request whose end is not clear is rejected", "[admin]")
{
    Fixture f;
    for (const char* encoding : { "gzip", "gzip, chunked", "chunked, gzip" })
        CHECK(hasStatus(f.request("GET /healthz", std::string("Transfer-Encoding: ") + encoding + "\r\n"), 400));
}
