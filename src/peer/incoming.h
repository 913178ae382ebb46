#pragma once

#include "turmericpier/base/metrics.h"
#include "turmericpier/peer/frame.h"
#include "turmericpier/peer/transport.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace turmericpier::peer::detail {

/// Accepts connections and passes the envelopes received over them to the handler.
class Incoming {
public:
    Incoming(boost::asio::io_context& io, size_t maxConnections, Metrics& metrics);

    absl::Status listen(const Address& address);
    uint16_t port() const { return m_port; }
    void setHandler(Transport::Handler handler) { m_handler = std::move(handler); }
    size_t connections() const { return static_cast<size_t>(m_connectionCount.value()); }

private:
    struct Connection : std::enable_shared_from_this<Connection> {
        Connection(Incoming& owner, boost::asio::ip::tcp::socket socket, uint64_t serial);
        void read();
        bool decode();
        void close(std::string_view reason);

        Incoming& owner;
        boost::asio::ip::tcp::socket socket;
        const uint64_t serial; ///< Increases in the order of acceptance.
        std::string peer; ///< Sender of the envelopes; empty before the first one.
        FrameDecoder decoder;
        std::array<char, 65'536> buffer;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept();
    bool makeCurrent(const ConnectionPtr& connection, const std::string& from);

    const size_t m_maxConnections;
    Counter& m_received;
    Counter& m_receivedBytes;
    Counter& m_overLimit;
    Counter& m_superseded;
    std::array<Counter*, frameFaultCount> m_faults;
    Gauge& m_connectionCount;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptRetry;
    uint16_t m_port = 0;
    Transport::Handler m_handler;
    uint64_t m_nextSerial = 1;
    std::set<ConnectionPtr> m_connections;
    std::map<std::string, ConnectionPtr> m_current; ///< Newest connection of each sender that has sent an envelope.
};

} // namespace turmericpier::peer::detail
