#include "turmericpier/http/server.h"

#include "http/idle-list.h"
#include "turmericpier/base/error.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <set>
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

    Impl(
        asio::io_context& io, ServerOptions serverOptions, Handler requestHandler, Metrics& metrics, std::string header)
        : io(io)
        , options(std::move(serverOptions))
        , handler(std::move(requestHandler))
        , deadlineHeader(std::move(header))
        , requests(metrics.counter("http_requests_total"))
        , overLimit(metrics.counter("http_connections_over_limit_total"))
        , evictions(metrics.counter("http_connections_evicted_total"))
        , broken(metrics.counter("http_connections_broken_total"))
        , acceptor(io)
        , acceptRetry(io)
    {
    }

    void accept();
    void acceptWaiting();
    void add(tcp::socket socket);

    asio::io_context& io;
    const ServerOptions options;
    const Handler handler;
    const std::string deadlineHeader;
    Counter& requests;
    Counter& overLimit;
    Counter& evictions;
    Counter& broken;
    tcp::acceptor acceptor;
    asio::steady_timer acceptRetry;
    std::set<std::shared_ptr<Session>> sessions;
    IdleList idle;
    size_t inFlight = 0;
    bool draining = false;
};

/// A connection, whose requests are answered in order, one at a time.
class Server::Impl::Session final : public IdleConnection, public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<Impl> owner, tcp::socket socket)
        : m_owner(std::move(owner))
        , m_stream(std::move(socket))
    {
    }

    void read()
    {
        m_owner->idle.push_back(*this);
        m_parser.emplace();
        m_parser->header_limit(static_cast<uint32_t>(m_owner->options.maxHeaderBytes));
        m_parser->body_limit(m_owner->options.maxBodyBytes);
        m_stream.expires_after(m_owner->options.idleTimeout);
        beast::http::async_read_header(
            m_stream, m_buffer, *m_parser, [self = shared_from_this()](error_code error, size_t) {
                if (error)
                    return self->onReadError(error);
                self->unlink();
                self->m_stream.expires_after(self->m_owner->options.requestTimeout);
                beast::http::async_read(self->m_stream, self->m_buffer, *self->m_parser,
                    [self](error_code failure, size_t) { self->onRequest(failure); });
            });
    }

    /// Closes the connection if nothing of a request has arrived. A read that has completed with its handler still
    /// pending is not affected by the cancellation.
    void closeIfUnused()
    {
        error_code error;
        if (isIdle() && m_buffer.size() == 0 && m_stream.socket().available(error) == 0)
            m_stream.cancel();
    }

    void discard() override
    {
        unlink();
        error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        m_stream.socket().close(ignored);
        m_owner->sessions.erase(shared_from_this());
    }

private:
    void onReadError(error_code error)
    {
        const bool wasIdle = isIdle();
        unlink();
        if (error == beast::http::error::body_limit || error == beast::http::error::header_limit) {
            m_keepAlive = false;
            return write({ .status = error == beast::http::error::body_limit ? 413U : 431U });
        }
        if (error != beast::http::error::end_of_stream && !wasIdle)
            m_owner->broken.increment();
        discard();
    }

    void onRequest(error_code error)
    {
        if (error)
            return onReadError(error);
        m_stream.expires_never();
        auto message = m_parser->release();
        m_keepAlive = message.keep_alive();
        Request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.host = std::string(message[beast::http::field::host]);
        request.body = std::move(message.body());
        if (!m_owner->deadlineHeader.empty()) {
            const auto found = message.find(m_owner->deadlineHeader);
            if (found != message.end())
                request.deadline = std::string(found->value());
        }
        m_owner->requests.increment();
        ++m_owner->inFlight;
        // A handler may never call the callback, or call it twice by mistake; only the first call has an effect.
        auto answered = std::make_shared<bool>(false);
        m_owner->handler(std::move(request), [self = shared_from_this(), answered](std::optional<Response> response) {
            if (std::exchange(*answered, true))
                return;
            --self->m_owner->inFlight;
            if (response)
                self->write(*std::move(response));
            else
                self->discard();
        });
    }

    void write(Response response)
    {
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
            if (error || !self->m_keepAlive) {
                if (error)
                    self->m_owner->broken.increment();
                return self->discard();
            }
            self->read();
        });
    }

    const std::shared_ptr<Impl> m_owner;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<beast::http::request_parser<beast::http::string_body>> m_parser;
    bool m_keepAlive = false;
};

void Server::Impl::accept()
{
    acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
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
    auto session = std::make_shared<Session>(shared_from_this(), std::move(socket));
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

Server::Server(
    asio::io_context& io, ServerOptions options, Handler handler, Metrics& metrics, std::string deadlineHeader)
    : m_impl(std::make_shared<Impl>(io, std::move(options), std::move(handler), metrics, std::move(deadlineHeader)))
{
}

Server::~Server()
{
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
