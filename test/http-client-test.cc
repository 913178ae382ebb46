#include "turmericpier/http/client.h"

#include "free-address.h"
#include "turmericpier/http/server.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

/// Tests of requests that are bound to one of the processes that serve an address one after the other.

using namespace turmericpier;
using namespace turmericpier::http;
using std::chrono::milliseconds;

namespace {

/// A client, and a server that answers identity checks with its name and can be replaced by another one at its address.
struct BindingFixture {
    boost::asio::io_context io;
    Metrics metrics;
    ManualClock clock;
    const uint16_t port = turmericpier::test::freePort();
    const std::string address = "127.0.0.1:" + std::to_string(port);
    std::vector<std::string> received; ///< Name of the server and target of each request.
    std::vector<Respond> held;
    bool holdsAnswers = false;
    unsigned status = 200; ///< Of the answers to identity checks.
    std::unique_ptr<Server> server;
    Client client { io, { .connectionsPerAddress = 2 }, clock, metrics };
    size_t unanswered = 0;

    BindingFixture() { serve("first"); }

    void serve(const std::string& name)
    {
        server.reset();
        held.clear();
        server = std::make_unique<Server>(
            io, ServerOptions { .listen = { "127.0.0.1", port } },
            [this, name](const Request& request, const Respond& respond) {
                received.push_back(name + " " + request.target);
                if (holdsAnswers)
                    held.push_back(respond);
                else
                    respond(Response { .status = request.target == "/who" ? status : 200, .body = name });
            },
            metrics);
        REQUIRE(server->start().ok());
        io.poll(); // The client sees the end of its connections.
    }

    PeerBinding bindTo(const std::string& name) const
    {
        return { name,
            [] {
                return ClientRequest { "GET", "/who", "", {} };
            },
            milliseconds(60'000),
            [](const ClientResponse& response) {
                return response.fault == CallFault::None && response.status == 200 ? response.body : std::string();
            } };
    }

    std::shared_ptr<std::optional<ClientResponse>> send(const std::string& target, std::optional<PeerBinding> binding)
    {
        auto response = std::make_shared<std::optional<ClientResponse>>();
        ++unanswered;
        client.call(
            address, { "POST", target, "{}", {} }, milliseconds(60'000),
            [this, response](ClientResponse answer) {
                --unanswered;
                *response = std::move(answer);
            },
            std::move(binding));
        return response;
    }
    ClientResponse call(const std::string& target, std::optional<PeerBinding> binding)
    {
        const auto response = send(target, std::move(binding));
        runUntil([&] { return response->has_value(); });
        return **response;
    }
    void runUntil(const std::function<bool()>& done)
    {
        while (!done())
            io.run_one();
    }
    size_t count(const std::string& request) const
    {
        return static_cast<size_t>(std::ranges::count(received, request));
    }
};

} // namespace

// Guards against an identity check for each request, which would double the load of the server.
TEST_CASE("a connection is asked once for its server", "[http]")
{
    BindingFixture fixture;
    for (int i = 0; i < 3; ++i)
        CHECK(fixture.call("/order", fixture.bindTo("first")).fault == CallFault::None);
    CHECK(fixture.count("first /who") == 1);
    CHECK(fixture.count("first /order") == 3);
}

// Guards against a request that reaches a process for which it was not meant.
TEST_CASE("a bound request is not sent to another server at its address", "[http]")
{
    BindingFixture fixture;
    fixture.call("/order", fixture.bindTo("first"));
    fixture.serve("second");
    const auto response = fixture.call("/order", fixture.bindTo("first"));
    CHECK(response.fault == CallFault::OtherPeer);
    CHECK(response.body == "second");
    CHECK(fixture.count("second /order") == 0);
    CHECK(fixture.call("/order", fixture.bindTo("second")).fault == CallFault::None);
    CHECK(fixture.count("second /who") == 1);
}

// Guards against an identity check on a new connection for each request that waits for a process that is gone.
TEST_CASE("requests that wait for another server fail with the first one", "[http]")
{
    BindingFixture fixture;
    fixture.serve("second");
    std::vector<std::shared_ptr<std::optional<ClientResponse>>> responses;
    for (int i = 0; i < 10; ++i)
        responses.push_back(fixture.send("/order", fixture.bindTo("first")));
    fixture.runUntil([&] { return fixture.unanswered == 0; });
    for (const auto& response : responses)
        CHECK((*response)->fault == CallFault::OtherPeer);
    CHECK(fixture.count("second /who") == 2); // One on each connection that there may be.
    CHECK(fixture.count("second /order") == 0);
}

// Guards against a request that is sent although the server refused the check, and counts as in doubt or as lost.
TEST_CASE("the refusal of an identity check is the response to its request", "[http]")
{
    BindingFixture fixture;
    fixture.status = 409;
    const auto response = fixture.call("/order", fixture.bindTo("first"));
    CHECK(response.fault == CallFault::None);
    CHECK(response.status == 409);
    CHECK_FALSE(response.isRequestSent);
    CHECK(fixture.count("first /order") == 0);
}

// Guards against a request that counts as in doubt although only its identity check was sent.
TEST_CASE("a request whose identity check gets no answer was not sent", "[http]")
{
    BindingFixture fixture;
    fixture.holdsAnswers = true;
    const auto response = fixture.send("/order", fixture.bindTo("first"));
    fixture.runUntil([&] { return fixture.held.size() == 1; });
    fixture.held.front()(std::nullopt); // Closes the connection.
    fixture.runUntil([&] { return response->has_value(); });
    CHECK((*response)->fault == CallFault::Unreachable);
    CHECK(fixture.count("first /order") == 0);
}

// Guards against connections to a former server that keep a bound request waiting.
TEST_CASE("idle connections to another server make room for a bound request", "[http]")
{
    BindingFixture fixture;
    fixture.holdsAnswers = true;
    fixture.send("/order", fixture.bindTo("first"));
    fixture.send("/order", fixture.bindTo("first"));
    fixture.runUntil([&] { return fixture.held.size() == 2; });
    for (const auto& respond : std::exchange(fixture.held, {}))
        respond(Response { .body = "first" });
    fixture.runUntil([&] { return fixture.held.size() == 2; });
    for (const auto& respond : std::exchange(fixture.held, {}))
        respond(Response {});
    fixture.runUntil([&] { return fixture.unanswered == 0; });
    fixture.holdsAnswers = false;
    CHECK(fixture.call("/order", fixture.bindTo("later")).fault == CallFault::OtherPeer);
    CHECK(fixture.count("first /who") == 3);
    CHECK(fixture.count("first /order") == 2);
}

// Guards against an order that is sent on another connection than the one whose server was verified.
TEST_CASE("a bound request is not sent if the connection ends with the identity check", "[http]")
{
    BindingFixture fixture;
    fixture.call("/plain", std::nullopt);
    fixture.server->drain(); // Closes the connection after the next response.
    CHECK(fixture.call("/order", fixture.bindTo("first")).fault == CallFault::Unreachable);
    CHECK(fixture.received == std::vector<std::string> { "first /plain", "first /who" });
}

// Guards against a request that is sent late because its identity check has taken long.
TEST_CASE("a request is not sent if its identity check ends too late", "[http]")
{
    BindingFixture fixture;
    fixture.holdsAnswers = true;
    const auto response = fixture.send("/order", fixture.bindTo("first"));
    fixture.runUntil([&] { return fixture.held.size() == 1; });
    fixture.clock.advance(milliseconds(1'001));
    fixture.held.front()(Response { .body = "first" });
    fixture.runUntil([&] { return response->has_value(); });
    CHECK((*response)->fault == CallFault::Unreachable);
    CHECK(fixture.count("first /order") == 0);
}

// Guards against orders that are sent long after they were given, when their sender may believe otherwise.
TEST_CASE("a request that has waited too long for a connection is not sent", "[http]")
{
    BindingFixture fixture;
    fixture.holdsAnswers = true;
    fixture.send("/order", std::nullopt);
    fixture.send("/order", std::nullopt);
    const auto expired = fixture.send("/order", std::nullopt);
    fixture.runUntil([&] { return fixture.held.size() == 2; });
    fixture.clock.advance(milliseconds(1'001));
    const auto late = fixture.send("/later", std::nullopt);
    for (const auto& respond : std::exchange(fixture.held, {}))
        respond(Response {});
    fixture.runUntil([&] { return fixture.held.size() == 1 && fixture.unanswered == 1; });
    CHECK(fixture.received == std::vector<std::string> { "first /order", "first /order", "first /later" });
    fixture.held.front()(Response {});
    fixture.runUntil([&] { return late->has_value(); });
    CHECK((*late)->fault == CallFault::None);
    REQUIRE(expired->has_value());
    CHECK((*expired)->fault == CallFault::Unreachable);
}
