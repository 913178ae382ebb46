#include "turmericpier/http/server.h"

#include "http/idle-list.h"
#include "http/message-reader.h"
#include "turmericpier/base/error.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace turmericpier::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
    // After a failed accept, for example because no file descriptor is free.
    constexpr std::chrono::milliseconds acceptRetryDelay { 100 };
} // namespace

struct Server::Impl : std::enable_shared_from_this<Impl> {
    class Session;

    Impl(asio::io_context& io, ServerOptions serverOptions, Handler requestHandler, Metrics& metrics)
        : io(io)
        , options(std::move(serverOptions))
        , handler(std::move(requestHandler))
        , requests(metrics.counter("http_requests_total"))
        , overLimit(metrics.counter("http_connections_over_limit_total"))
        , evictions(metrics.counter("http_connections_evicted_total"))
        , broken(metrics.counter("http_connections_broken_total"))
        , framingRefused(metrics.counter("http_framing_refused_total"))
        , acceptor(io)
        , acceptRetry(io)
    {
    }

    void accept();
    void acceptWaiting();
    void add(tcp::socket socket);
    bool reserve(Session& session, size_t bytes);

    asio::io_context& io;
    const ServerOptions options;
    const Handler handler;
    Counter& requests;
    Counter& overLimit;
    Counter& evictions;
    Counter& broken;
    Counter& framingRefused;
    tcp::acceptor acceptor;
    asio::steady_timer acceptRetry;
    std::set<std::shared_ptr<Session>> sessions;
    IdleList idle;
    size_t inFlight = 0;
    bool draining = false;
    bool closed = false; ///< The server was destroyed; its handler must not be called any more.
    std::array<char, 4'096> dropped {}; ///< Where input that nobody needs is read to.
};

/// A connection, whose requests are answered in order, one at a time.
class Server::Impl::Session final : public IdleConnection, public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<Impl> owner, tcp::socket socket, std::string source)
        : m_owner(std::move(owner))
        , m_stream(std::move(socket))
        , m_reader({ m_owner->options.maxHeaderBytes, m_owner->options.maxFramingBytes, m_owner->options.maxBodyBytes })
        , m_memory(m_owner->options.memory, std::move(source))
    {
    }

    void read()
    {
        m_owner->idle.push_back(*this);
        m_phase = Phase::Reading;
        m_reader.begin();
        m_stream.expires_after(m_owner->options.idleTimeout);
        parse();
    }

    /// Closes the connection if nothing of a request has arrived. A read that has completed with its handler still
    /// pending is not affected by the cancellation.
    void closeIfUnused()
    {
        error_code error;
        if (isIdle() && !m_reader.hasStarted() && m_stream.socket().available(error) == 0)
            m_stream.cancel();
    }

    void discard() override
    {
        unlink();
        m_phase = Phase::Closed;
        error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        m_stream.socket().close(ignored);
        m_owner->sessions.erase(shared_from_this());
    }

    bool isReading() const { return m_phase == Phase::Reading; }
    /// Nothing of a request has arrived.
    bool isUnused() const { return m_phase == Phase::Reading && !m_reader.hasStarted(); }
    const MemoryReservation& memory() const { return m_memory; }

    /// Answers a request that was not handled, and closes the connection. What is still being sent is dropped.
    void refuse(Response response)
    {
        unlink();
        m_stream.cancel();
        m_reader.clear();
        std::ignore = std::exchange(m_request, {});
        m_keepAlive = false;
        m_isRefusal = true;
        write(std::move(response));
    }

private:
    friend struct Impl;
    enum class Phase { Reading, Handling, Writing, Dropping, Closed };

    void parse()
    {
        error_code error;
        for (auto step = m_reader.parse(error);; step = m_reader.parse(error)) {
            if (step == Step::Failed)
                return onReadError(error);
            if (step == Step::Header)
                onHeader();
            if (!m_owner->reserve(*this, ownMemory()))
                return;
            if (step == Step::Done)
                return handle();
            if (step == Step::Read)
                break;
        }
        m_stream.async_read_some(m_reader.prepare(), [self = shared_from_this()](error_code failure, size_t size) {
            if (self->m_phase != Phase::Reading)
                return;
            if (failure)
                return self->onReadError(failure);
            self->m_reader.received(size);
            self->parse();
        });
    }

    /// Keeps what the handler needs and frees the header, whose fields may take many times their size.
    void onHeader()
    {
        unlink();
        m_stream.expires_after(m_owner->options.requestTimeout);
        auto& message = m_reader.parser().get();
        m_keepAlive = m_reader.parser().keep_alive();
        m_request.method = std::string(message.method_string());
        m_request.target = std::string(message.target());
        m_request.host = std::string(message[beast::http::field::host]);
        for (const auto& name : m_owner->options.readHeaders) {
            if (const auto found = message.find(name); found != message.end())
                m_request.headers[name] = std::string(found->value());
        }
        message.base() = {};
    }

    size_t ownMemory() const
    {
        auto bytes = m_reader.memory() + m_request.method.capacity() + m_request.target.capacity()
            + m_request.host.capacity() + m_request.body.capacity();
        for (const auto& [name, value] : m_request.headers)
            bytes += name.capacity() + value.capacity();
        return roundUp(bytes);
    }

    /// Fewer changes of the reservation, and an allowance for the connection itself.
    static size_t roundUp(size_t bytes)
    {
        constexpr size_t step = 4'096;
        return (bytes + step - 1) / step * step;
    }

    void onReadError(error_code error)
    {
        const bool wasIdle = isIdle();
        if (error == beast::http::error::body_limit)
            return refuse({ .status = 413 });
        if (error == beast::http::error::header_limit) {
            m_owner->framingRefused.increment(m_reader.isHeaderSeen() ? 1 : 0);
            return refuse({ .status = 431 });
        }
        if (error.category() == beast::http::make_error_code(beast::http::error::bad_method).category())
            return refuse({ .status = 400 });
        if (!wasIdle)
            m_owner->broken.increment();
        discard();
    }

    void handle()
    {
        m_phase = Phase::Handling;
        m_stream.expires_never();
        m_request.body = std::move(m_reader.parser().get().body());
        m_reader.reset();
        m_handledBytes = ownMemory();
        m_owner->reserve(*this, m_handledBytes);
        if (m_owner->options.memory) {
            m_request.holdMemory = [self = shared_from_this()](size_t bytes) {
                return self->m_phase == Phase::Handling && self->m_owner->reserve(*self, self->m_handledBytes + bytes);
            };
        }
        m_owner->requests.increment();
        ++m_owner->inFlight;
        // A handler may never call the callback, or call it twice by mistake; only the first call has an effect.
        auto answered = std::make_shared<bool>(false);
        m_owner->handler(
            std::exchange(m_request, {}), [self = shared_from_this(), answered](std::optional<Response> response) {
                if (std::exchange(*answered, true))
                    return;
                --self->m_owner->inFlight;
                if (self->m_phase != Phase::Handling)
                    return;
                if (response)
                    self->write(*std::move(response));
                else
                    self->discard();
            });
    }

    void write(Response response)
    {
        m_phase = Phase::Writing;
        // A large response waits for a caller that may not read it. Small ones are always sent.
        constexpr size_t smallResponse = 4'096;
        const auto size = response.body.size() > smallResponse ? response.body.size() : 0;
        const auto idle = roundUp(m_reader.memory());
        if (!m_memory.tryResize(idle + size)) {
            m_owner->options.memory->recordRefusal(m_memory.source(), m_memory.size(), size);
            // An assignment would keep the memory of the body.
            auto refusal = tooBusy();
            std::swap(response, refusal);
            m_memory.tryResize(idle);
        }
        m_keepAlive = m_keepAlive && !m_owner->draining;
        auto message = std::make_shared<beast::http::response<beast::http::string_body>>();
        message->result(response.status);
        if (!response.body.empty())
            message->set(beast::http::field::content_type, response.contentType);
        for (const auto& [name, value] : response.headers)
            message->set(name, value);
        message->keep_alive(m_keepAlive);
        message->body() = std::move(response.body);
        message->prepare_payload();
        m_stream.expires_after(m_owner->options.requestTimeout);
        beast::http::async_write(m_stream, *message, [self = shared_from_this(), message](error_code error, size_t) {
            if (self->m_phase != Phase::Writing)
                return;
            if (error) {
                self->m_owner->broken.increment();
                return self->discard();
            }
            self->m_memory.tryResize(roundUp(self->m_reader.memory()));
            if (self->m_keepAlive)
                return self->read();
            if (!self->m_isRefusal)
                return self->discard();
            self->dropInput();
        });
    }

    /// Reads and drops what the caller of a refused request still sends. Closing the connection at once would reset it,
    /// and the caller would not get the refusal.
    void dropInput()
    {
        constexpr std::chrono::milliseconds dropTime { 1'000 };
        error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        m_phase = Phase::Dropping;
        m_owner->idle.push_back(*this); // A new connection may take its place.
        m_stream.expires_after(dropTime);
        dropMore();
    }

    void dropMore()
    {
        m_stream.async_read_some(
            asio::buffer(m_owner->dropped), [self = shared_from_this()](error_code error, size_t size) {
                if (self->m_phase != Phase::Dropping)
                    return;
                self->m_droppedBytes += size;
                if (error || self->m_droppedBytes > maxDroppedBytes)
                    return self->discard();
                self->dropMore();
            });
    }

    using Step = MessageReader<true>::Step;
    // Callers that send more than the largest body do not wait for a response.
    static constexpr size_t maxDroppedBytes = 8U << 20U;

    const std::shared_ptr<Impl> m_owner;
    beast::tcp_stream m_stream;
    MessageReader<true> m_reader;
    MemoryReservation m_memory;
    Phase m_phase = Phase::Reading;
    Request m_request; ///< The parts of the request that have arrived; empty once it is handled.
    size_t m_handledBytes = 0; ///< Memory of the request that is being handled.
    size_t m_droppedBytes = 0;
    bool m_keepAlive = false;
    bool m_isRefusal = false;
};

/// Reserves memory for a session in place of what it has reserved before. If that is needed, closes connections on
/// which nothing has arrived, and then refuses larger requests that are still being read. Returns false if the session
/// has none of its request's memory left; one that is still reading was refused then.
bool Server::Impl::reserve(Session& session, size_t bytes)
{
    while (!session.m_memory.tryResize(bytes)) {
        Session* largest = nullptr;
        Session* unused = nullptr;
        LargestHolder search(session.memory(), bytes);
        for (const auto& other : sessions) {
            if (other.get() == &session || !other->isReading() || !search.helps(other->memory()))
                continue;
            if (other->isUnused())
                unused = other.get();
            else if (search.consider(other->memory()))
                largest = other.get();
        }
        if (unused) {
            evictions.increment();
            unused->discard();
            unused->m_memory.tryResize(0);
            continue;
        }
        auto& refused = largest ? *largest : session;
        options.memory->recordRefusal(refused.memory().source(), refused.memory().size(), bytes);
        if (!largest) {
            if (session.isReading())
                session.refuse(tooBusy());
            return false;
        }
        largest->refuse(tooBusy());
    }
    return true;
}

void Server::Impl::accept()
{
    acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || self->closed)
            return;
        if (error) {
            self->acceptRetry.expires_after(acceptRetryDelay);
            self->acceptRetry.async_wait([self](error_code cancelled) {
                if (!cancelled)
                    self->accept();
            });
            return;
        }
        self->add(std::move(socket));
        self->accept();
    });
}

void Server::Impl::add(tcp::socket socket)
{
    if (sessions.size() >= options.maxConnections && !evictLongestIdle(idle, evictions)) {
        overLimit.increment();
        return;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    error_code error;
    const auto peer = options.memory ? socket.remote_endpoint(error) : tcp::endpoint();
    auto session = std::make_shared<Session>(
        shared_from_this(), std::move(socket), options.memory ? peer.address().to_string() : std::string());
    sessions.insert(session);
    session->read();
}

/// Accepts the connections in the queue of the kernel, which would otherwise be reset with their requests.
void Server::Impl::acceptWaiting()
{
    error_code error;
    acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(io);
        acceptor.accept(socket, error);
        if (!error)
            add(std::move(socket));
    }
}

Response tooBusy() { return { .status = 503, .headers = { { "Retry-After", "1" } } }; }

const std::string* Request::findHeader(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? nullptr : &found->second;
}

Server::Server(asio::io_context& io, ServerOptions options, Handler handler, Metrics& metrics)
    : m_impl(std::make_shared<Impl>(io, std::move(options), std::move(handler), metrics))
{
}

Server::~Server()
{
    m_impl->closed = true;
    error_code ignored;
    m_impl->acceptor.close(ignored);
    m_impl->acceptRetry.cancel();
    const auto sessions = m_impl->sessions;
    for (const auto& session : sessions)
        session->discard();
}

absl::Status Server::start()
{
    const auto& listen = m_impl->options.listen;
    error_code error;
    const auto host = asio::ip::make_address(listen.host, error);
    const tcp::endpoint endpoint(host, listen.port);
    if (!error)
        m_impl->acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_impl->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_impl->acceptor.bind(endpoint, error);
    if (!error)
        m_impl->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        const auto where = absl::StrCat(listen.host, ":", listen.port);
        return makeError({ absl::StatusCode::kUnavailable, Outcome::NotRun, "LISTEN_FAILED", "listen", where },
            absl::StrCat("cannot listen on ", where, ": ", error.message()));
    }
    m_impl->accept();
    return absl::OkStatus();
}

void Server::drain() { m_impl->draining = true; }

void Server::finish()
{
    drain();
    if (m_impl->acceptor.is_open()) {
        m_impl->acceptWaiting();
        error_code ignored;
        m_impl->acceptor.close(ignored);
        m_impl->acceptRetry.cancel();
    }
    for (const auto& session : m_impl->sessions)
        session->closeIfUnused();
}

size_t Server::requestsInFlight() const { return m_impl->inFlight; }

size_t Server::openConnections() const { return m_impl->sessions.size(); }

} // namespace turmericpier::http
