#include "soak/worker-links.h"

#include "turmericpier/peer/address.h"

#include <array>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

namespace turmericpier::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
    constexpr milliseconds cutCheckInterval { 5 };

    tcp::endpoint endpointOf(const std::string& address)
    {
        const auto parsed = peer::parseAddress(address);
        return { asio::ip::make_address(parsed->host), parsed->port };
    }

    /// Returns true if the other side has closed the connection, also behind bytes that were not read.
    bool isClosedByPeer(tcp::socket& socket)
    {
        tcp_info info {};
        socklen_t size = sizeof info;
        return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0
            || info.tcpi_state != TCP_ESTABLISHED;
    }
} // namespace

struct WorkerLinks::Listener {
    std::string address;
    tcp::endpoint target;
    tcp::acceptor acceptor;
};

class WorkerLinks::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(WorkerLinks& owner, const std::string& address, tcp::socket source)
        : m_owner(owner)
        , m_cuts(owner.m_cuts[address])
        , m_source(std::move(source))
        , m_target(owner.m_world.io)
    {
    }

    /// Connects to the worker once nothing is cut, unless the caller has given up by then.
    void start(const tcp::endpoint& target)
    {
        if (std::max(m_cuts.toWorker, m_cuts.fromWorker) > m_owner.m_world.now())
            return later([this, target] { start(target); });
        if (isClosedByPeer(m_source))
            return close();
        m_target.async_connect(target, [self = shared_from_this()](error_code error) {
            if (error)
                return self->close();
            error_code ignored;
            self->m_target.set_option(tcp::no_delay(true), ignored);
            self->m_source.set_option(tcp::no_delay(true), ignored);
            self->read(self->m_toWorker, self->m_source);
            self->read(self->m_fromWorker, self->m_target);
        });
    }

private:
    struct Direction {
        Time& cutUntil;
        std::array<char, 65'536> buffer {};
    };

    void later(std::function<void()> function)
    {
        m_owner.m_world.after(cutCheckInterval, [self = shared_from_this(), function = std::move(function)] {
            if (self->m_owner.m_connections.contains(self))
                function();
        });
    }

    void read(Direction& direction, tcp::socket& from)
    {
        from.async_read_some(asio::buffer(direction.buffer),
            [self = shared_from_this(), &direction, &from](
                error_code error, size_t size) { self->forward(direction, from, error ? 0 : size); });
    }

    /// Forwards bytes, or the end of the stream if there are none.
    void forward(Direction& direction, tcp::socket& from, size_t size)
    {
        if (direction.cutUntil > m_owner.m_world.now())
            return later([this, &direction, &from, size] { forward(direction, from, size); });
        if (size == 0)
            return close();
        auto& to = &from == &m_source ? m_target : m_source;
        asio::async_write(to, asio::buffer(direction.buffer, size),
            [self = shared_from_this(), &direction, &from](error_code error, size_t) {
                if (error)
                    return self->close();
                self->read(direction, from);
            });
    }

    void close()
    {
        error_code ignored;
        m_source.close(ignored);
        m_target.close(ignored);
        m_owner.m_connections.erase(shared_from_this());
    }

    WorkerLinks& m_owner;
    Cuts& m_cuts;
    tcp::socket m_source;
    tcp::socket m_target;
    Direction m_toWorker { m_cuts.toWorker };
    Direction m_fromWorker { m_cuts.fromWorker };
};

void WorkerLinks::add(const std::string& address, const std::string& listen)
{
    m_listeners[address]
        = std::make_shared<Listener>(Listener { address, endpointOf(listen), tcp::acceptor(m_world.io) });
    this->listen(m_listeners[address]);
}

void WorkerLinks::refuse(const std::string& address, bool refuses)
{
    const auto& listener = m_listeners.at(address);
    error_code ignored;
    if (refuses)
        listener->acceptor.close(ignored);
    else if (!listener->acceptor.is_open())
        listen(listener);
}

void WorkerLinks::listen(const std::shared_ptr<Listener>& listener)
{
    const auto endpoint = endpointOf(listener->address);
    listener->acceptor.open(endpoint.protocol());
    listener->acceptor.set_option(tcp::acceptor::reuse_address(true));
    listener->acceptor.bind(endpoint);
    listener->acceptor.listen();
    accept(listener);
}

void WorkerLinks::accept(const std::shared_ptr<Listener>& listener)
{
    listener->acceptor.async_accept([this, listener](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            auto connection = std::make_shared<Connection>(*this, listener->address, std::move(socket));
            m_connections.insert(connection);
            connection->start(listener->target);
        }
        accept(listener);
    });
}

void WorkerLinks::cut(const std::string& address, Cut cut, Time end)
{
    auto& cuts = m_cuts[address];
    if (cut.toWorker)
        cuts.toWorker = std::max(cuts.toWorker, end);
    if (cut.fromWorker)
        cuts.fromWorker = std::max(cuts.fromWorker, end);
}

} // namespace turmericpier::soak
