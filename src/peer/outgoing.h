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

/// The connection to one peer over which this process sends, with its queue of frames.
class Outgoing : public std::enable_shared_from_this<Outgoing> {
public:
    struct Limits {
        size_t messages = 0;
        size_t bytes = 0;
        std::chrono::milliseconds userTimeout = defaultUserTimeout;
    };

    Outgoing(boost::asio::io_context& io, InstanceId peer, Address address, Limits limits, Metrics& metrics,
        uint64_t jitterSeed);

    /// Queues a frame; returns false if the queue is full. Callable from any thread.
    bool push(std::string frame);
    boost::json::object dump() const; ///< Callable from any thread.

    // On the I/O thread:
    void connect();
    void setAddress(Address address);

private:
    using Socket = boost::asio::ip::tcp::socket;

    void connected();
    void watch(); ///< Notices that the peer closed the connection: a peer never sends on it.
    void flush();
    void written(size_t messages, size_t bytes);
    void lost(const std::string& reason);
    void dropQueue();
    void retryLater();

    boost::asio::io_context& m_io;
    const InstanceId m_peer;
    const Limits m_limits;
    Counter& m_sent;
    Counter& m_sentBytes;
    Counter& m_dropped;
    Counter& m_connects;
    Counter& m_failures;

    // On the I/O thread only:
    Address m_address;
    std::shared_ptr<Socket> m_socket; ///< Each attempt has its own; handlers of an older one are ignored.
    boost::asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    uint32_t m_failedAttempts = 0;
    bool m_writing = false;
    std::vector<std::string> m_batch; ///< Frames being written.
    char m_unexpected = 0;

    mutable std::mutex m_mutex; ///< Guards the members below.
    std::deque<std::string> m_queue;
    size_t m_queuedBytes = 0; ///< Of the queue and of the frames being written.
    size_t m_queuedMessages = 0; ///< Of the queue and of the frames being written.
    bool m_flushPosted = false;
    bool m_isConnected = false;
};

} // namespace turmericpier::peer::detail
