#include "turmericpier/http/server.h"

#include "free-address.h"
#include "turmericpier/http/client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::http;
using boost::asio::ip::tcp;
using turmericpier::test::freeAddress;
using turmericpier::test::freePort;

namespace {

struct Pair {
    boost::asio::io_context io;
    Metrics metrics;
    uint16_t port = freePort();
    std::string address = "127.0.0.1:" + std::to_string(port);
    std::unique_ptr<Server> server;
    std::unique_ptr<Client> client;

    explicit Pair(Handler handler, ClientOptions options = {}, ServerOptions serverOptions = {})
    {
        serverOptions.listen = { "127.0.0.1", port };
        server = std::make_unique<Server>(io, serverOptions, std::move(handler), metrics, "X-Deadline");
        REQUIRE(server->start().ok());
        client = std::make_unique<Client>(io, options, metrics);
    }
    /// Runs the event loop until `done` holds.
    void runUntil(const std::function<bool()>& done)
    {
        while (!done())
            io.run_one();
    }
    ClientAnswer call(ClientRequest request)
    {
        std::optional<ClientAnswer> answer;
        client->call(address, std::move(request), std::chrono::seconds(60),
            [&](ClientAnswer given) { answer = std::move(given); });
        runUntil([&] { return answer.has_value(); });
        return *answer;
    }
};

} // namespace

// Guards against members of a request or response that are lost on their way.
TEST_CASE("a request reaches the handler and its response the client", "[http]")
{
    Request seen;
    Pair pair([&](Request request, const Respond& respond) {
        seen = std::move(request);
        respond(Response { .status = 409, .body = "{\"a\":1}", .headers = { { "Retry-After", "1" } } });
    });
    const auto answer = pair.call({ "PUT", "/x?y", "body", { { "X-Deadline", "250" } } });
    CHECK(answer.fault == CallFault::None);
    CHECK(answer.status == 409);
    CHECK(answer.body == "{\"a\":1}");
    CHECK(seen.method == "PUT");
    CHECK(seen.target == "/x?y");
    CHECK(seen.body == "body");
    CHECK(seen.deadline == "250");
}

// Guards against a new connection for each request.
TEST_CASE("connections are kept and bounded", "[http]")
{
    std::vector<Respond> waiting;
    Pair pair(
        [&](const Request&, const Respond& respond) { waiting.push_back(respond); }, { .connectionsPerAddress = 2 });
    int answered = 0;
    for (int i = 0; i < 5; ++i)
        pair.client->call(
            pair.address, { "GET", "/", "", {} }, std::chrono::seconds(60), [&](const ClientAnswer&) { ++answered; });
    while (answered < 5) {
        pair.runUntil([&] { return !waiting.empty(); });
        CHECK(waiting.size() <= 2);
        const auto respond = waiting.back();
        waiting.pop_back();
        respond(Response {});
        const int before = answered;
        pair.runUntil([&] { return answered > before; });
    }
    CHECK(pair.metrics.counter("http_client_connects_total").value() == 2);
}

// Guards against a request that was not sent being taken for one that may have been carried out.
TEST_CASE("a closed port refuses and a broken answer is in doubt", "[http]")
{
    Pair pair([](const Request&, const Respond& respond) { respond(std::nullopt); });
    CHECK(pair.call({ "GET", "/", "", {} }).fault == CallFault::NoAnswer);
    const auto closed = freeAddress();
    std::optional<ClientAnswer> answer;
    pair.client->call(
        closed, { "GET", "/", "", {} }, std::chrono::seconds(60), [&](ClientAnswer given) { answer = given; });
    pair.runUntil([&] { return answer.has_value(); });
    CHECK(answer->fault == CallFault::Refused);
    answer.reset();
    pair.client->call(
        "no address", { "GET", "/", "", {} }, std::chrono::seconds(60), [&](ClientAnswer given) { answer = given; });
    pair.runUntil([&] { return answer.has_value(); });
    CHECK(answer->fault == CallFault::Unreachable);
}

// Guards against a planned stop that breaks off a request, and against connections that stay open after it.
TEST_CASE("a draining server answers what it has read and closes the connection", "[http]")
{
    std::vector<Respond> waiting;
    Pair pair([&](const Request&, const Respond& respond) { waiting.push_back(respond); });
    std::optional<ClientAnswer> answer;
    pair.client->call(
        pair.address, { "GET", "/", "", {} }, std::chrono::seconds(60), [&](ClientAnswer given) { answer = given; });
    pair.runUntil([&] { return !waiting.empty(); });
    pair.server->drain();
    CHECK(pair.server->requestsInFlight() == 1);
    waiting.front()(Response { .body = "{}" });
    pair.runUntil([&] { return answer.has_value(); });
    CHECK(answer->status == 200);
    CHECK(pair.server->requestsInFlight() == 0);
    waiting.clear(); // it holds a connection, which must not outlive the event loop
}

// Guards against a body that fills the memory of a small machine.
TEST_CASE("a body over the limit is refused", "[http]")
{
    Pair pair([](const Request&, const Respond& respond) { respond(Response {}); }, {}, { .maxBodyBytes = 1'000 });
    CHECK(pair.call({ "PUT", "/", std::string(2'000, 'x'), {} }).status == 413);
}
