#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericpier::peer {

/// An IP address in text form and a port.
struct Address {
    std::string host;
    uint16_t port = 0;
};

/// Parses an address such as "127.0.0.1:7001". Returns nothing if the host is not an IP address or the port is not a
/// number from 0 to 65535.
std::optional<Address> parseAddress(std::string_view text);

} // namespace turmericpier::peer
