#include "turmericpier/peer/address.h"

#include <absl/strings/numbers.h>
#include <boost/asio/ip/address.hpp>

namespace turmericpier::peer {

std::optional<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Address address { std::string(text.substr(0, colon)) };
    boost::system::error_code error;
    boost::asio::ip::make_address(address.host, error);
    uint32_t port = 0;
    if (error || !absl::SimpleAtoi(absl::string_view(text.data() + colon + 1, text.size() - colon - 1), &port)
        || port > UINT16_MAX)
        return std::nullopt;
    address.port = static_cast<uint16_t>(port);
    return address;
}

} // namespace turmericpier::peer
