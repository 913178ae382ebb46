#pragma once

#include "cell_generated.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/consensus/message.h"
#include "turmericpier/peer/transport.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

/// Calls and consensus messages between the processes of a cell. The identity of a process contains its address.
namespace turmericpier::cell {

/// Returns the address in the identity of a process, such as "10.1.0.16:7720" in "10.1.0.16:7720/5f3c..". The part
/// after the slash is generated anew for a new disk, or for each start of a process without a disk.
std::string addressOf(const std::string& identity);

struct LinksOptions {
    std::string self; ///< Identity of this process.
    /// Address to listen on if it is not the one in the identity, for example behind a proxy; empty otherwise.
    std::string listen;
    /// Time after which a connection that does not acknowledge data is replaced. It is shorter than an election,
    /// because a connection may stop delivering for good while new ones work.
    std::chrono::milliseconds userTimeout { 1'000 };
    size_t maxIncoming = 256; ///< Connections accepted from other processes; see peer::TransportOptions.
    /// Addresses to which connections are opened. For a further one, one that has never answered a probe is given up;
    /// if there is none, its messages are dropped.
    size_t maxPeers = 256;
    size_t maxMessageBytes = size_t { 16 } << 20U; ///< Larger messages from other processes are refused.
    /// Memory for messages from other processes: one half for those that are being received, the other for calls and
    /// replies that wait for the event loop. Further ones are dropped and counted. 0 for no limit.
    size_t memoryBytes = 0;
    /// Interval at which the connections that have carried something are probed. A connection whose probe is not
    /// answered within two intervals is replaced.
    std::chrono::milliseconds probeInterval { 500 };
};

/// Calls must be made on the event loop, and callbacks run on it, unless stated otherwise.
class Links {
public:
    using Answer = std::function<void(record::ReplyT)>;
    using CallHandler = std::function<void(const std::string& from, std::unique_ptr<record::CallT>, Answer)>;
    using MessageHandler = std::function<void(InstanceId from, consensus::Message)>;
    using ReplyCallback = std::function<void(std::optional<record::ReplyT>)>;

    Links(boost::asio::io_context& io, LinksOptions options, Metrics& metrics);
    ~Links();

    void setCallHandler(CallHandler handler) { m_onCall = std::move(handler); }
    /// The handler runs on the transport's thread.
    void setMessageHandler(MessageHandler handler) { m_onMessage = std::move(handler); }
    absl::Status start();
    void stop();

    /// Calls a process by its identity, or by its address if the identity is not known. `done` gets no reply if none
    /// came within the timeout.
    void call(const std::string& to, const record::CallT& call, std::chrono::milliseconds timeout, ReplyCallback done);
    /// Sends a call that is not replied to. It is lost if the process cannot be reached.
    void notify(const std::string& to, const record::CallT& call);
    /// Sends a consensus message. May be called from any thread.
    void send(const InstanceId& to, const consensus::Message& message);

    const std::string& self() const { return m_options.self; }

private:
    /// What is known of the connection to an address.
    struct Peer {
        bool hasTraffic = false; ///< Something other than a probe was sent since the last probe.
        bool answersProbes = false; ///< A probe was answered before. Processes of an earlier version answer none.
        uint32_t unansweredTicks = 0; ///< Probe intervals since an unanswered probe was sent; 0 if there is none.
    };

    void sendEnvelope(const std::string& to, peer::Envelope envelope);
    void sendProbe(const std::string& to, bool answer);
    void onProbe(const std::string& from, bool answer);
    void probePeers();
    bool evictPeer();
    bool tryQueue(const peer::Envelope& envelope, size_t bytes);
    void receive(peer::Envelope envelope);
    void onCall(peer::Envelope& envelope);
    void onReply(peer::Envelope& envelope);

    struct Pending {
        ReplyCallback done;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    boost::asio::io_context& m_io;
    const LinksOptions m_options;
    Counter& m_calls;
    Counter& m_timeouts;
    Counter& m_misdirected;
    Counter& m_probesAnswered;
    Counter& m_silentConnections;
    Counter& m_overMemory;
    Counter& m_overPeers;
    std::atomic<size_t> m_queuedBytes { 0 }; ///< Of calls and replies that wait for the event loop.
    peer::Transport m_transport;
    CallHandler m_onCall;
    MessageHandler m_onMessage;
    std::mutex m_mutex; ///< Guards m_peers.
    std::map<std::string, Peer> m_peers; ///< Addresses that the transport has as peers.
    boost::asio::steady_timer m_probeTimer;
    std::map<uint64_t, Pending> m_pending;
    uint64_t m_nextCall;
};

} // namespace turmericpier::cell
