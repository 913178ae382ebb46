#include "peer/socket-options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace turmericpier::peer::detail {

namespace {
    // Longer than an election (3 s), so that a short pause of a peer does not cost a reconnect.
    constexpr int userTimeoutMs = 5'000;
    constexpr int keepAliveIdleS = 5;
    constexpr int keepAliveIntervalS = 2;
    constexpr int keepAliveProbes = 3;

    void setInt(int socket, int level, int name, int value) { ::setsockopt(socket, level, name, &value, sizeof value); }
} // namespace

void setOptions(boost::asio::ip::tcp::socket& socket)
{
    const int handle = socket.native_handle();
    setInt(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setInt(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setInt(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleS);
    setInt(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalS);
    setInt(handle, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setInt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMs);
}

} // namespace turmericpier::peer::detail
