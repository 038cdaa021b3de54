#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace auburn::gateway {

// Sets the options of every TCP connection of the daemon: disables Nagle's algorithm, and enables
// keep-alive probes and a user timeout so that the connection to an unresponsive peer fails within
// a few seconds.
void setTcpOptions(boost::asio::ip::tcp::socket &socket);

} // namespace auburn::gateway
