#include "peer/incoming.h"

#include "peer/socket-options.h"
#include "peer_generated.h"
#include "turmericpier/base/error.h"
#include "turmericpier/base/log.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/buffer.hpp>

namespace turmericpier::peer::detail {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
    // After a failed accept, for example because no file descriptor is free.
    constexpr std::chrono::milliseconds acceptRetryDelay { 100 };

    std::string makeCounterName(FrameFault fault)
    {
        return absl::StrCat("peer_frames_refused_", absl::AsciiStrToLower(std::string(toString(fault))), "_total");
    }

    std::string formatRemoteHost(const tcp::socket& socket)
    {
        error_code error;
        const auto endpoint = socket.remote_endpoint(error);
        return error ? "unknown" : endpoint.address().to_string();
    }

    std::string formatRemoteAddress(const tcp::socket& socket)
    {
        error_code error;
        const auto endpoint = socket.remote_endpoint(error);
        return error ? "unknown" : absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
    }
} // namespace

Incoming::Incoming(asio::io_context& io, Limits limits, Metrics& metrics)
    : m_limits(limits)
    , m_memory(limits.memoryBytes == 0 ? nullptr : std::make_shared<MemoryShare>("peers", limits.memoryBytes, metrics))
    , m_received(metrics.counter("peer_messages_received_total"))
    , m_receivedBytes(metrics.counter("peer_bytes_received_total"))
    , m_overLimit(metrics.counter("peer_connections_over_limit_total"))
    , m_superseded(metrics.counter("peer_connections_superseded_total"))
    , m_evicted(metrics.counter("peer_connections_evicted_total"))
    , m_connectionCount(metrics.gauge("peer_incoming_connections"))
    , m_acceptor(io)
    , m_acceptRetry(io)
{
    for (size_t i = 0; i < m_faults.size(); ++i)
        m_faults[i] = &metrics.counter(makeCounterName(static_cast<FrameFault>(i)));
}

absl::Status Incoming::listen(const Address& address)
{
    const auto fail = [&](const error_code& error) {
        const auto where = absl::StrCat(address.host, ":", address.port);
        return makeError({ absl::StatusCode::kUnavailable, Outcome::NotRun, "LISTEN_FAILED", "listen", where },
            absl::StrCat("cannot listen on ", where, ": ", error.message()));
    };
    error_code error;
    const auto host = asio::ip::make_address(address.host, error);
    if (error)
        return fail(error);
    const tcp::endpoint endpoint(host, address.port);
    if (m_acceptor.open(endpoint.protocol(), error); error)
        return fail(error);
    if (m_acceptor.set_option(tcp::acceptor::reuse_address(true), error); error)
        return fail(error);
    if (m_acceptor.bind(endpoint, error); error)
        return fail(error);
    if (m_acceptor.listen(asio::socket_base::max_listen_connections, error); error)
        return fail(error);
    m_port = m_acceptor.local_endpoint(error).port();
    accept();
    return absl::OkStatus();
}

void Incoming::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            m_acceptRetry.expires_after(acceptRetryDelay);
            m_acceptRetry.async_wait([this](error_code cancelled) {
                if (!cancelled)
                    accept();
            });
            return;
        }
        if (m_connections.size() >= m_limits.connections && !evictSilent()) {
            m_overLimit.increment();
        } else {
            setOptions(socket);
            error_code ignored;
            socket.non_blocking(true, ignored);
            auto connection = std::make_shared<Connection>(*this, std::move(socket), m_nextSerial++);
            m_connections.insert(connection);
            m_connectionCount.set(static_cast<int64_t>(m_connections.size()));
            connection->read();
        }
        accept();
    });
}

/// Closes the oldest connection on which no valid message has arrived, so that connections that are only held open do
/// not keep other processes out. Returns false if there is none.
bool Incoming::evictSilent()
{
    ConnectionPtr oldest;
    for (const auto& connection : m_connections) {
        if (connection->peer.empty() && (!oldest || connection->serial < oldest->serial))
            oldest = connection;
    }
    if (!oldest)
        return false;
    m_evicted.increment();
    oldest->close("made room for a new connection");
    return true;
}

/// Reserves the memory that a connection holds for messages that are not complete. At the limit the connections that
/// hold most are closed. Returns false if this connection is one of them.
bool Incoming::reserve(Connection& connection)
{
    const auto bytes = connection.decoder.memory();
    while (!connection.memory.tryResize(bytes)) {
        Connection* largest = &connection;
        LargestHolder search(connection.memory, bytes);
        for (const auto& other : m_connections) {
            if (other.get() != &connection && search.consider(other->memory))
                largest = other.get();
        }
        m_memory->recordRefusal(largest->memory.source(), largest->memory.size(), bytes);
        m_evicted.increment();
        largest->close("its messages take too much memory");
        if (largest == &connection)
            return false;
    }
    return true;
}

/// Makes a connection the current one of its sender unless a newer one is. Closes the previous connection, because its
/// unread messages would arrive out of order. Returns false if the envelope must be dropped and the connection closed.
bool Incoming::makeCurrent(const ConnectionPtr& connection, const std::string& from)
{
    if (!connection->peer.empty() && connection->peer != from)
        return false; // A connection carries messages of one sender only.
    auto& current = m_current[from];
    if (current == connection)
        return true;
    if (current && current->serial > connection->serial)
        return false;
    const auto previous = std::exchange(current, connection);
    connection->peer = from;
    if (previous) {
        m_superseded.increment();
        previous->close("replaced by a newer connection of the same peer");
    }
    return true;
}

Incoming::Connection::Connection(Incoming& owner, tcp::socket socket, uint64_t serial)
    : owner(owner)
    , socket(std::move(socket))
    , serial(serial)
    , decoder(owner.m_limits.messageBytes)
    , memory(owner.m_memory, owner.m_memory ? formatRemoteHost(this->socket) : std::string())
{
}

void Incoming::Connection::read()
{
    socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        if (!self->socket.is_open())
            return;
        size_t size = 0;
        if (!error)
            size = self->socket.read_some(asio::buffer(self->owner.m_buffer), error);
        if (error == asio::error::would_block)
            return self->read();
        if (!error) {
            self->owner.m_receivedBytes.increment(size);
            self->decoder.append({ self->owner.m_buffer.data(), size });
            if (self->decode() && self->owner.reserve(*self))
                self->read();
            return;
        }
        if (const auto status = self->decoder.finish(); !status.ok()) {
            self->owner.m_faults[static_cast<size_t>(*self->decoder.fault())]->increment();
            self->close(std::string(status.message()));
            return;
        }
        self->close(error.message());
    });
}

/// Passes all complete envelopes to the handler. Returns false if the connection was closed.
bool Incoming::Connection::decode()
{
    while (true) {
        auto next = decoder.next();
        if (!next.ok()) {
            owner.m_faults[static_cast<size_t>(*decoder.fault())]->increment();
            logError("peer", "rejected a frame and closed its connection",
                { { "peer", peer }, { "address", formatRemoteAddress(socket) },
                    { "reason", std::string(toString(*decoder.fault())) },
                    { "message", std::string(next.status().message()) } });
            close("frame rejected");
            return false;
        }
        if (!*next)
            return true;
        if (!owner.makeCurrent(shared_from_this(), (*next)->from)) {
            close("replaced by a newer connection of the same peer, or its sender changed");
            return false;
        }
        owner.m_received.increment();
        if (owner.m_handler)
            owner.m_handler(*std::move(*next));
    }
}

void Incoming::Connection::close(std::string_view reason)
{
    if (!socket.is_open())
        return;
    if (!peer.empty())
        logState("peer", "incoming connection closed", { { "peer", peer }, { "reason", std::string(reason) } });
    error_code ignored;
    socket.close(ignored);
    decoder.release();
    memory.tryResize(0);
    // Keeps this object alive until the end of the function.
    const auto self = shared_from_this();
    if (const auto found = owner.m_current.find(peer); found != owner.m_current.end() && found->second == self)
        owner.m_current.erase(found);
    owner.m_connections.erase(self);
    owner.m_connectionCount.set(static_cast<int64_t>(owner.m_connections.size()));
}

} // namespace turmericpier::peer::detail
