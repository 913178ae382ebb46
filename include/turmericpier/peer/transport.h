#pragma once

#include "turmericpier/base/ids.h"
#include "turmericpier/base/metrics.h"

#include <absl/status/status.h>
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

/// An IP address and a port.
struct Address {
    std::string host;
    uint16_t port = 0;
};

struct TransportOptions {
    InstanceId self;
    Incarnation incarnation;
    Address listen;
    std::map<InstanceId, Address> peers;
    size_t queuePerPeer = 4'096; ///< Messages waiting for one peer; more are dropped and counted.
};

/// Sends and receives envelopes. Messages to one peer keep their order; a message may be lost, never duplicated.
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
