#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace auburn::gateway {

// Sets the options of every TCP connection of the daemon: disables Nagle's algorithm, and enables
// keep-alive probes and a user timeout so that the connection to an unresponsive peer fails within
// a few seconds.
void setTcpOptions(boost::asio::ip::tcp::socket &socket);

// Sets how long sent data may stay unacknowledged before the kernel gives up the connection and
// what it has not transmitted. The kernel does so even while the process is stopped.
void setUserTimeout(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds timeout);

} // namespace auburn::gateway
