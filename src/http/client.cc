#include "turmericpier/http/client.h"

#include "turmericpier/peer/address.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace turmericpier::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
    std::optional<tcp::endpoint> endpointOf(const std::string& address)
    {
        const auto parsed = peer::parseAddress(address);
        if (!parsed)
            return std::nullopt;
        return tcp::endpoint(asio::ip::make_address(parsed->host), parsed->port);
    }
} // namespace

struct Client::Impl : std::enable_shared_from_this<Impl> {
    struct Job {
        ClientRequest request;
        std::chrono::milliseconds timeout;
        Done done;
    };
    class Connection;
    struct Pool {
        std::deque<Job> queue;
        std::vector<std::shared_ptr<Connection>> connections;
    };

    Impl(asio::io_context& io, ClientOptions options, Metrics& metrics)
        : io(io)
        , options(options)
        , calls(metrics.counter("http_client_calls_total"))
        , connects(metrics.counter("http_client_connects_total"))
        , faults(metrics.counter("http_client_faults_total"))
    {
    }

    void dispatch(const std::string& address);
    void remove(const std::string& address, const std::shared_ptr<Connection>& connection);

    asio::io_context& io;
    const ClientOptions options;
    Counter& calls;
    Counter& connects;
    Counter& faults;
    std::map<std::string, Pool> pools;
    bool closed = false;
};

/// One connection, with at most one request on it.
class Client::Impl::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(std::shared_ptr<Impl> owner, std::string address)
        : m_owner(std::move(owner))
        , m_address(std::move(address))
        , m_stream(m_owner->io)
    {
    }

    bool isBusy() const { return m_job.has_value(); }

    void open(Job job)
    {
        m_job = std::move(job);
        const auto endpoint = endpointOf(m_address);
        if (!endpoint) {
            asio::post(m_owner->io, [self = shared_from_this()] { self->fail(CallFault::Unreachable); });
            return;
        }
        m_owner->connects.increment();
        m_stream.expires_after(m_owner->options.connectTimeout);
        m_stream.async_connect(*endpoint, [self = shared_from_this()](error_code error) {
            if (error)
                return self->fail(
                    error == asio::error::connection_refused ? CallFault::Refused : CallFault::Unreachable);
            error_code ignored;
            self->m_stream.socket().set_option(tcp::no_delay(true), ignored);
            self->send();
        });
    }

    void reuse(Job job)
    {
        m_job = std::move(job);
        ++m_use;
        send();
    }

    void close()
    {
        error_code ignored;
        m_stream.socket().close(ignored);
    }

private:
    void send()
    {
        m_message = {};
        m_message.method_string(m_job->request.method);
        m_message.target(m_job->request.target);
        m_message.set(beast::http::field::host, m_address);
        if (!m_job->request.body.empty())
            m_message.set(beast::http::field::content_type, "application/json");
        for (const auto& [name, value] : m_job->request.headers)
            m_message.set(name, value);
        m_message.body() = std::move(m_job->request.body);
        m_message.prepare_payload();
        m_stream.expires_after(m_job->timeout);
        beast::http::async_write(m_stream, m_message, [self = shared_from_this()](error_code error, size_t) {
            if (error)
                return self->fail(CallFault::NoAnswer);
            self->receive();
        });
    }

    void receive()
    {
        m_parser.emplace();
        m_parser->body_limit(maxAnswerBytes);
        beast::http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](error_code error, size_t) {
            if (error)
                return self->fail(CallFault::NoAnswer);
            self->finish();
        });
    }

    void finish()
    {
        auto message = m_parser->release();
        ClientAnswer answer { CallFault::None, message.result_int(), std::move(message.body()) };
        auto job = std::exchange(m_job, std::nullopt);
        if (message.keep_alive())
            idle();
        else
            drop();
        job->done(std::move(answer));
        m_owner->dispatch(m_address);
    }

    /// Notices when the other side closes the connection, so that no request is sent on it.
    void idle()
    {
        m_stream.expires_after(m_owner->options.keepIdle);
        const auto use = ++m_use;
        m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this(), use](error_code) {
            if (!self->m_job && self->m_use == use)
                self->drop();
        });
    }

    void drop()
    {
        close();
        m_owner->remove(m_address, shared_from_this());
    }

    void fail(CallFault fault)
    {
        m_owner->faults.increment();
        auto job = std::exchange(m_job, std::nullopt);
        drop();
        if (job)
            job->done({ fault, 0, {} });
        m_owner->dispatch(m_address);
    }

    static constexpr size_t maxAnswerBytes = 8U << 20U; // 500 ends and all that runs, with room.

    const std::shared_ptr<Impl> m_owner;
    const std::string m_address;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    beast::http::request<beast::http::string_body> m_message;
    std::optional<beast::http::response_parser<beast::http::string_body>> m_parser;
    std::optional<Job> m_job;
    uint64_t m_use = 0;
};

void Client::Impl::dispatch(const std::string& address)
{
    if (closed)
        return;
    auto& pool = pools[address];
    while (!pool.queue.empty()) {
        const auto free = std::ranges::find_if(pool.connections, [](const auto& c) { return !c->isBusy(); });
        const bool isFull = pool.connections.size() >= options.connectionsPerAddress;
        if (free == pool.connections.end() && isFull)
            return;
        auto job = std::move(pool.queue.front());
        pool.queue.pop_front();
        if (free != pool.connections.end()) {
            (*free)->reuse(std::move(job));
        } else {
            auto connection = std::make_shared<Connection>(shared_from_this(), address);
            pool.connections.push_back(connection);
            connection->open(std::move(job));
        }
    }
    if (pool.connections.empty())
        pools.erase(address);
}

void Client::Impl::remove(const std::string& address, const std::shared_ptr<Connection>& connection)
{
    const auto found = pools.find(address);
    if (found != pools.end())
        std::erase(found->second.connections, connection);
}

Client::Client(asio::io_context& io, ClientOptions options, Metrics& metrics)
    : m_impl(std::make_shared<Impl>(io, options, metrics))
{
}

Client::~Client()
{
    m_impl->closed = true;
    // Each connection holds the pools that hold it.
    const auto pools = std::exchange(m_impl->pools, {});
    for (const auto& [address, pool] : pools) {
        for (const auto& connection : pool.connections)
            connection->close();
    }
}

void Client::call(const std::string& address, ClientRequest request, std::chrono::milliseconds timeout, Done done)
{
    m_impl->calls.increment();
    auto& pool = m_impl->pools[address];
    if (pool.queue.size() >= m_impl->options.queuePerAddress) {
        m_impl->faults.increment();
        return done({ CallFault::Unreachable, 0, {} });
    }
    pool.queue.push_back({ std::move(request), timeout, std::move(done) });
    m_impl->dispatch(address);
}

} // namespace turmericpier::http
