#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace turmericpier::test {

/// Returns a loopback port on which nothing listens at the time of the call.
inline uint16_t freePort()
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
}

/// Returns the loopback address with a port from freePort().
inline std::string freeAddress() { return "127.0.0.1:" + std::to_string(freePort()); }

} // namespace turmericpier::test
