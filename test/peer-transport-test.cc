#include "turmericpier/peer/transport.h"

#include "peer-samples.h"
#include "turmericpier/peer/frame.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

using namespace turmericpier;
using namespace turmericpier::peer;

namespace {
/// A transport on a free loopback port that records what it receives.
struct Node {
    explicit Node(const std::string& id, std::map<InstanceId, Address> peers = {}, uint16_t port = 0,
        size_t maxIncoming = 256, size_t memoryBytes = 0)
        : transport({ .self = InstanceId(id),
                        .incarnation = Incarnation { 5 },
                        .listen = { "127.0.0.1", port },
                        .peers = std::move(peers),
                        .maxIncoming = maxIncoming,
                        .memoryBytes = memoryBytes },
            metrics)
    {
        transport.setHandler([this](Envelope envelope) {
            std::lock_guard lock(mutex);
            received.push_back(std::move(envelope));
            changed.notify_all();
        });
        REQUIRE(transport.start().ok());
    }

    void waitFor(size_t count)
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return received.size() >= count; });
    }

    Address address() const { return { "127.0.0.1", transport.port() }; }

    Metrics metrics;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<Envelope> received;
    Transport transport;
};

/// Sends repeatedly until the receiver has a message, because messages queued during a failed connect are dropped.
void sendUntilReceived(Node& from, Node& to, const InstanceId& id)
{
    while (true) {
        from.transport.send(id, numberedEnvelope(1));
        std::unique_lock lock(to.mutex);
        if (to.changed.wait_for(lock, std::chrono::milliseconds(20), [&] { return !to.received.empty(); }))
            return;
    }
}

/// Sends raw bytes over a separate connection and waits for the node to close it.
void sendRaw(const Address& address, const std::string& bytes, bool endsStream)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect({ boost::asio::ip::make_address(address.host), address.port });
    boost::system::error_code ignored; // The node closes the connection at the first invalid byte.
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    if (endsStream)
        socket.shutdown(tcp::socket::shutdown_send, ignored);
    std::string rest;
    boost::asio::read(socket, boost::asio::dynamic_buffer(rest), ignored);
    CHECK(rest.empty());
}
} // namespace

// Guards against reordered or duplicated messages and a wrong sender.
TEST_CASE("messages arrive once, in order and with their sender", "[peer]")
{
    Node b("b");
    Node a("a", { { InstanceId("b"), b.address() } });
    constexpr uint64_t count = 2'000;
    for (uint64_t i = 0; i < count; ++i)
        REQUIRE(a.transport.send(InstanceId("b"), numberedEnvelope(i)));
    b.waitFor(count);
    for (uint64_t i = 0; i < count; ++i) {
        REQUIRE(b.received[i].correlation == i);
        REQUIRE(b.received[i].from == "a");
        REQUIRE(b.received[i].incarnation == 5);
        REQUIRE(b.received[i].body.AsConsensus()->entries.size() == 1);
    }
}

// Guards against dropping a snapshot because it exceeds the size of a frame or of the queue.
TEST_CASE("a message longer than a frame arrives among other messages", "[peer]")
{
    Node b("b");
    Node a("a", { { InstanceId("b"), b.address() } });
    sendUntilReceived(a, b, InstanceId("b"));
    const auto large = appendEnvelope(5, maxFrameBody);
    const std::string expected = serialize(large);
    CHECK(a.transport.send(InstanceId("b"), numberedEnvelope(2)));
    CHECK(a.transport.send(InstanceId("b"), large));
    std::unique_lock lock(b.mutex);
    b.changed.wait(lock, [&] { return b.received.back().correlation == large.correlation; });
    auto received = std::move(b.received.back());
    received.incarnation = large.incarnation;
    received.from = large.from;
    CHECK(serialize(received) == expected);
}

// Guards against sending a message to this process over the network or losing it.
TEST_CASE("a message to this process is passed to its handler", "[peer]")
{
    Node a("a");
    REQUIRE(a.transport.send(InstanceId("a"), numberedEnvelope(4)));
    a.waitFor(1);
    CHECK(a.received[0].correlation == 4);
    CHECK(a.received[0].from == "a");
}

// Guards against a sender that does not reconnect to a restarted process.
TEST_CASE("messages reach a restarted peer", "[peer]")
{
    auto b = std::make_unique<Node>("b");
    const Address address = b->address();
    Node a("a", { { InstanceId("b"), address } });
    sendUntilReceived(a, *b, InstanceId("b"));
    b.reset();
    b = std::make_unique<Node>("b", std::map<InstanceId, Address> {}, address.port);
    sendUntilReceived(a, *b, InstanceId("b"));
}

// Guards against sending to the previous address of a peer.
TEST_CASE("messages go to the new address of a peer", "[peer]")
{
    Node first("b");
    Node second("b");
    Node a("a", { { InstanceId("b"), first.address() } });
    sendUntilReceived(a, first, InstanceId("b"));
    a.transport.setPeer(InstanceId("b"), second.address());
    sendUntilReceived(a, second, InstanceId("b"));
}

// Guards against a queue that grows without bound or blocks while its peer is unreachable.
TEST_CASE("messages to a full queue or an unknown peer are dropped and counted", "[peer]")
{
    Metrics metrics;
    // The transport is not started, so that no message leaves the queue.
    Transport transport({ .self = InstanceId("a"), .peers = { { InstanceId("b"), {} } }, .queuePerPeer = 2 }, metrics);
    CHECK(transport.send(InstanceId("b"), numberedEnvelope(1)));
    CHECK(transport.send(InstanceId("b"), numberedEnvelope(2)));
    CHECK_FALSE(transport.send(InstanceId("b"), numberedEnvelope(3)));
    CHECK_FALSE(transport.send(InstanceId("c"), numberedEnvelope(4)));
    CHECK(metrics.counter("peer_messages_dropped_total").value() == 2);
    CHECK(transport.dump().find("\"queued\":2") != std::string::npos);
}

// Guards against counting sent messages as queued, which would fill the queue for good.
TEST_CASE("sent messages free space in the queue", "[peer]")
{
    Node b("b");
    Metrics metrics;
    Transport transport({ .self = InstanceId("a"),
                            .listen = { "127.0.0.1", 0 },
                            .peers = { { InstanceId("b"), b.address() } },
                            .queuePerPeer = 2,
                            .queueBytesPerPeer = 400 },
        metrics);
    REQUIRE(transport.start().ok());
    for (uint64_t i = 1; i <= 50; ++i) {
        // The previous message may arrive before its sender has updated the size of the queue.
        while (!transport.send(InstanceId("b"), numberedEnvelope(i)))
            std::this_thread::yield();
        b.waitFor(i);
    }
    CHECK(b.received.back().correlation == 50);
}

// Guards against a start that reports success although another process uses the address.
TEST_CASE("an address in use is an error that names the address", "[peer]")
{
    Node a("a");
    Metrics metrics;
    Transport second({ .self = InstanceId("b"), .listen = a.address() }, metrics);
    const auto status = second.start();
    REQUIRE_FALSE(status.ok());
    CHECK(std::string(status.message()).find(std::to_string(a.transport.port())) != std::string::npos);
}

// Guards against a malformed frame that is not counted, leaves its connection open or affects other connections.
TEST_CASE("a malformed frame closes its connection and is counted by reason", "[peer]")
{
    Node b("b");
    Node a("a", { { InstanceId("b"), b.address() } });
    sendUntilReceived(a, b, InstanceId("b"));
    const std::string good = *encodeFrame(numberedEnvelope(7));
    const auto flipBitAt = [&](size_t at) {
        std::string frame = good;
        frame[at] = static_cast<char>(frame[at] ^ 1);
        return frame;
    };
    sendRaw(b.address(), "GET / HTTP/1.1\r\n\r\n", false);
    sendRaw(b.address(), flipBitAt(4), false);
    sendRaw(b.address(), flipBitAt(6), false);
    sendRaw(b.address(), flipBitAt(11), false);
    sendRaw(b.address(), flipBitAt(good.size() - 1), false);
    sendRaw(b.address(), good.substr(0, good.size() - 1), true);
    for (const char* reason : { "bad_magic", "bad_version", "bad_flags", "too_large", "bad_checksum", "truncated" }) {
        INFO(reason);
        CHECK(b.metrics.counter(std::string("peer_frames_refused_") + reason + "_total").value() == 1);
    }
    CHECK(a.transport.send(InstanceId("b"), numberedEnvelope(99)));
    std::unique_lock lock(b.mutex);
    b.changed.wait(lock, [&] { return b.received.back().correlation == 99; });
    for (const auto& envelope : b.received)
        CHECK(envelope.from == "a");
}

// Guards against delivering messages of an old connection after those of the new one.
TEST_CASE("a newer connection of a sender replaces the older one", "[peer]")
{
    using boost::asio::ip::tcp;
    Node b("b");
    boost::asio::io_context io;
    tcp::socket older(io);
    tcp::socket newer(io);
    for (auto* socket : { &older, &newer })
        socket->connect({ boost::asio::ip::make_address("127.0.0.1"), b.transport.port() });
    const auto send = [&](tcp::socket& socket, uint64_t number) {
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(*encodeFrame(numberedEnvelope(number))), ignored);
    };
    send(older, 1);
    b.waitFor(1);
    send(newer, 2);
    b.waitFor(2);
    send(older, 3);
    send(newer, 4);
    b.waitFor(3);
    CHECK(b.received[2].correlation == 4);
    CHECK(b.metrics.counter("peer_connections_superseded_total").value() == 1);
}

// Guards against an old connection that replaces the new one because its first message is late.
TEST_CASE("an older connection does not replace a newer one", "[peer]")
{
    using boost::asio::ip::tcp;
    Node b("b");
    boost::asio::io_context io;
    tcp::socket older(io);
    tcp::socket newer(io);
    for (auto* socket : { &older, &newer })
        socket->connect({ boost::asio::ip::make_address("127.0.0.1"), b.transport.port() });
    boost::asio::write(newer, boost::asio::buffer(*encodeFrame(numberedEnvelope(1))));
    b.waitFor(1);
    boost::asio::write(older, boost::asio::buffer(*encodeFrame(numberedEnvelope(2))));
    std::string rest;
    boost::system::error_code closed;
    boost::asio::read(older, boost::asio::dynamic_buffer(rest), closed);
    boost::asio::write(newer, boost::asio::buffer(*encodeFrame(numberedEnvelope(3))));
    b.waitFor(2);
    CHECK(b.received[1].correlation == 3);
}

// Guards against connections that exhaust the file descriptors of the process.
TEST_CASE("incoming connections over the limit are closed and counted", "[peer]")
{
    Metrics metrics;
    Transport transport({ .self = InstanceId("b"), .listen = { "127.0.0.1", 0 }, .maxIncoming = 1 }, metrics);
    REQUIRE(transport.start().ok());
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket first(io);
    first.connect({ boost::asio::ip::make_address("127.0.0.1"), transport.port() });
    boost::asio::write(first, boost::asio::buffer(*encodeFrame(numberedEnvelope(1))));
    while (metrics.counter("peer_messages_received_total").value() == 0)
        std::this_thread::yield();
    sendRaw({ "127.0.0.1", transport.port() }, "", false);
    CHECK(metrics.counter("peer_connections_over_limit_total").value() == 1);
}

// Guards against connections that are only held open and keep the processes of the cluster out.
TEST_CASE("a connection without a message is closed for a new one at the limit", "[peer]")
{
    Node b("b", {}, 0, 1);
    boost::asio::io_context io;
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), b.transport.port());
    boost::asio::ip::tcp::socket silent(io);
    silent.connect(endpoint);
    boost::asio::ip::tcp::socket sender(io);
    sender.connect(endpoint);
    boost::asio::write(sender, boost::asio::buffer(*encodeFrame(numberedEnvelope(1))));
    b.waitFor(1);
    char byte = 0;
    boost::system::error_code closed;
    CHECK(silent.read_some(boost::asio::buffer(&byte, 1), closed) == 0);
    CHECK(b.metrics.counter("peer_connections_evicted_total").value() == 1);
}

// Guards against messages that are never completed and take the memory of the process.
TEST_CASE("at the limit of memory the connection that holds most is closed", "[peer]")
{
    // The sockets of this process have one source, which gets half of the memory.
    Node b("b", {}, 0, 8, 2'000'000);
    boost::asio::io_context io;
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), b.transport.port());
    auto large = numberedEnvelope(1);
    large.from = std::string(1'500'000, 'x');
    const auto frames = *encodeFrame(large);
    boost::asio::ip::tcp::socket flooding(io);
    flooding.connect(endpoint);
    boost::system::error_code error;
    boost::asio::write(flooding, boost::asio::buffer(frames.data(), frames.size() - 1), error);
    char byte = 0;
    CHECK(flooding.read_some(boost::asio::buffer(&byte, 1), error) == 0);
    boost::asio::ip::tcp::socket sender(io);
    sender.connect(endpoint);
    boost::asio::write(sender, boost::asio::buffer(*encodeFrame(numberedEnvelope(2))));
    b.waitFor(1);
    CHECK(b.received[0].correlation == 2);
    CHECK(b.metrics.counter("memory_peers_refused_total").value() == 1);
    CHECK(b.metrics.gauge("memory_peers_bytes").value() < 200'000);
}
