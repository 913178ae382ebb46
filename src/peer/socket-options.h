#pragma once

#include "turmericpier/peer/transport.h"

#include <boost/asio/ip/tcp.hpp>

namespace turmericpier::peer::detail {

/// Disables Nagle's algorithm, and makes the kernel end a connection whose peer vanished without closing it.
void setOptions(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds userTimeout = defaultUserTimeout);

} // namespace turmericpier::peer::detail
