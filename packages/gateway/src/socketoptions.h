// Options that every TCP connection of the daemon gets.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace auburn::gateway {

// Turns off Nagle's algorithm and makes a peer that has gone silent end the connection with an
// error within a few seconds.
void setTcpOptions(boost::asio::ip::tcp::socket &socket);

} // namespace auburn::gateway
