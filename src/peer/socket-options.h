#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace turmericpier::peer::detail {

/// Sets no delay, and lets the kernel end a connection whose other side has vanished without closing it.
void setOptions(
    boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds userTimeout = std::chrono::milliseconds(5'000));

} // namespace turmericpier::peer::detail
