#include "socketoptions.h"

#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace auburn::gateway {

using boost::asio::ip::tcp;

namespace {

// Unacknowledged data ends the connection after this time.
constexpr std::chrono::milliseconds kUserTimeout{ 2500 };
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void setOption(int descriptor, int level, int name, int value)
{
    // A system without the option only loses the early notice of a silent peer.
    ::setsockopt(descriptor, level, name, &value, sizeof(value));
}

} // namespace

void setTcpOptions(tcp::socket &socket)
{
    const int descriptor = socket.native_handle();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(kUserTimeout.count()));
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

} // namespace auburn::gateway
