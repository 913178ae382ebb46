#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericpier::peer {

/// An IP address and a port.
struct Address {
    std::string host;
    uint16_t port = 0;
};

/// Parses "127.0.0.1:7001"; nothing if the host is no IP address or the port is none.
std::optional<Address> parseAddress(std::string_view text);

} // namespace turmericpier::peer
