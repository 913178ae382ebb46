#include "turmericpier/admin/server.h"

#include "http/message-reader.h"
#include "turmericpier/base/error.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string_view>
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
    Response handle(std::string_view method, std::string_view target) const;

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
        , m_reader({ owner.options.maxHeaderBytes, maxFramingBytes, 0 })
    {
        ++m_owner.openConnections;
    }
    ~Session() { --m_owner.openConnections; }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    void readRequest()
    {
        m_reader.begin();
        m_stream.expires_after(m_owner.options.idleTimeout);
        parse();
    }

private:
    using Reader = turmericpier::http::MessageReader<true>;

    void parse()
    {
        error_code error;
        auto step = m_reader.parse(error);
        while (step == Reader::Step::Header)
            step = m_reader.parse(error);
        if (step == Reader::Step::Failed)
            return refuse(error);
        if (step == Reader::Step::Done)
            return respond();
        m_stream.async_read_some(m_reader.prepare(), [self = shared_from_this()](error_code failure, size_t size) {
            if (failure)
                return; // Destroying the session closes the connection.
            self->m_reader.received(size);
            self->parse();
        });
    }

    void respond()
    {
        m_owner.requests.increment();
        const auto& request = m_reader.parser().get();
        m_response = m_owner.handle(request.method_string(), request.target());
        m_response.keep_alive(request.keep_alive());
        writeResponse();
    }

    void refuse(const error_code& error)
    {
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

    static constexpr size_t maxFramingBytes = 4'096; // Chunk extensions and trailers; requests have no body.

    Impl& m_owner;
    beast::tcp_stream m_stream;
    Reader m_reader;
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

Response Server::Impl::handle(std::string_view method, std::string_view target) const
{
    const auto path = target.substr(0, target.find('?'));
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
    if (method == "GET")
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
