#include "turmericpier/cell/links.h"

#include "free-address.h"
#include "turmericpier/peer/address.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <list>

using namespace turmericpier;
using namespace turmericpier::cell;
using boost::asio::ip::tcp;
using boost::system::error_code;
using record::CallKind;
using std::chrono::milliseconds;
using turmericpier::test::freeAddress;

namespace {

tcp::endpoint endpointOf(const std::string& address)
{
    const auto parsed = peer::parseAddress(address);
    return { boost::asio::ip::make_address(parsed->host), parsed->port };
}

/// Forwards connections until it is told to keep the present ones open and to forward nothing more on them.
class Middlebox {
public:
    Middlebox(boost::asio::io_context& io, const std::string& address, const std::string& target)
        : m_io(io)
        , m_acceptor(io, endpointOf(address))
        , m_target(endpointOf(target))
    {
        accept();
    }

    void silence()
    {
        for (auto& connection : m_connections)
            connection->silent = true;
    }

private:
    struct Connection {
        tcp::socket source;
        tcp::socket target;
        std::array<char, 4096> buffer {};
        bool silent = false;
    };

    void accept()
    {
        m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
            if (error)
                return;
            auto connection
                = std::make_shared<Connection>(Connection { std::move(socket), tcp::socket(m_io), {}, false });
            m_connections.push_back(connection);
            connection->target.connect(m_target, error);
            forward(connection);
            accept();
        });
    }

    void forward(const std::shared_ptr<Connection>& connection)
    {
        connection->source.async_read_some(
            boost::asio::buffer(connection->buffer), [this, connection](error_code error, size_t size) {
                if (error)
                    connection->target.close(error);
                else if (connection->silent)
                    forward(connection);
                else
                    boost::asio::async_write(connection->target, boost::asio::buffer(connection->buffer, size),
                        [this, connection](error_code, size_t) { forward(connection); });
            });
    }

    boost::asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    const tcp::endpoint m_target;
    std::list<std::shared_ptr<Connection>> m_connections;
};

record::ReplyT replyOf(const std::string& message)
{
    record::ReplyT reply;
    reply.message = message;
    return reply;
}

/// Calls until a reply comes, or `attempts` calls had none. Returns the number of calls without a reply.
int callUntilAnswered(boost::asio::io_context& io, Links& from, const std::string& to, int attempts)
{
    for (int i = 0; i < attempts; ++i) {
        bool done = false;
        bool answered = false;
        from.call(to, {}, milliseconds(50), [&](const std::optional<record::ReplyT>& reply) {
            answered = reply.has_value();
            done = true;
        });
        while (!done)
            io.run_one();
        if (answered)
            return i;
    }
    return attempts;
}

} // namespace

// Guards against a process that is cut off for good because a middlebox acknowledges what it no longer forwards.
TEST_CASE("a connection that delivers nothing is replaced", "[cell]")
{
    boost::asio::io_context io;
    Metrics metrics;
    const auto toFirst = freeAddress();
    const auto toSecond = freeAddress();
    const auto makeOptions = [](const std::string& address, const std::string& listen) {
        LinksOptions options { .self = address + "/a" };
        options.listen = listen;
        options.probeInterval = milliseconds(20);
        return options;
    };
    const auto firstListen = freeAddress();
    const auto secondListen = freeAddress();
    Links first(io, makeOptions(toFirst, firstListen), metrics);
    Links second(io, makeOptions(toSecond, secondListen), metrics);
    for (auto* links : { &first, &second }) {
        links->setCallHandler([](const std::string&, std::unique_ptr<record::CallT>, const Links::Answer& answer) {
            answer(replyOf("here"));
        });
        REQUIRE(links->start().ok());
    }
    Middlebox firstBox(io, toFirst, firstListen);
    Middlebox secondBox(io, toSecond, secondListen);
    constexpr int attempts = 200;
    REQUIRE(callUntilAnswered(io, first, toSecond, attempts) < attempts);
    REQUIRE(callUntilAnswered(io, second, toFirst, attempts) < attempts);
    const auto direction = GENERATE(1, 2, 3);
    while (metrics.counter("cell_probes_answered_total").value() < 2)
        callUntilAnswered(io, first, toSecond, 1);
    if (direction & 1)
        firstBox.silence();
    if (direction & 2)
        secondBox.silence();
    CHECK(callUntilAnswered(io, first, toSecond, attempts) < attempts);
    CHECK(callUntilAnswered(io, second, toFirst, attempts) < attempts);
    first.stop();
    second.stop();
}

// Guards against a restarted process that takes a late reply to its predecessor for the one to its own call.
TEST_CASE("a reply to an earlier process completes no call of the next one", "[cell]")
{
    boost::asio::io_context io;
    Metrics metrics;
    const auto serverAddress = freeAddress();
    const auto self = freeAddress() + "/control";
    std::vector<Links::Answer> answers;
    Links server(io, { .self = serverAddress + "/server" }, metrics);
    server.setCallHandler([&](const std::string&, std::unique_ptr<record::CallT>, const Links::Answer& answer) {
        answers.push_back(answer);
    });
    REQUIRE(server.start().ok());
    // Calls that are sent while there is no connection may be lost.
    const auto callUntilReceived = [&](Links& from, const Links::ReplyCallback& done) {
        for (const auto received = answers.size(); answers.size() == received;) {
            bool timedOut = false;
            from.call(serverAddress, {}, std::chrono::hours(1), done);
            boost::asio::steady_timer timer(io, milliseconds(50));
            timer.async_wait([&](error_code) { timedOut = true; });
            while (!timedOut)
                io.run_one();
        }
    };
    {
        Links former(io, { .self = self }, metrics);
        REQUIRE(former.start().ok());
        callUntilReceived(former, [](const std::optional<record::ReplyT>&) {});
        former.stop();
    }
    const auto late = answers;
    answers.clear();
    Links next(io, { .self = self }, metrics);
    REQUIRE(next.start().ok());
    std::vector<std::string> replies;
    callUntilReceived(next, [&](const std::optional<record::ReplyT>& reply) { replies.push_back(reply->message); });
    while (replies.empty()) {
        for (const auto& answer : late)
            answer(replyOf("late"));
        for (const auto& answer : answers)
            answer(replyOf("to this process"));
        io.run_for(milliseconds(10));
    }
    CHECK(replies.front() == "to this process");
    next.stop();
    server.stop();
}
