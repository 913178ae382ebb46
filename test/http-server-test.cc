#include "turmericpier/http/server.h"

#include "free-address.h"
#include "turmericpier/http/client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>

using namespace turmericpier;
using namespace turmericpier::http;
using boost::asio::ip::tcp;
using turmericpier::test::freeAddress;
using turmericpier::test::freePort;

namespace {

/// A server and a client that share an event loop.
struct Fixture {
    boost::asio::io_context io;
    Metrics metrics;
    ManualClock clock;
    uint16_t port = freePort();
    std::string address = "127.0.0.1:" + std::to_string(port);
    std::unique_ptr<Server> server;
    std::unique_ptr<Client> client;

    explicit Fixture(Handler handler, ClientOptions options = {}, ServerOptions serverOptions = {})
    {
        serverOptions.listen = { "127.0.0.1", port };
        serverOptions.readHeaders = { "X-Deadline" };
        server = std::make_unique<Server>(io, serverOptions, std::move(handler), metrics);
        REQUIRE(server->start().ok());
        client = std::make_unique<Client>(io, options, clock, metrics);
    }
    /// Runs the event loop until `done` holds.
    void runUntil(const std::function<bool()>& done)
    {
        while (!done())
            io.run_one();
    }
    ClientResponse call(ClientRequest request)
    {
        std::optional<ClientResponse> response;
        client->call(address, std::move(request), std::chrono::seconds(60),
            [&](ClientResponse received) { response = std::move(received); });
        runUntil([&] { return response.has_value(); });
        return *response;
    }
};

} // namespace

// Guards against dropping parts of a request or response.
TEST_CASE("a request reaches the handler and the response reaches the client", "[http]")
{
    Request received;
    Fixture fixture([&](Request request, const Respond& respond) {
        received = std::move(request);
        respond(Response { .status = 409, .body = "{\"a\":1}", .headers = { { "Retry-After", "1" } } });
    });
    const auto response = fixture.call({ "PUT", "/x?y", "body", { { "X-Deadline", "250" } } });
    CHECK(response.fault == CallFault::None);
    CHECK(response.status == 409);
    CHECK(response.body == "{\"a\":1}");
    CHECK(received.method == "PUT");
    CHECK(received.target == "/x?y");
    CHECK(received.body == "body");
    REQUIRE(received.findHeader("X-Deadline"));
    CHECK(*received.findHeader("X-Deadline") == "250");
}

// Guards against opening a connection for each request, and against an unbounded number of them.
TEST_CASE("connections are reused and their number is bounded", "[http]")
{
    std::vector<Respond> pending;
    Fixture fixture(
        [&](const Request&, const Respond& respond) { pending.push_back(respond); }, { .connectionsPerAddress = 2 });
    int answered = 0;
    for (int i = 0; i < 5; ++i)
        fixture.client->call(fixture.address, { "GET", "/", "", {} }, std::chrono::seconds(60),
            [&](const ClientResponse&) { ++answered; });
    while (answered < 5) {
        fixture.runUntil([&] { return !pending.empty(); });
        CHECK(pending.size() <= 2);
        const auto respond = pending.back();
        pending.pop_back();
        respond(Response {});
        const int before = answered;
        fixture.runUntil([&] { return answered > before; });
    }
    CHECK(fixture.metrics.counter("http_client_connects_total").value() == 2);
}

// Guards against treating a request that was not sent as one that may have been executed.
TEST_CASE("a closed port refuses and an incomplete response leaves the request in doubt", "[http]")
{
    Fixture fixture([](const Request&, const Respond& respond) { respond(std::nullopt); });
    CHECK(fixture.call({ "GET", "/", "", {} }).fault == CallFault::NoAnswer);
    const auto closed = freeAddress();
    std::optional<ClientResponse> response;
    fixture.client->call(closed, { "GET", "/", "", {} }, std::chrono::seconds(60),
        [&](ClientResponse received) { response = received; });
    fixture.runUntil([&] { return response.has_value(); });
    CHECK(response->fault == CallFault::Refused);
    response.reset();
    fixture.client->call("no address", { "GET", "/", "", {} }, std::chrono::seconds(60),
        [&](ClientResponse received) { response = received; });
    fixture.runUntil([&] { return response.has_value(); });
    CHECK(response->fault == CallFault::Unreachable);
}

// Guards against a graceful shutdown that aborts a request or leaves connections open.
TEST_CASE("a draining server answers pending requests and closes the connection", "[http]")
{
    std::vector<Respond> pending;
    Fixture fixture([&](const Request&, const Respond& respond) { pending.push_back(respond); });
    std::optional<ClientResponse> response;
    fixture.client->call(fixture.address, { "GET", "/", "", {} }, std::chrono::seconds(60),
        [&](ClientResponse received) { response = received; });
    fixture.runUntil([&] { return !pending.empty(); });
    fixture.server->drain();
    CHECK(fixture.server->requestsInFlight() == 1);
    pending.front()(Response { .body = "{}" });
    fixture.runUntil([&] { return response.has_value(); });
    CHECK(response->status == 200);
    CHECK(fixture.server->requestsInFlight() == 0);
    pending.clear(); // Holds a connection, which must not outlive the event loop.
}

// Guards against requests that are cut off because callers connect and send until the server ends.
TEST_CASE("a finishing server answers what has arrived and accepts nothing more", "[http]")
{
    std::vector<Respond> pending;
    Fixture fixture([&](const Request&, const Respond& respond) { pending.push_back(respond); });
    const auto work
        = boost::asio::make_work_guard(fixture.io); // The server waits for nothing while requests are pending.
    const auto connect = [&](const std::string& sent) {
        auto socket = std::make_unique<tcp::socket>(fixture.io);
        socket->connect({ boost::asio::ip::make_address("127.0.0.1"), fixture.port });
        socket->send(boost::asio::buffer(sent));
        for (int left = 1; left > 0;) // Until the kernel of the server has received all.
            REQUIRE(::ioctl(socket->native_handle(), SIOCOUTQ, &left) == 0);
        return socket;
    };
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const auto idle = connect("");
    const auto busy = connect(request);
    const auto partial = connect(request.substr(0, 10));
    fixture.runUntil([&] { return pending.size() == 1 && fixture.server->openConnections() == 3; });
    const auto waiting = connect(request); // In the queue of the kernel; the event loop has not run since.
    fixture.server->finish();
    fixture.runUntil([&] { return fixture.server->openConnections() == 3 && pending.size() == 2; });
    boost::system::error_code error;
    char byte = 0;
    CHECK(idle->read_some(boost::asio::buffer(&byte, 1), error) == 0);
    fixture.server->finish();
    partial->send(boost::asio::buffer(request.substr(10)));
    fixture.runUntil([&] { return pending.size() == 3; });
    for (const auto& respond : pending)
        respond(Response {});
    pending.clear(); // Holds connections, which must not outlive the event loop.
    fixture.runUntil([&] { return fixture.server->openConnections() == 0; });
    for (auto* socket : { busy.get(), partial.get(), waiting.get() })
        CHECK(socket->read_some(boost::asio::buffer(&byte, 1), error) == 1);
    tcp::socket late(fixture.io);
    late.connect({ boost::asio::ip::make_address("127.0.0.1"), fixture.port }, error);
    CHECK(error == boost::asio::error::connection_refused);
}

// Guards against a body that exhausts the memory of a small machine.
TEST_CASE("a body over the limit is rejected", "[http]")
{
    Fixture fixture(
        [](const Request&, const Respond& respond) { respond(Response {}); }, {}, { .maxBodyBytes = 1'000 });
    CHECK(fixture.call({ "PUT", "/", std::string(2'000, 'x'), {} }).status == 413);
}

// Guards against connections that stay open for good: six were kept to each of 1,100 workers, more than a process may
// open.
TEST_CASE("idle connections are closed after the idle timeout", "[http]")
{
    Fixture fixture([](const Request&, const Respond& respond) { respond(Response {}); },
        { .idleTimeout = std::chrono::seconds(20) });
    REQUIRE(fixture.call({ "GET", "/", "", {} }).status == 200);
    fixture.clock.advance(std::chrono::seconds(19));
    fixture.client->closeIdleConnections();
    CHECK(fixture.client->openConnections() == 1);
    fixture.clock.advance(std::chrono::seconds(1));
    fixture.client->closeIdleConnections();
    CHECK(fixture.client->openConnections() == 0);
    CHECK(fixture.call({ "GET", "/", "", {} }).status == 200);
}

// Guards against a client that opens more connections than its share of the descriptors, and against requests that are
// never sent because other addresses hold all connections.
TEST_CASE("the connections of a client to all addresses are bounded", "[http]")
{
    std::vector<Respond> pending;
    const auto hold = [&](const Request&, const Respond& respond) { pending.push_back(respond); };
    Fixture fixture(hold, { .maxConnections = 2 });
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::string> addresses { fixture.address };
    for (int i = 0; i < 3; ++i) {
        const auto port = freePort();
        addresses.push_back("127.0.0.1:" + std::to_string(port));
        servers.push_back(std::make_unique<Server>(
            fixture.io, ServerOptions { .listen = { "127.0.0.1", port } }, hold, fixture.metrics));
        REQUIRE(servers.back()->start().ok());
    }
    int answered = 0;
    for (const auto& address : addresses) {
        fixture.client->call(address, { "GET", "/", "", {} }, std::chrono::seconds(60),
            [&](const ClientResponse& response) { answered += response.status == 200 ? 1 : 0; });
    }
    while (answered < 4) {
        fixture.runUntil([&] { return !pending.empty(); });
        CHECK(fixture.client->openConnections() <= 2);
        const auto respond = pending.front();
        pending.erase(pending.begin());
        respond(Response {});
        const int before = answered;
        fixture.runUntil([&] { return answered > before; });
    }
    CHECK(fixture.metrics.counter("http_client_evictions_total").value() == 2);
}

// Guards against a server that refuses new callers while it keeps connections on which nothing is sent.
TEST_CASE("a server at its limit closes the connection that has been idle longest", "[http]")
{
    Fixture fixture([](const Request&, const Respond& respond) { respond(Response {}); }, {}, { .maxConnections = 1 });
    REQUIRE(fixture.call({ "GET", "/", "", {} }).status == 200);
    Client other(fixture.io, {}, fixture.clock, fixture.metrics);
    std::optional<ClientResponse> response;
    other.call(fixture.address, { "GET", "/", "", {} }, std::chrono::seconds(60),
        [&](ClientResponse received) { response = std::move(received); });
    fixture.runUntil([&] { return response.has_value(); });
    CHECK(response->status == 200);
    CHECK(fixture.server->openConnections() == 1);
    CHECK(fixture.metrics.counter("http_connections_evicted_total").value() == 1);
}

namespace {

/// Sends a text over a connection of its own.
std::unique_ptr<tcp::socket> sendText(Fixture& fixture, const std::string& text)
{
    auto socket = std::make_unique<tcp::socket>(fixture.io);
    socket->connect({ boost::asio::ip::make_address("127.0.0.1"), fixture.port });
    socket->send(boost::asio::buffer(text));
    return socket;
}

/// Reads what the server sends until it closes the connection.
std::string readToEnd(Fixture& fixture, tcp::socket& socket)
{
    std::string received;
    bool ended = false;
    boost::asio::async_read(
        socket, boost::asio::dynamic_buffer(received), [&](const boost::system::error_code&, size_t) { ended = true; });
    fixture.runUntil([&] { return ended; });
    return received;
}

bool isRefusedWith(const std::string& response, int status)
{
    return response.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

} // namespace

// Guards against a header whose lines arrive one by one, of which the parser limits only each part.
TEST_CASE("a header over the limit is rejected however it arrives", "[http]")
{
    Fixture fixture(
        [](const Request&, const Respond& respond) { respond(Response {}); }, {}, { .maxHeaderBytes = 1'000 });
    const auto socket = sendText(fixture, "GET / HTTP/1.1\r\n");
    std::string received;
    bool ended = false;
    boost::asio::async_read(*socket, boost::asio::dynamic_buffer(received),
        [&](const boost::system::error_code&, size_t) { ended = true; });
    for (int i = 0; i < 200 && !ended; ++i) {
        boost::system::error_code ignored;
        socket->send(boost::asio::buffer(std::string("a: b\r\n")), 0, ignored);
        fixture.io.poll();
    }
    socket->shutdown(tcp::socket::shutdown_send);
    fixture.runUntil([&] { return ended; });
    CHECK(isRefusedWith(received, 431));
}

// Guards against the end of the process: with assertions, the parser aborts when the last chunk of an empty body
// arrives in two parts.
TEST_CASE("the last chunk may arrive in parts", "[http]")
{
    Fixture fixture([](const Request&, const Respond& respond) { respond(Response { .status = 204 }); });
    const std::string request = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (size_t split = 1; split < 5; ++split) {
        const std::string chunk = "0\r\n\r\n";
        const auto socket = sendText(fixture, request + chunk.substr(0, split));
        fixture.io.run_for(std::chrono::milliseconds(1));
        for (const auto byte : chunk.substr(split)) {
            socket->send(boost::asio::buffer(&byte, 1));
            fixture.io.run_for(std::chrono::milliseconds(1));
        }
        CHECK(isRefusedWith(readToEnd(fixture, *socket), 204));
    }
}

// Guards against trailers and chunk extensions without a limit.
TEST_CASE("trailers and chunk extensions over the limit are rejected", "[http]")
{
    Fixture fixture(
        [](const Request&, const Respond& respond) { respond(Response {}); }, {}, { .maxFramingBytes = 1'000 });
    const std::string header = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto trailer = sendText(fixture, header + "0\r\nX: " + std::string(2'000, 'x'));
    CHECK(isRefusedWith(readToEnd(fixture, *trailer), 431));
    std::string chunks = header;
    for (int i = 0; i < 200; ++i)
        chunks += "1;extension\r\nx\r\n";
    const auto extension = sendText(fixture, chunks);
    CHECK(isRefusedWith(readToEnd(fixture, *extension), 431));
    CHECK(fixture.metrics.counter("http_framing_refused_total").value() == 2);
}

// Guards against many requests at the limit of one, which exhaust the memory together.
TEST_CASE("the largest unfinished request is refused for a new one", "[http]")
{
    Metrics metrics;
    const auto memory = std::make_shared<MemoryShare>("requests", 100'000, metrics);
    Fixture fixture([](const Request& request, const Respond& respond) { respond(Response { .body = request.body }); },
        {}, { .memory = memory });
    const std::string header = "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n";
    const auto large = sendText(fixture, header + std::string(40'000, 'x'));
    fixture.runUntil([&] { return memory->used() > 40'000; });
    CHECK(fixture.call({ "PUT", "/", std::string(12'000, 'y'), {} }).body == std::string(12'000, 'y'));
    const auto refusal = readToEnd(fixture, *large);
    CHECK(isRefusedWith(refusal, 503));
    CHECK(refusal.find("Retry-After: 1") != std::string::npos);
    CHECK(metrics.counter("memory_requests_refused_total").value() >= 1);
}

// Guards against responses that pile up for callers that do not read.
TEST_CASE("a response without memory is replaced by a refusal", "[http]")
{
    Metrics metrics;
    const auto memory = std::make_shared<MemoryShare>("requests", 100'000, metrics);
    Fixture fixture(
        [](const Request&, const Respond& respond) { respond(Response { .body = std::string(60'000, 'x') }); }, {},
        { .memory = memory });
    const auto response = fixture.call({ "GET", "/", "", {} });
    CHECK(response.status == 503);
    CHECK(response.body.empty());
}

// Guards against bytes of a request that are taken for the next one.
TEST_CASE("a request whose end is not clear is rejected", "[http]")
{
    std::vector<std::string> targets;
    Fixture fixture([&](const Request& request, const Respond& respond) {
        targets.push_back(request.target);
        respond(Response {});
    });
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    for (const std::string fields :
        { "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
            "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked, gzip\r\n",
            "Transfer-Encoding: gzip, chunked\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n",
            "Content-Length: -1\r\n", "Content-Length: 99999999999999999999\r\n" }) {
        const auto socket
            = sendText(fixture, "POST /first HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n0\r\n\r\n" + smuggled);
        const auto response = readToEnd(fixture, *socket);
        CAPTURE(fields, response);
        CHECK((isRefusedWith(response, 400) || isRefusedWith(response, 413)));
    }
    CHECK(targets.empty());
}
