#pragma once

#include "turmericpier/base/memory-share.h"
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
    struct Limits {
        size_t connections = 0;
        size_t messageBytes = 0;
        size_t memoryBytes = 0; ///< For messages that are not complete; 0 for no limit.
    };

    Incoming(boost::asio::io_context& io, Limits limits, Metrics& metrics);

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
        MemoryReservation memory;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept();
    bool evictSilent();
    bool reserve(Connection& connection);
    bool makeCurrent(const ConnectionPtr& connection, const std::string& from);

    const Limits m_limits;
    const std::shared_ptr<MemoryShare> m_memory; ///< Null if there is no limit.
    // All connections read into one buffer, because most of them are idle at any time.
    std::array<char, 65'536> m_buffer {};
    Counter& m_received;
    Counter& m_receivedBytes;
    Counter& m_overLimit;
    Counter& m_superseded;
    Counter& m_evicted;
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
