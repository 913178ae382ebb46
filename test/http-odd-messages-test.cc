// Odd HTTP messages from a seeded generator, over the real server and client on loopback.
#include "free-address.h"
#include "turmericpier/http/client.h"
#include "turmericpier/http/server.h"

#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <random>
#include <thread>

using namespace turmericpier;
using namespace turmericpier::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using turmericpier::test::freePort;

namespace {

constexpr unsigned seed = 20'261'206;

/// Makes messages of which about half are malformed. The token stands in their targets and bodies.
class Generator {
public:
    std::string request(const std::string& token)
    {
        std::string text = pick({ "GET", "POST", "PUT", "DELETE", "get", "", "\x01" })
            + pick({ " ", " ", " ", "  ", "\t" }) + "/" + token + pick({ "", "", "?x", " y", std::string("\0", 1) })
            + pick({ " HTTP/1.1", " HTTP/1.1", " HTTP/1.1", " HTTP/1.0", " HTTP/9.9", "" }) + lineEnd();
        text += "Host: a" + lineEnd();
        return text + fieldsAndBody(token);
    }

    std::string response(const std::string& token)
    {
        std::string text;
        for (int i = number(0, 9) == 0 ? number(1, 200) : 0; i > 0; --i)
            text += "HTTP/1.1 " + pick({ "100 Continue", "103 Early Hints", "101 Switching Protocols" }) + "\r\n\r\n";
        text += pick({ "HTTP/1.1", "HTTP/1.1", "HTTP/1.0", "HTTP/2", "" })
            + pick({ " 200 OK", " 200 OK", " 204 No Content", " 099 x", " 99999 x", "" }) + lineEnd();
        return text + fieldsAndBody(token);
    }

    /// Cuts a message off, or returns it whole.
    std::string truncated(std::string text)
    {
        if (number(0, 3) == 0 && !text.empty())
            text.resize(static_cast<size_t>(number(0, static_cast<int>(text.size()) - 1)));
        return text;
    }

    int number(int from, int to) { return std::uniform_int_distribution<int>(from, to)(m_random); }

private:
    std::string pick(std::initializer_list<std::string> choices)
    {
        return *(choices.begin() + number(0, static_cast<int>(choices.size()) - 1));
    }

    std::string lineEnd() { return number(0, 30) == 0 ? pick({ "\n", "\r", "\r\r\n" }) : "\r\n"; }

    std::string fieldsAndBody(const std::string& token)
    {
        std::string text;
        for (int i = number(0, 3); i > 0; --i)
            text += pick({ "X: y", "X:", ": y", "X y", "Connection: close", "Connection: keep-alive, x",
                        "Expect: 100-continue", "Upgrade: h2c", std::string("X: \0", 4),
                        "X: " + std::string(number(0, 20'000), 'x') })
                + lineEnd();
        const std::string body = token + std::string(static_cast<size_t>(number(0, 3'000)), 'b');
        switch (number(0, 4)) {
        case 0:
            return text + lineEnd();
        case 1:
            return text + "Content-Length: "
                + pick({ std::to_string(body.size()), std::to_string(body.size()), std::to_string(body.size() + 5), "0",
                    "-1", "18446744073709551616", "1e3", "0x10", "5, 6", "" })
                + lineEnd() + lineEnd() + body;
        case 2:
            text += "Content-Length: 4" + lineEnd();
            [[fallthrough]];
        default:
            return text + "Transfer-Encoding: " + pick({ "chunked", "chunked", "chunked", "gzip", "chunked, chunked" })
                + lineEnd() + lineEnd() + chunks(body);
        }
    }

    std::string chunks(const std::string& body)
    {
        std::string text;
        size_t at = 0;
        while (at < body.size()) {
            const auto size = std::min(body.size() - at, static_cast<size_t>(number(1, 900)));
            std::array<char, 32> hex {};
            std::snprintf(hex.data(), hex.size(), "%zx", size);
            text += std::string(hex.data())
                + pick({ "", "", "", ";a=b", ";\"", ";" + std::string(number(0, 2'000), 'e') }) + lineEnd()
                + body.substr(at, size) + lineEnd();
            at += size;
        }
        text += pick({ "0", "0", "0", "000", "ffffffffffffffff", "g", "" }) + lineEnd();
        for (int i = number(0, 2); i > 0; --i)
            text += pick({ "T: u", "Content-Length: 3", "Transfer-Encoding: chunked", "T" }) + lineEnd();
        return text + lineEnd();
    }

    std::mt19937 m_random { seed };
};

/// Sends a text in parts, between which `run` is called.
void sendInParts(tcp::socket& socket, const std::string& text, Generator& generator, const std::function<void()>& run)
{
    size_t at = 0;
    error_code error;
    while (at < text.size() && !error) {
        const auto left = static_cast<int>(text.size() - at);
        const auto size
            = static_cast<size_t>(generator.number(0, 2) == 0 ? generator.number(1, std::min(left, 5)) : left);
        boost::asio::write(socket, boost::asio::buffer(text.data() + at, size), error);
        at += size;
        run();
    }
}

/// Returns true if a response is not the one behind another response, and if all tokens in it have this number.
bool holdsOnly(const std::string& body, int number)
{
    const auto own = "n" + std::to_string(number) + ".";
    for (size_t at = body.find('n'); at != std::string::npos; at = body.find('n', at + 1)) {
        const auto end = body.find_first_not_of("0123456789", at + 1);
        if (end != std::string::npos && end > at + 1 && body[end] == '.' && body.substr(at, end + 1 - at) != own)
            return false;
    }
    return body != "stale";
}

} // namespace

// Guards against messages that end the process or keep memory, and against bytes of one caller in the response to
// another.
TEST_CASE("odd requests do not affect other callers", "[http]")
{
    constexpr int messages = 1'500;
    boost::asio::io_context io;
    const auto work = boost::asio::make_work_guard(io); // Between two requests there may be nothing to wait for.
    Metrics metrics;
    ManualClock clock;
    Generator generator;
    const auto port = freePort();
    const auto memory = std::make_shared<MemoryShare>("requests", 1U << 20U, metrics);
    std::vector<std::string> targets;
    Server server(
        io, { .listen = { "127.0.0.1", port }, .maxBodyBytes = 65'536, .memory = memory },
        [&](const Request& request, const Respond& respond) {
            targets.push_back(request.target);
            respond(Response { .body = request.target + request.body });
        },
        metrics);
    REQUIRE(server.start().ok());
    {
        Client client(io, {}, clock, metrics);
        for (int i = 0; i < messages; ++i) {
            CAPTURE(i);
            tcp::socket socket(io);
            socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
            const auto token = "odd" + std::to_string(i) + ".";
            sendInParts(socket, generator.truncated(generator.request(token)), generator, [&] { io.poll(); });
            std::optional<ClientResponse> response;
            const auto honest = "honest" + std::to_string(i) + ".";
            client.call("127.0.0.1:" + std::to_string(port), { "PUT", "/" + honest, honest, {} },
                std::chrono::seconds(60), [&](ClientResponse received) { response = std::move(received); });
            while (!response)
                io.run_one();
            REQUIRE(response->status == 200);
            REQUIRE(response->body == "/" + honest + honest);
            error_code error;
            socket.non_blocking(true);
            std::array<char, 65'536> received {};
            const auto size = socket.read_some(boost::asio::buffer(received), error);
            REQUIRE(std::string_view(received.data(), size).find("honest") == std::string_view::npos);
        }
    }
    for (const auto& target : targets)
        REQUIRE((target.starts_with("/odd") || target.starts_with("/honest")));
    while (server.openConnections() > 0)
        io.run_one();
    CHECK(memory->used() == 0);
}

// Guards against responses that end the process, or that are taken for the response to a later request.
TEST_CASE("odd responses do not affect later requests", "[http]")
{
    constexpr int messages = 600;
    boost::asio::io_context io;
    const auto work = boost::asio::make_work_guard(io); // Between two requests there may be nothing to wait for.
    Metrics metrics;
    ManualClock clock;
    Generator generator;
    tcp::acceptor acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    const auto memory = std::make_shared<MemoryShare>("answers", 1U << 20U, metrics);
    std::atomic<bool> stopped = false;
    // Answers each request with an odd response that carries its number, sometimes with a second response behind it.
    std::thread answering([&] {
        boost::asio::io_context own;
        tcp::acceptor accepted(own, tcp::v4(), acceptor.release());
        while (!stopped) {
            tcp::socket socket(own);
            error_code error;
            accepted.accept(socket, error);
            std::string received;
            while (!error) {
                const auto end
                    = boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
                if (error)
                    break;
                const auto number = received.substr(5, received.find(' ', 5) - 5);
                received.erase(0, end);
                const auto text = generator.response("n" + number + ".");
                // What arrives after the next request was sent cannot be told from its response, so a second response
                // goes out together with the whole first one.
                if (generator.number(0, 4) == 0)
                    boost::asio::write(
                        socket, boost::asio::buffer(text + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"), error);
                else
                    sendInParts(socket, generator.truncated(text), generator, [] {});
                if (generator.number(0, 3) > 0)
                    break;
            }
        }
    });
    std::vector<std::string> mixedUp; ///< Responses with bytes of another one.
    {
        Client client(io, { .connectionsPerAddress = 1, .memory = memory }, clock, metrics);
        for (int i = 0; i < messages; ++i) {
            int calls = 0;
            ClientResponse response;
            client.call(address, { "GET", "/" + std::to_string(i), "", {} }, std::chrono::milliseconds(200),
                [&](ClientResponse received) {
                    response = std::move(received);
                    ++calls;
                });
            while (calls == 0)
                io.run_one();
            if (calls > 1 || !holdsOnly(response.body, i))
                mixedUp.push_back(std::to_string(i) + ": " + response.body.substr(0, 80));
        }
    }
    // The client has closed its connection, on which the thread may wait for a request.
    {
        stopped = true;
        error_code ignored;
        tcp::socket last(io);
        const auto colon = address.rfind(':');
        last.connect(
            { boost::asio::ip::make_address("127.0.0.1"), static_cast<uint16_t>(std::stoi(address.substr(colon + 1))) },
            ignored);
        last.close();
        answering.join();
    }
    io.poll();
    CHECK(mixedUp == std::vector<std::string> {});
    CHECK(memory->used() == 0);
}
