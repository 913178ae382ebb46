#include "turmericpier/http/client.h"

#include "http/idle-list.h"
#include "http/message-reader.h"
#include "turmericpier/base/log.h"
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
    std::optional<tcp::endpoint> parseEndpoint(const std::string& address)
    {
        const auto parsed = peer::parseAddress(address);
        if (!parsed)
            return std::nullopt;
        return tcp::endpoint(asio::ip::make_address(parsed->host), parsed->port);
    }
} // namespace

struct Client::Impl : std::enable_shared_from_this<Impl> {
    struct PendingRequest {
        ClientRequest request;
        std::chrono::milliseconds timeout;
        Done done;
        std::optional<PeerBinding> binding;
        TimePoint sendBy;

        /// Returns true if the request must not be sent before the server has shown its identity.
        bool needsIdentityCheck() const { return binding && binding->makeIdentityCheck; }
    };
    class Connection;
    struct Pool {
        std::deque<PendingRequest> queue;
        std::vector<std::shared_ptr<Connection>> connections;
        bool starved = false; ///< Waits in `starved` for a connection.
    };

    Impl(asio::io_context& io, ClientOptions options, const Clock& clock, Metrics& metrics)
        : io(io)
        , options(std::move(options))
        , clock(clock)
        , calls(metrics.counter("http_client_calls_total"))
        , connects(metrics.counter("http_client_connects_total"))
        , faults(metrics.counter("http_client_faults_total"))
        , identityChecks(metrics.counter("http_client_identity_checks_total"))
        , otherPeers(metrics.counter("http_client_other_peers_total"))
        , expiries(metrics.counter("http_client_expired_total"))
        , evictions(metrics.counter("http_client_evictions_total"))
        , starvations(metrics.counter("http_client_starved_total"))
        , interimRefused(metrics.counter("http_client_interim_refused_total"))
        , openGauge(metrics.gauge("http_client_connections"))
        , idleTimer(io)
    {
    }

    void dispatch(const std::string& address);
    void dispatchStarved();
    static std::shared_ptr<Connection> findIdle(Pool& pool, const PendingRequest& pending);
    void failLater(PendingRequest pending, CallFault fault);
    void failWaiting(const std::string& address, const std::string& identity);
    void removeConnection(const std::string& address, const std::shared_ptr<Connection>& connection);
    void closeIdleConnections();
    void scheduleIdleCheck();
    bool reserve(Connection& connection, size_t bytes);

    asio::io_context& io;
    const ClientOptions options;
    const Clock& clock;
    Counter& calls;
    Counter& connects;
    Counter& faults;
    Counter& identityChecks;
    Counter& otherPeers;
    Counter& expiries;
    Counter& evictions;
    Counter& starvations;
    Counter& interimRefused;
    Gauge& openGauge;
    std::map<std::string, Pool> pools;
    IdleList idle;
    /// Addresses with queued requests and no connection, because the limit of all connections was reached.
    std::deque<std::string> starved;
    size_t openCount = 0;
    asio::steady_timer idleTimer;
    bool idleCheckScheduled = false;
    bool closed = false;
};

/// A connection that carries at most one request at a time.
class Client::Impl::Connection final : public IdleConnection, public std::enable_shared_from_this<Connection> {
public:
    Connection(std::shared_ptr<Impl> owner, std::string address)
        : m_owner(std::move(owner))
        , m_address(std::move(address))
        , m_stream(m_owner->io)
        , m_memory(m_owner->options.memory, m_address)
    {
    }

    TimePoint idleSince() const { return m_idleSince; }
    /// Identity that the server has shown; empty if none.
    const std::string& identity() const { return m_identity; }

    void open(PendingRequest pending)
    {
        m_pending = std::move(pending);
        const auto endpoint = parseEndpoint(m_address);
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
            self->sendInTime();
        });
    }

    void reuse(PendingRequest pending)
    {
        m_pending = std::move(pending);
        unlink();
        ++m_useCount;
        send();
    }

    void close()
    {
        error_code ignored;
        m_stream.socket().close(ignored);
    }

    bool isReading() const { return m_isReading; }
    /// Returns true if nothing has arrived since the last response.
    bool isClean()
    {
        error_code error;
        return m_stream.socket().available(error) == 0 && !error;
    }
    MemoryReservation& memory() { return m_memory; }

    /// Gives up the request, which is in doubt.
    void abandon() { fail(CallFault::NoAnswer); }

    void discard() override
    {
        unlink();
        close();
        m_owner->removeConnection(m_address, shared_from_this());
    }

private:
    /// Sends the request unless it has waited too long for the connection. Must not be called by dispatch(), because a
    /// failure removes the connection and dispatches again.
    void sendInTime()
    {
        if (m_owner->clock.now() > m_pending->sendBy) {
            m_owner->expiries.increment();
            return fail(CallFault::Unreachable);
        }
        send();
    }

    void send()
    {
        m_isChecking = m_pending->needsIdentityCheck() && m_identity.empty();
        if (!m_isChecking)
            return write(std::move(m_pending->request), m_pending->timeout);
        m_owner->identityChecks.increment();
        write(m_pending->binding->makeIdentityCheck(), m_pending->binding->timeout);
    }

    void write(ClientRequest request, std::chrono::milliseconds timeout)
    {
        m_message = {};
        m_message.method_string(request.method);
        m_message.target(request.target);
        m_message.set(beast::http::field::host, m_address);
        if (!request.body.empty())
            m_message.set(beast::http::field::content_type, "application/json");
        for (const auto& [name, value] : request.headers)
            m_message.set(name, value);
        m_message.body() = std::move(request.body);
        m_message.prepare_payload();
        m_stream.expires_after(timeout);
        beast::http::async_write(m_stream, m_message, [self = shared_from_this()](error_code error, size_t) {
            if (error)
                return self->fail(CallFault::NoAnswer);
            self->receive();
        });
    }

    void receive()
    {
        m_informationalCount = 0;
        m_isReading = true;
        m_reader.begin();
        read();
    }

    void read()
    {
        m_stream.async_read_some(m_reader.prepare(), [self = shared_from_this()](error_code error, size_t size) {
            if (!self->m_isReading)
                return;
            if (error == asio::error::eof)
                return self->onEnd();
            if (error)
                return self->fail(CallFault::NoAnswer);
            self->m_reader.received(size);
            self->parse();
        });
    }

    void parse()
    {
        error_code error;
        for (auto step = m_reader.parse(error);; step = m_reader.parse(error)) {
            if (step == Step::Failed)
                return fail(CallFault::NoAnswer);
            if (step == Step::Header) // The fields may take many times their size while the body is read.
                m_reader.parser().get().base().clear();
            if (!m_owner->reserve(*this, m_reader.memory()))
                return;
            if (step == Step::Done) {
                if (!isInformational())
                    return finish();
                if (!skipInformational())
                    return;
            }
            if (step == Step::Read)
                return read();
        }
    }

    bool isInformational()
    {
        return m_reader.parser().get().result_int() < static_cast<unsigned>(beast::http::status::ok);
    }

    /// Goes on to the response behind an informational one (1xx). Returns false if the call has failed.
    bool skipInformational()
    {
        constexpr uint32_t maxInformational = 4;
        if (m_reader.parser().get().result() == beast::http::status::switching_protocols
            || ++m_informationalCount > maxInformational) {
            m_owner->interimRefused.increment();
            fail(CallFault::NoAnswer);
            return false;
        }
        m_reader.begin();
        return true;
    }

    /// A response without a length ends with the connection.
    void onEnd()
    {
        error_code error;
        if (!m_reader.isHeaderSeen() || !m_reader.parser().need_eof())
            return fail(CallFault::NoAnswer);
        m_reader.parser().put_eof(error);
        if (error)
            return fail(CallFault::NoAnswer);
        finish();
    }

    void finish()
    {
        m_isReading = false;
        auto& parser = m_reader.parser();
        const bool keepAlive = parser.keep_alive();
        ClientResponse response { CallFault::None, parser.get().result_int(), std::move(parser.get().body()) };
        m_reader.reset();
        m_memory.tryResize(m_reader.memory());
        // Bytes behind the response belong to no request.
        const bool isReusable = keepAlive && m_reader.unparsedBytes() == 0 && isClean();
        if (m_pending->binding && m_identity.empty())
            m_identity = m_pending->binding->identify(response);
        if (std::exchange(m_isChecking, false)) {
            if (m_identity == m_pending->binding->identity && isReusable)
                return sendInTime();
            refuse(response);
        }
        auto pending = std::exchange(m_pending, std::nullopt);
        if (isReusable)
            awaitReuse();
        else
            discard();
        pending->done(std::move(response));
        m_owner->dispatch(m_address);
        m_owner->dispatchStarved();
    }

    /// Turns the response to the identity check into that to the request, which is not sent.
    void refuse(ClientResponse& response)
    {
        constexpr unsigned firstError = 300;
        response.isRequestSent = false;
        const auto& expected = m_pending->binding->identity;
        if (m_identity.empty() || m_identity == expected) {
            if (response.status >= firstError)
                return;
            // Such a server gets no bound requests at all.
            logDecision("http", "identity", m_address, "not verified",
                { { "expected", expected },
                    { "reason",
                        m_identity.empty() ? "the response shows no identity" : "the connection ends with it" } });
            response.fault = CallFault::Unreachable;
            return;
        }
        m_owner->otherPeers.increment();
        response.fault = CallFault::OtherPeer;
        m_owner->failWaiting(m_address, expected);
    }

    /// Keeps the connection for the next request and discards it when the server closes it.
    void awaitReuse()
    {
        // The timer of the stream does not apply to a wait on its socket, so the owner closes idle connections.
        m_stream.expires_never();
        m_idleSince = m_owner->clock.now();
        m_owner->idle.push_back(*this);
        m_owner->scheduleIdleCheck();
        const auto useCount = ++m_useCount;
        m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this(), useCount](error_code) {
            if (!self->m_pending && self->m_useCount == useCount)
                self->discard();
        });
    }

    void fail(CallFault fault)
    {
        m_owner->faults.increment();
        m_isReading = false;
        if (std::exchange(m_isChecking, false) && fault == CallFault::NoAnswer)
            fault = CallFault::Unreachable; // Only the identity check was sent.
        auto pending = std::exchange(m_pending, std::nullopt);
        discard();
        m_reader.clear();
        m_memory.tryResize(0);
        if (pending)
            pending->done({ fault, 0, {} });
        m_owner->dispatch(m_address);
        m_owner->dispatchStarved();
    }

    // A poll response lists up to 500 ended tasks and all running ones; this leaves headroom.
    static constexpr size_t maxResponseBytes = 8U << 20U;

    using Step = MessageReader<false>::Step;

    const std::shared_ptr<Impl> m_owner;
    const std::string m_address;
    beast::tcp_stream m_stream;
    MessageReader<false> m_reader { ReaderLimits { .bodyBytes = maxResponseBytes } };
    MemoryReservation m_memory;
    beast::http::request<beast::http::string_body> m_message;
    bool m_isReading = false;
    uint32_t m_informationalCount = 0; ///< Informational responses to the current request.
    std::optional<PendingRequest> m_pending;
    bool m_isChecking = false; ///< The identity check of the pending request was sent in its place.
    std::string m_identity;
    uint64_t m_useCount = 0;
    TimePoint m_idleSince;
};

/// Reserves memory for a response in place of what its connection has reserved before. Gives up larger responses that
/// are still being read if that is needed. Returns false if the response itself was given up.
bool Client::Impl::reserve(Connection& connection, size_t bytes)
{
    while (!connection.memory().tryResize(bytes)) {
        std::shared_ptr<Connection> largest;
        LargestHolder search(connection.memory(), bytes);
        if (!connection.memory().isSourceFull(bytes)) {
            for (const auto& [address, pool] : pools) {
                for (const auto& other : pool.connections) {
                    if (other.get() != &connection && other->isReading() && search.consider(other->memory()))
                        largest = other;
                }
            }
        }
        auto& refused = largest ? *largest : connection;
        options.memory->recordRefusal(refused.memory().source(), refused.memory().size(), bytes);
        refused.abandon();
        if (!largest)
            return false;
    }
    return true;
}

/// Returns an idle connection on which the request or its identity check may be sent, or null.
std::shared_ptr<Client::Impl::Connection> Client::Impl::findIdle(Pool& pool, const PendingRequest& pending)
{
    std::shared_ptr<Connection> unknown;
    for (const auto& connection : pool.connections) {
        if (!connection->isIdle())
            continue;
        if (!pending.needsIdentityCheck() || connection->identity() == pending.binding->identity)
            return connection;
        if (connection->identity().empty())
            unknown = connection;
    }
    return unknown;
}

/// Fails a request that was not sent, once the caller has returned.
void Client::Impl::failLater(PendingRequest pending, CallFault fault)
{
    faults.increment();
    asio::post(io, [self = shared_from_this(), done = std::move(pending.done), fault] {
        if (!self->closed)
            done({ fault, 0, {} });
    });
}

/// Fails the requests that wait for a connection to a process that serves the address no longer.
void Client::Impl::failWaiting(const std::string& address, const std::string& identity)
{
    for (auto& pending : std::exchange(pools[address].queue, {})) {
        if (pending.needsIdentityCheck() && pending.binding->identity == identity)
            failLater(std::move(pending), CallFault::OtherPeer);
        else
            pools[address].queue.push_back(std::move(pending));
    }
}

void Client::Impl::dispatch(const std::string& address)
{
    if (closed)
        return;
    auto& pool = pools[address];
    while (!pool.queue.empty()) {
        const auto& next = pool.queue.front();
        if (clock.now() > next.sendBy) {
            expiries.increment();
            failLater(std::move(pool.queue.front()), CallFault::Unreachable);
            pool.queue.pop_front();
            continue;
        }
        const auto reusable = findIdle(pool, next);
        if (reusable && !reusable->isClean()) {
            reusable->discard(); // Its bytes would be taken for the next response.
            continue;
        }
        const bool isFull = pool.connections.size() >= options.connectionsPerAddress;
        if (!reusable) {
            if (isFull) {
                // Idle connections are of no use to a request for another process than theirs.
                const auto other = std::ranges::find_if(pool.connections, [](const auto& c) { return c->isIdle(); });
                if (other == pool.connections.end())
                    return;
                std::shared_ptr(*other)->discard();
                continue;
            }
            if (openCount >= options.maxConnections && !evictLongestIdle(idle, evictions)) {
                if (pool.connections.empty() && !std::exchange(pool.starved, true)) {
                    starvations.increment();
                    starved.push_back(address);
                }
                return;
            }
        }
        auto pending = std::move(pool.queue.front());
        pool.queue.pop_front();
        if (reusable) {
            reusable->reuse(std::move(pending));
        } else {
            auto connection = std::make_shared<Connection>(shared_from_this(), address);
            pool.connections.push_back(connection);
            openGauge.set(static_cast<int64_t>(++openCount));
            connection->open(std::move(pending));
        }
    }
    if (pool.connections.empty())
        pools.erase(address);
}

void Client::Impl::removeConnection(const std::string& address, const std::shared_ptr<Connection>& connection)
{
    const auto found = pools.find(address);
    if (found == pools.end() || std::erase(found->second.connections, connection) == 0)
        return;
    openGauge.set(static_cast<int64_t>(--openCount));
    if (found->second.connections.empty() && found->second.queue.empty())
        pools.erase(found);
}

/// Opens connections to addresses that have none, as far as the limit of all connections allows.
void Client::Impl::dispatchStarved()
{
    while (!starved.empty() && (openCount < options.maxConnections || !idle.empty())) {
        const auto address = std::move(starved.front());
        starved.pop_front();
        pools[address].starved = false;
        dispatch(address);
    }
}

void Client::Impl::closeIdleConnections()
{
    const auto now = clock.now();
    while (!idle.empty() && now - static_cast<const Connection&>(idle.front()).idleSince() >= options.idleTimeout)
        idle.front().discard();
}

void Client::Impl::scheduleIdleCheck()
{
    constexpr int checksPerTimeout = 4;
    if (closed || idle.empty() || std::exchange(idleCheckScheduled, true))
        return;
    idleTimer.expires_after(options.idleTimeout / checksPerTimeout);
    idleTimer.async_wait([weak = weak_from_this()](error_code error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->idleCheckScheduled = false;
        self->closeIdleConnections();
        self->scheduleIdleCheck();
    });
}

Client::Client(asio::io_context& io, ClientOptions options, const Clock& clock, Metrics& metrics)
    : m_impl(std::make_shared<Impl>(io, std::move(options), clock, metrics))
{
}

Client::~Client()
{
    m_impl->closed = true;
    m_impl->idleTimer.cancel();
    // Breaks the reference cycle between the connections and the pools that contain them.
    const auto pools = std::exchange(m_impl->pools, {});
    for (const auto& [address, pool] : pools) {
        for (const auto& connection : pool.connections)
            connection->close();
    }
}

void Client::call(const std::string& address, ClientRequest request, std::chrono::milliseconds timeout, Done done,
    std::optional<PeerBinding> binding)
{
    m_impl->calls.increment();
    auto& pool = m_impl->pools[address];
    if (pool.queue.size() >= m_impl->options.queuePerAddress) {
        m_impl->faults.increment();
        return done({ CallFault::Unreachable, 0, {} });
    }
    const auto sendBy = m_impl->clock.now() + m_impl->options.sendTimeout;
    pool.queue.push_back({ std::move(request), timeout, std::move(done), std::move(binding), sendBy });
    m_impl->dispatch(address);
}

void Client::closeIdleConnections() { m_impl->closeIdleConnections(); }

size_t Client::openConnections() const { return m_impl->openCount; }

} // namespace turmericpier::http
