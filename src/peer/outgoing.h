#pragma once

#include "turmericpier/base/ids.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/peer/transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace turmericpier::peer::detail {

/// The connection over which this process sends to one peer, with the queue of frames for it.
class Outgoing : public std::enable_shared_from_this<Outgoing> {
public:
    struct Limits {
        size_t messages = 0; ///< Queued messages.
        size_t bytes = 0; ///< Queued bytes; the last message may exceed the limit.
        std::chrono::milliseconds userTimeout = defaultUserTimeout;
    };

    Outgoing(boost::asio::io_context& io, InstanceId peer, Address address, Limits limits, Metrics& metrics,
        uint64_t jitterSeed);

    /// Queues the frames of a message; returns false if the queue is full. May be called from any thread.
    bool push(std::string frame);
    boost::json::object dump() const; ///< Connection state and queue length. May be called from any thread.

    // The following functions must be called on the I/O thread.
    void connect();
    void setAddress(Address address);
    /// Closes the connection for good. Runs on the I/O thread.
    void close();
    void reconnect(); ///< Replaces the connection; does nothing while there is none.

private:
    using Socket = boost::asio::ip::tcp::socket;

    void onConnected();
    void awaitClose(); ///< Reads in order to detect that the peer closed the connection; a peer never sends on it.
    void flush();
    void releaseQuota(size_t messages, size_t bytes);
    void onDisconnected(const std::string& reason); ///< Also handles a failed attempt to connect.
    void dropQueue();
    void scheduleReconnect();

    boost::asio::io_context& m_io;
    const InstanceId m_peer;
    const Limits m_limits;
    Counter& m_sent;
    Counter& m_sentBytes;
    Counter& m_dropped;
    Counter& m_connects;
    Counter& m_failures;

    // The following members are used on the I/O thread only.
    Address m_address;
    std::shared_ptr<Socket> m_socket; ///< Socket of the current attempt; handlers of an older socket do nothing.
    boost::asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    uint32_t m_failedAttempts = 0;
    bool m_closed = false;
    bool m_writing = false;
    std::vector<std::string> m_batch; ///< Frames taken from the queue for the next write.
    char m_unexpectedByte = 0;

    mutable std::mutex m_mutex; ///< Guards the members below.
    std::deque<std::string> m_queue;
    size_t m_queuedBytes = 0; ///< Bytes in the queue and in the current write.
    size_t m_queuedMessages = 0; ///< Messages in the queue and in the current write.
    bool m_flushPosted = false;
    bool m_isConnected = false;
};

} // namespace turmericpier::peer::detail
