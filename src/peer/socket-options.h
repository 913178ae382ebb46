#pragma once

#include "turmericpier/peer/transport.h"

#include <boost/asio/ip/tcp.hpp>

namespace turmericpier::peer::detail {

/// Sets no delay, and lets the kernel end a connection whose other side has vanished without closing it.
void setOptions(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds userTimeout = defaultUserTimeout);

} // namespace turmericpier::peer::detail
