#include "socketoptions.h"

#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace auburn::gateway {

using boost::asio::ip::tcp;

namespace {

constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void setOption(int descriptor, int level, int name, int value)
{
    // Errors are ignored: without an option only the early detection of an unresponsive peer is
    // lost.
    ::setsockopt(descriptor, level, name, &value, sizeof(value));
}

} // namespace

void setTcpOptions(tcp::socket &socket)
{
    const int descriptor = socket.native_handle();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setUserTimeout(socket, kDefaultUserTimeout);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

void setUserTimeout(tcp::socket &socket, std::chrono::milliseconds timeout)
{
    setOption(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(timeout.count()));
}

} // namespace auburn::gateway
