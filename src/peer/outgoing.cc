#include "peer/outgoing.h"

#include "peer/socket-options.h"
#include "turmericpier/base/log.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace turmericpier::peer::detail {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {
    // Allows for many round trips of 16 ms. The kernel retransmits a lost SYN only after 1 s, so that a new attempt is
    // faster.
    constexpr milliseconds connectTimeout { 400 };
    // Together with the connect timeout, a peer that lost power is reached within 650 ms of its return, which is about
    // an election timeout.
    constexpr milliseconds backoffMin { 50 };
    constexpr milliseconds backoffMax { 250 };
    constexpr size_t maxFramesPerWrite = 64; // Number of buffers that Asio passes to one writev call.
} // namespace

Outgoing::Outgoing(
    asio::io_context& io, InstanceId peer, Address address, Limits limits, Metrics& metrics, uint64_t jitterSeed)
    : m_io(io)
    , m_peer(std::move(peer))
    , m_limits(limits)
    , m_sent(metrics.counter("peer_messages_sent_total"))
    , m_sentBytes(metrics.counter("peer_bytes_sent_total"))
    , m_dropped(metrics.counter("peer_messages_dropped_total"))
    , m_connects(metrics.counter("peer_connects_total"))
    , m_failures(metrics.counter("peer_connect_failures_total"))
    , m_address(std::move(address))
    , m_timer(io)
    , m_random(jitterSeed)
{
}

bool Outgoing::push(std::string frame)
{
    {
        std::lock_guard lock(m_mutex);
        // The size of the new frame does not count: a large message, such as a snapshot, must not require an empty
        // queue.
        if (m_queuedMessages >= m_limits.messages || m_queuedBytes >= m_limits.bytes) {
            m_dropped.increment();
            return false;
        }
        ++m_queuedMessages;
        m_queuedBytes += frame.size();
        m_queue.push_back(std::move(frame));
        if (m_flushPosted)
            return true;
        m_flushPosted = true;
    }
    asio::post(m_io, [self = shared_from_this()] {
        {
            std::lock_guard lock(self->m_mutex);
            self->m_flushPosted = false;
        }
        self->flush();
    });
    return true;
}

boost::json::object Outgoing::dump() const
{
    std::lock_guard lock(m_mutex);
    return { { "connected", m_isConnected }, { "queued", m_queuedMessages }, { "queued_bytes", m_queuedBytes } };
}

void Outgoing::setAddress(Address address)
{
    if (address.host == m_address.host && address.port == m_address.port)
        return;
    m_address = std::move(address);
    m_failedAttempts = 0;
    if (m_socket) {
        error_code ignored;
        m_socket->close(ignored);
    }
    connect();
}

void Outgoing::reconnect()
{
    {
        std::lock_guard lock(m_mutex);
        if (!m_isConnected)
            return;
    }
    onDisconnected("replaced");
}

void Outgoing::close()
{
    m_closed = true;
    m_timer.cancel();
    if (m_socket) {
        error_code ignored;
        m_socket->close(ignored);
    }
    m_socket.reset();
    dropQueue();
}

void Outgoing::connect()
{
    if (m_closed)
        return;
    auto socket = std::make_shared<Socket>(m_io);
    m_socket = socket;
    {
        std::lock_guard lock(m_mutex);
        m_isConnected = false;
    }
    error_code error;
    const auto host = asio::ip::make_address(m_address.host, error);
    if (error) {
        onDisconnected("invalid address " + m_address.host + ": " + error.message());
        return;
    }
    m_timer.expires_after(connectTimeout);
    m_timer.async_wait([self = shared_from_this(), socket](error_code failure) {
        if (failure || socket != self->m_socket)
            return;
        self->onDisconnected("connect timed out");
    });
    socket->async_connect({ host, m_address.port }, [self = shared_from_this(), socket](error_code failure) {
        if (socket != self->m_socket)
            return;
        if (failure)
            self->onDisconnected(failure.message());
        else
            self->onConnected();
    });
}

void Outgoing::onConnected()
{
    m_timer.cancel();
    // The timer may have expired already, with its handler still pending. Replacing the socket makes that handler
    // ignore this connection.
    m_socket = std::make_shared<Socket>(std::move(*m_socket));
    setOptions(*m_socket, m_limits.userTimeout);
    m_failedAttempts = 0;
    m_writing = false;
    {
        std::lock_guard lock(m_mutex);
        m_isConnected = true;
    }
    m_connects.increment();
    logState("peer", "connected", { { "peer", m_peer.str() } });
    awaitClose();
    flush();
}

void Outgoing::awaitClose()
{
    m_socket->async_read_some(
        asio::buffer(&m_unexpectedByte, 1), [self = shared_from_this(), socket = m_socket](error_code error, size_t) {
            if (socket != self->m_socket)
                return;
            self->onDisconnected(error ? error.message() : "peer sent data on a connection on which it only receives");
        });
}

void Outgoing::flush()
{
    size_t bytes = 0;
    {
        std::lock_guard lock(m_mutex);
        if (m_writing || !m_isConnected || m_queue.empty())
            return;
        const size_t count = std::min(m_queue.size(), maxFramesPerWrite);
        m_batch.assign(std::make_move_iterator(m_queue.begin()), std::make_move_iterator(m_queue.begin() + count));
        m_queue.erase(m_queue.begin(), m_queue.begin() + count);
    }
    m_writing = true;
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(m_batch.size());
    for (const auto& frame : m_batch) {
        buffers.emplace_back(frame.data(), frame.size());
        bytes += frame.size();
    }
    // The handler owns the frames, because the write may finish after this object has replaced the connection.
    auto batch = std::make_shared<std::vector<std::string>>(std::move(m_batch));
    asio::async_write(
        *m_socket, buffers, [self = shared_from_this(), socket = m_socket, batch, bytes](error_code error, size_t) {
            self->releaseQuota(batch->size(), bytes);
            if (socket != self->m_socket) {
                self->m_dropped.increment(batch->size());
                return;
            }
            self->m_writing = false;
            if (error) {
                // Frames of a failed write are not sent again, because the peer may have received them.
                self->m_dropped.increment(batch->size());
                self->onDisconnected(error.message());
                return;
            }
            self->m_sent.increment(batch->size());
            self->m_sentBytes.increment(bytes);
            self->flush();
        });
}

void Outgoing::releaseQuota(size_t messages, size_t bytes)
{
    std::lock_guard lock(m_mutex);
    m_queuedMessages -= messages;
    m_queuedBytes -= bytes;
}

void Outgoing::onDisconnected(const std::string& reason)
{
    bool wasConnected = false;
    {
        std::lock_guard lock(m_mutex);
        wasConnected = std::exchange(m_isConnected, false);
    }
    if (m_socket) {
        error_code ignored;
        m_socket->close(ignored);
    }
    m_socket.reset();
    m_writing = false;
    if (m_closed)
        return;
    if (wasConnected) {
        logState("peer", "connection lost", { { "peer", m_peer.str() }, { "reason", reason } });
    } else {
        if (m_failedAttempts == 0)
            logState("peer", "connect failed", { { "peer", m_peer.str() }, { "reason", reason } });
        ++m_failedAttempts;
        m_failures.increment();
        dropQueue();
    }
    scheduleReconnect();
}

void Outgoing::dropQueue()
{
    std::lock_guard lock(m_mutex);
    m_dropped.increment(m_queue.size());
    for (const auto& frame : m_queue)
        m_queuedBytes -= frame.size();
    m_queuedMessages -= m_queue.size();
    m_queue.clear();
}

void Outgoing::scheduleReconnect()
{
    const auto maxDelay = std::min(backoffMax, backoffMin * (1U << std::min(m_failedAttempts, 5U)));
    std::uniform_int_distribution<milliseconds::rep> delay(maxDelay.count() / 2, maxDelay.count());
    m_timer.expires_after(milliseconds(delay(m_random)));
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error && !self->m_socket)
            self->connect();
    });
}

} // namespace turmericpier::peer::detail
