#include "soak/links.h"

#include "peer_generated.h"
#include "turmericpier/peer/address.h"
#include "turmericpier/peer/frame.h"

#include <array>
#include <boost/asio/write.hpp>

namespace turmericpier::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
    constexpr milliseconds holdCheckInterval { 10 };

    tcp::endpoint endpointOf(const std::string& address)
    {
        const auto parsed = peer::parseAddress(address);
        return { asio::ip::make_address(parsed->host), parsed->port };
    }
} // namespace

struct Links::Listener {
    std::string to;
    tcp::endpoint target;
    tcp::acceptor acceptor;
};

/// Forwards the bytes of one connection. The receiver sends nothing.
class Links::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Links& owner, const std::string& to, tcp::socket source)
        : m_owner(owner)
        , m_link({}, to)
        , m_source(std::move(source))
        , m_target(owner.m_world.io)
    {
    }

    void start(const tcp::endpoint& target)
    {
        m_target.async_connect(target, [self = shared_from_this()](error_code error) {
            if (error)
                return self->close();
            error_code ignored;
            self->m_target.set_option(tcp::no_delay(true), ignored);
            self->read();
            self->awaitTargetEnd();
        });
    }

    void silence() { m_silent = true; }

    /// Resets both sides.
    void close()
    {
        error_code ignored;
        for (auto* socket : { &m_source, &m_target }) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
        m_owner.m_connections.erase(shared_from_this());
    }

private:
    void read()
    {
        m_source.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](error_code error, size_t size) {
            if (error)
                return self->close();
            self->identify(size);
            self->forward(size);
        });
    }

    /// The first message on a connection names its sender.
    void identify(size_t size)
    {
        if (!m_link.first.empty())
            return;
        m_decoder.append({ m_buffer.data(), size });
        const auto message = m_decoder.next();
        if (message.ok() && *message)
            m_link.first = (*message)->from.substr(0, (*message)->from.find('/'));
    }

    void forward(size_t size)
    {
        if (m_silent)
            return; // Nothing is read any more; the connection stays open.
        const auto hold = m_owner.holdTime(m_link);
        if (hold > milliseconds(0)) {
            m_owner.m_world.after(
                std::min(hold, m_delayed ? hold : holdCheckInterval), [self = shared_from_this(), size] {
                    if (self->m_owner.m_connections.contains(self))
                        self->forward(size);
                });
            return;
        }
        const auto delay = m_owner.m_delays.find(m_link);
        if (delay != m_owner.m_delays.end() && !std::exchange(m_delayed, true)) {
            m_owner.m_world.after(delay->second, [self = shared_from_this(), size] {
                if (self->m_owner.m_connections.contains(self))
                    self->forward(size);
            });
            return;
        }
        m_delayed = false;
        asio::async_write(
            m_target, asio::buffer(m_buffer, size), [self = shared_from_this()](error_code error, size_t) {
                if (error)
                    return self->close();
                self->read();
            });
    }

    void awaitTargetEnd()
    {
        m_target.async_read_some(asio::buffer(&m_byte, 1), [self = shared_from_this()](error_code, size_t) {
            // A silent connection shows nothing of the other side, not even its end.
            if (!self->m_silent)
                self->close();
        });
    }

    static constexpr size_t bufferSize = 65'536;

    Links& m_owner;
    Link m_link;
    tcp::socket m_source;
    tcp::socket m_target;
    std::array<char, bufferSize> m_buffer {};
    char m_byte = 0;
    peer::FrameDecoder m_decoder;
    bool m_silent = false;
    bool m_delayed = false;
};

void Links::add(const std::string& to, const std::string& listen)
{
    auto listener = std::make_shared<Listener>(Listener { to, endpointOf(listen), tcp::acceptor(m_world.io) });
    const auto endpoint = endpointOf(to);
    listener->acceptor.open(endpoint.protocol());
    listener->acceptor.set_option(tcp::acceptor::reuse_address(true));
    listener->acceptor.bind(endpoint);
    listener->acceptor.listen();
    accept(listener);
}

void Links::accept(const std::shared_ptr<Listener>& listener)
{
    listener->acceptor.async_accept([this, listener](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            auto connection = std::make_shared<Connection>(*this, listener->to, std::move(socket));
            m_connections.insert(connection);
            connection->start(listener->target);
        }
        accept(listener);
    });
}

/// Returns the time for which bytes on the link are held back from now.
milliseconds Links::holdTime(const Link& link) const
{
    const auto found = m_cutUntil.find(link);
    return found == m_cutUntil.end() ? milliseconds(0) : found->second - m_world.now();
}

void Links::cut(const Link& link, Time end)
{
    auto& until = m_cutUntil[link];
    until = std::max(until, end);
}

void Links::resetAll()
{
    for (const auto& connection : std::set(m_connections))
        connection->close();
}

void Links::silenceAll()
{
    for (const auto& connection : m_connections)
        connection->silence();
}

} // namespace turmericpier::soak
