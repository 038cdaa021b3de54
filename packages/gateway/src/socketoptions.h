#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace auburn::gateway {

constexpr std::chrono::milliseconds kDefaultUserTimeout{ 2500 };

// Sets the options of every TCP connection of the daemon: disables Nagle's algorithm, and enables
// keep-alive probes and a user timeout so that the connection to an unresponsive peer fails within
// a few seconds.
void setTcpOptions(boost::asio::ip::tcp::socket &socket);

// Sets how long sent data may stay unacknowledged before the kernel gives up the connection and
// what it has not transmitted; 0 disables this. The kernel does so even while the process is
// stopped, and also if the peer acknowledges its probes and only does not read.
void setUserTimeout(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds timeout);

} // namespace auburn::gateway
