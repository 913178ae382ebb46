#include "peer/socket-options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace turmericpier::peer::detail {

namespace {
    constexpr int keepAliveIdleSeconds = 5;
    constexpr int keepAliveIntervalSeconds = 2;
    constexpr int keepAliveProbes = 3;

    void setIntOption(int socket, int level, int name, int value)
    {
        ::setsockopt(socket, level, name, &value, sizeof value);
    }
} // namespace

void setOptions(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds userTimeout)
{
    const int handle = socket.native_handle();
    setIntOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setIntOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setIntOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setIntOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setIntOption(handle, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setIntOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(userTimeout.count()));
}

} // namespace turmericpier::peer::detail
