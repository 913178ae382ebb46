#include "peer/socket-options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace turmericpier::peer::detail {

namespace {
    constexpr int keepAliveIdleS = 5;
    constexpr int keepAliveIntervalS = 2;
    constexpr int keepAliveProbes = 3;

    void setInt(int socket, int level, int name, int value) { ::setsockopt(socket, level, name, &value, sizeof value); }
} // namespace

void setOptions(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds userTimeout)
{
    const int handle = socket.native_handle();
    setInt(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setInt(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setInt(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleS);
    setInt(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalS);
    setInt(handle, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setInt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(userTimeout.count()));
}

} // namespace turmericpier::peer::detail
