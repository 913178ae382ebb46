#include "turmericpier/peer/transport.h"

#include "peer-samples.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <vector>

using namespace turmericpier;
using namespace turmericpier::peer;

namespace {
/// A transport on a free loopback port that records what it receives.
struct Node {
    explicit Node(const std::string& id, std::map<InstanceId, Address> peers = {}, uint16_t port = 0)
        : transport({ .self = InstanceId(id),
                        .incarnation = Incarnation { 5 },
                        .listen = { "127.0.0.1", port },
                        .peers = std::move(peers) },
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

/// Sends until the receiver has something: what waits during a failed connect is dropped.
void sendUntilReceived(Node& from, Node& to, const InstanceId& id)
{
    while (true) {
        from.transport.send(id, numberedEnvelope(1));
        std::unique_lock lock(to.mutex);
        if (to.changed.wait_for(lock, std::chrono::milliseconds(20), [&] { return !to.received.empty(); }))
            return;
    }
}
} // namespace

// Guards against reordered, duplicated or mislabelled messages.
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

// Guards against a self-addressed message that leaves the process or is lost.
TEST_CASE("a message to this process goes to its handler", "[peer]")
{
    Node a("a");
    REQUIRE(a.transport.send(InstanceId("a"), numberedEnvelope(4)));
    a.waitFor(1);
    CHECK(a.received[0].correlation == 4);
    CHECK(a.received[0].from == "a");
}

// Guards against a process that is never reached again after its restart.
TEST_CASE("a restarted peer is reached again", "[peer]")
{
    auto b = std::make_unique<Node>("b");
    const Address address = b->address();
    Node a("a", { { InstanceId("b"), address } });
    sendUntilReceived(a, *b, InstanceId("b"));
    b.reset();
    b = std::make_unique<Node>("b", std::map<InstanceId, Address> {}, address.port);
    sendUntilReceived(a, *b, InstanceId("b"));
}

// Guards against messages that go on to the address that a peer has left.
TEST_CASE("a peer's new address is used", "[peer]")
{
    Node first("b");
    Node second("b");
    Node a("a", { { InstanceId("b"), first.address() } });
    sendUntilReceived(a, first, InstanceId("b"));
    a.transport.setPeer(InstanceId("b"), second.address());
    sendUntilReceived(a, second, InstanceId("b"));
}

// Guards against a queue that grows or blocks while its peer can not be reached.
TEST_CASE("a full queue and an unknown peer refuse, and the drops are counted", "[peer]")
{
    Metrics metrics;
    // Not started: nothing leaves the queue.
    Transport transport({ .self = InstanceId("a"), .peers = { { InstanceId("b"), {} } }, .queuePerPeer = 2 }, metrics);
    CHECK(transport.send(InstanceId("b"), numberedEnvelope(1)));
    CHECK(transport.send(InstanceId("b"), numberedEnvelope(2)));
    CHECK_FALSE(transport.send(InstanceId("b"), numberedEnvelope(3)));
    CHECK_FALSE(transport.send(InstanceId("c"), numberedEnvelope(4)));
    CHECK(metrics.counter("peer_messages_dropped_total").value() == 2);
    CHECK(transport.dump().find("\"queued\":2") != std::string::npos);
}

// Guards against a start that seems to work while the address belongs to another process.
TEST_CASE("an address in use is an error that names the address", "[peer]")
{
    Node a("a");
    Metrics metrics;
    Transport second({ .self = InstanceId("b"), .listen = a.address() }, metrics);
    const auto status = second.start();
    REQUIRE_FALSE(status.ok());
    CHECK(std::string(status.message()).find(std::to_string(a.transport.port())) != std::string::npos);
}
