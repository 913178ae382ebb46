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

/// Longer than an election (3 s), so that a short pause of a peer does not cost a reconnect.
inline constexpr std::chrono::milliseconds defaultUserTimeout { 5'000 };

struct TransportOptions {
    InstanceId self;
    Incarnation incarnation;
    Address listen;
    std::map<InstanceId, Address> peers;
    size_t queuePerPeer = 4'096; ///< Messages waiting for one peer; more are dropped and counted.
    size_t queueBytesPerPeer = 16U << 20U; ///< No message is queued behind this many bytes.
    /// After which a connection whose data is not acknowledged is closed.
    std::chrono::milliseconds userTimeout = defaultUserTimeout;
    size_t maxIncoming = 256; ///< Incoming connections; more are closed and counted.
};

/// Sends and receives envelopes. Messages to one peer keep their order; a message may be lost, never duplicated.
/// Each process sends over its own connection to a peer and receives over the peer's connection to it. What waits for
/// a peer is dropped when an attempt to connect to it fails, because it would be stale by the time of the next one.
class Transport {
public:
    /// Runs on the I/O thread and must not block.
    using Handler = std::function<void(Envelope envelope)>;

    Transport(TransportOptions options, Metrics& metrics);
    ~Transport();

    void setHandler(Handler handler); ///< Before start().
    absl::Status start();
    void stop();

    /// Never blocks; returns false if the peer is unknown or its queue is full. Fills in `from` and `incarnation`.
    /// A message to this process itself goes straight to the handler.
    bool send(const InstanceId& to, Envelope envelope);
    void setPeer(InstanceId peer, Address address);
    uint16_t port() const; ///< The port listened on, also when the options named port 0.
    std::string dump() const; ///< Connections and queue lengths as a JSON object.

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::peer
