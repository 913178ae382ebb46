#pragma once

#include "cell_generated.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/consensus/message.h"
#include "turmericpier/peer/transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

/// Calls and consensus messages between the processes of a cell, whose identities contain their addresses.
namespace turmericpier::cell {

/// Identity of a process: "10.1.0.16:7720/5f3c..". The part after the slash is drawn when the process's disk, or the
/// process itself if it has none, is new.
std::string addressOf(const std::string& identity);

struct LinksOptions {
    std::string self; ///< Identity of this process.
    /// After which a connection that does not acknowledge data is replaced. Shorter than an election, because
    /// connections may fall silent for good while new ones work.
    std::chrono::milliseconds userTimeout { 1'000 };
};

/// The callbacks run on the event loop; calls are made on it.
class Links {
public:
    using Answer = std::function<void(record::ReplyT)>;
    using CallHandler = std::function<void(const std::string& from, std::unique_ptr<record::CallT>, Answer)>;
    using MessageHandler = std::function<void(InstanceId from, consensus::Message)>;
    using ReplyCallback = std::function<void(std::optional<record::ReplyT>)>;

    Links(boost::asio::io_context& io, LinksOptions options, Metrics& metrics);
    ~Links();

    void setCallHandler(CallHandler handler) { m_onCall = std::move(handler); }
    /// Runs on the transport's thread.
    void setMessageHandler(MessageHandler handler) { m_onMessage = std::move(handler); }
    absl::Status start();
    void stop();

    /// `to` is an identity, or an address whose identity is not known. `done` gets nothing if no reply came in time.
    void call(const std::string& to, const record::CallT& call, std::chrono::milliseconds timeout, ReplyCallback done);
    /// From any thread.
    void send(const InstanceId& to, const consensus::Message& message);

    const std::string& self() const { return m_options.self; }

private:
    void sendEnvelope(const std::string& to, peer::Envelope envelope);
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
    peer::Transport m_transport;
    CallHandler m_onCall;
    MessageHandler m_onMessage;
    std::mutex m_mutex; ///< Guards m_knownAddresses.
    std::set<std::string> m_knownAddresses; ///< Addresses that the transport has.
    std::map<uint64_t, Pending> m_pending;
    uint64_t m_nextCall = 1;
};

} // namespace turmericpier::cell
