#pragma once

#include "turmericpier/base/ids.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/peer/address.h"

#include <absl/status/status.h>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace turmericpier::peer::wire {
struct EnvelopeT;
}

/// TCP connections between the processes of one cluster.
namespace turmericpier::peer {

using Envelope = wire::EnvelopeT;

/// TCP user timeout that exceeds an election (3 s), so that a short pause of a peer does not cause a reconnect.
inline constexpr std::chrono::milliseconds defaultUserTimeout { 5'000 };

struct TransportOptions {
    InstanceId self; ///< Id of this process, sent as `from` with each message.
    Incarnation incarnation; ///< Incarnation of this process, sent with each message.
    Address listen; ///< Port 0 listens on any free port.
    std::map<InstanceId, Address> peers;
    size_t queuePerPeer = 4'096; ///< Messages queued for one peer; further messages are dropped and counted.
    size_t queueBytesPerPeer = 16U << 20U; ///< Further messages are dropped while at least this many bytes are queued.
    /// Time after which a connection that does not acknowledge data is closed.
    std::chrono::milliseconds userTimeout = defaultUserTimeout;
    /// Incoming connections. For a further one, the oldest on which no valid message has arrived is closed; if there is
    /// none, the new one is closed and counted.
    size_t maxIncoming = 256;
    size_t maxMessageBytes = size_t { 64 } << 20U; ///< Larger incoming messages close their connection.
    /// Memory for incoming messages that are not complete. At this limit the connection that holds most is closed. 0
    /// for no limit.
    size_t memoryBytes = 0;
};

/// Sends and receives envelopes. Messages to one peer arrive in order; a message may be lost but is never duplicated.
/// Each process sends over the connection that it opened to a peer and receives over the one that the peer opened. The
/// queue of a peer is dropped when an attempt to connect to the peer fails, because its messages would be stale by the
/// next attempt.
class Transport {
public:
    /// Runs on the I/O thread and must not block.
    using Handler = std::function<void(Envelope envelope)>;

    Transport(TransportOptions options, Metrics& metrics);
    ~Transport();

    void setHandler(Handler handler); ///< Must be called before start().
    /// Starts to listen and to connect to the peers. Fails with LISTEN_FAILED if the address cannot be bound.
    absl::Status start();
    void stop();

    /// Queues a message after filling in `from` and `incarnation`. Never blocks. Returns false if the peer is unknown,
    /// its queue is full or the message is too large. A message to this process is passed to the handler on the I/O
    /// thread.
    bool send(const InstanceId& to, Envelope envelope);
    /// Adds a peer or changes its address.
    void setPeer(InstanceId peer, Address address);
    /// Closes the connection to the peer and drops its queue. Does nothing if the peer is unknown.
    void removePeer(const InstanceId& peer);
    /// Replaces the connection to the peer; does nothing if there is none.
    void reconnect(const InstanceId& peer);
    uint16_t port() const; ///< Port that start() bound, also if the options have port 0.
    std::string dump() const; ///< Returns connections and queue lengths as a JSON object.

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::peer
