#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace turmericpier::test {

/// A port of the loopback address on which nothing listens.
inline uint16_t freePort()
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
}

inline std::string freeAddress() { return "127.0.0.1:" + std::to_string(freePort()); }

} // namespace turmericpier::test
