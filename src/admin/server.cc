#include "turmericpier/admin/server.h"

#include "turmericpier/base/error.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <thread>

namespace turmericpier::admin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
    // Delay after a failed accept, for example for lack of file descriptors.
    constexpr std::chrono::milliseconds acceptRetryDelay { 100 };

    using Response = http::response<http::string_body>;

    Response makeResponse(http::status status, std::string body, const char* type = "text/plain; charset=utf-8")
    {
        Response response(status, 11);
        response.set(http::field::content_type, type);
        response.body() = std::move(body);
        return response;
    }

    Response makeResponse(const absl::Status& status)
    {
        if (status.ok())
            return makeResponse(http::status::ok, "ok\n");
        return makeResponse(http::status::service_unavailable, absl::StrCat(std::string(status.message()), "\n"));
    }

    http::status toHttpStatus(const error_code& error)
    {
        if (error == http::error::header_limit)
            return http::status::request_header_fields_too_large;
        if (error == http::error::body_limit)
            return http::status::payload_too_large;
        return http::status::bad_request;
    }
} // namespace

struct Server::Impl {
    class Session;

    Impl(ServerOptions serverOptions, ServerHooks serverHooks, Metrics& metrics)
        : options(std::move(serverOptions))
        , hooks(std::move(serverHooks))
        , requests(metrics.counter("admin_requests_total"))
        , badRequests(metrics.counter("admin_bad_requests_total"))
        , connectionsOverLimit(metrics.counter("admin_connections_over_limit_total"))
    {
    }

    absl::Status listen();
    void accept();
    Response handle(const http::request<http::empty_body>& request) const;

    const ServerOptions options;
    const ServerHooks hooks;
    Counter& requests;
    Counter& badRequests;
    Counter& connectionsOverLimit;
    uint16_t port = 0;
    size_t openConnections = 0; // Declared before `io`, whose destructor may destroy sessions, which decrement it.
    asio::io_context io { 1 };
    tcp::acceptor acceptor { io };
    asio::steady_timer acceptRetryTimer { io };
    std::thread thread;
};

/// One connection. A timeout closes it if the client stops sending or reading.
class Server::Impl::Session : public std::enable_shared_from_this<Session> {
public:
    Session(Impl& owner, tcp::socket socket)
        : m_owner(owner)
        , m_stream(std::move(socket))
    {
        ++m_owner.openConnections;
    }
    ~Session() { --m_owner.openConnections; }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    void readRequest()
    {
        m_parser.emplace();
        m_parser->header_limit(static_cast<uint32_t>(m_owner.options.maxHeaderBytes));
        m_parser->body_limit(uint64_t { 0 });
        m_stream.expires_after(m_owner.options.idleTimeout);
        http::async_read(m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](error_code error, size_t) { self->onRequestRead(error); });
    }

private:
    void onRequestRead(const error_code& error)
    {
        if (!error) {
            m_owner.requests.increment();
            m_response = m_owner.handle(m_parser->get());
            m_response.keep_alive(m_parser->get().keep_alive());
            writeResponse();
            return;
        }
        const bool isHttpError = error.category() == http::make_error_code(http::error::bad_method).category();
        if (error == http::error::end_of_stream || error == http::error::partial_message || !isHttpError)
            return; // Destroying the session closes the connection.
        m_owner.badRequests.increment();
        m_response = makeResponse(toHttpStatus(error), absl::StrCat(error.message(), "\n"));
        m_response.keep_alive(false);
        writeResponse();
    }

    void writeResponse()
    {
        m_response.prepare_payload();
        m_stream.expires_after(m_owner.options.idleTimeout);
        http::async_write(m_stream, m_response, [self = shared_from_this()](error_code error, size_t) {
            if (error)
                return;
            if (self->m_response.keep_alive())
                self->readRequest();
            else
                self->m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
        });
    }

    Impl& m_owner;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::empty_body>> m_parser; ///< Parser of the current request.
    Response m_response;
};

absl::Status Server::Impl::listen()
{
    const auto fail = [&](const error_code& error) {
        const auto where = absl::StrCat(options.host, ":", options.port);
        return makeError({ absl::StatusCode::kUnavailable, Outcome::NotRun, "LISTEN_FAILED", "admin listen", where },
            absl::StrCat("cannot listen on ", where, ": ", error.message()));
    };
    error_code error;
    const auto host = asio::ip::make_address(options.host, error);
    if (error)
        return fail(error);
    const tcp::endpoint endpoint(host, options.port);
    if (acceptor.open(endpoint.protocol(), error); error)
        return fail(error);
    if (acceptor.set_option(tcp::acceptor::reuse_address(true), error); error)
        return fail(error);
    if (acceptor.bind(endpoint, error); error)
        return fail(error);
    if (acceptor.listen(asio::socket_base::max_listen_connections, error); error)
        return fail(error);
    port = acceptor.local_endpoint(error).port();
    accept();
    return absl::OkStatus();
}

void Server::Impl::accept()
{
    acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            acceptRetryTimer.expires_after(acceptRetryDelay);
            acceptRetryTimer.async_wait([this](error_code cancelled) {
                if (!cancelled)
                    accept();
            });
            return;
        }
        if (openConnections >= options.maxConnections)
            connectionsOverLimit.increment();
        else
            std::make_shared<Session>(*this, std::move(socket))->readRequest();
        accept();
    });
}

Response Server::Impl::handle(const http::request<http::empty_body>& request) const
{
    const std::string target(request.target().data(), request.target().size());
    const std::string path = target.substr(0, target.find('?'));
    std::function<Response()> respond;
    if (path == "/dump" && hooks.dump)
        respond = [&] { return makeResponse(http::status::ok, hooks.dump(), "application/json"); };
    else if (path == "/metrics" && hooks.metrics)
        respond = [&] { return makeResponse(http::status::ok, hooks.metrics(), "text/plain; version=0.0.4"); };
    else if (path == "/healthz" && hooks.health)
        respond = [&] { return makeResponse(hooks.health()); };
    else if (path == "/readyz" && hooks.readiness)
        respond = [&] { return makeResponse(hooks.readiness()); };
    else
        return makeResponse(http::status::not_found, "unknown path; known are /dump, /metrics, /healthz and /readyz\n");
    if (request.method() == http::verb::get)
        return respond();
    auto response = makeResponse(http::status::method_not_allowed, "only GET is allowed\n");
    response.set(http::field::allow, "GET");
    return response;
}

Server::Server(ServerOptions options, ServerHooks hooks, Metrics& metrics)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(hooks), metrics))
{
}

Server::~Server() { stop(); }

absl::Status Server::start()
{
    if (auto status = m_impl->listen(); !status.ok())
        return status;
    m_impl->thread = std::thread([this] { m_impl->io.run(); });
    return absl::OkStatus();
}

void Server::stop()
{
    m_impl->io.stop();
    if (m_impl->thread.joinable())
        m_impl->thread.join();
    // Free the port now; the acceptor would otherwise hold it until the destructor.
    error_code ignored;
    m_impl->acceptor.close(ignored);
}

uint16_t Server::port() const { return m_impl->port; }

} // namespace turmericpier::admin
