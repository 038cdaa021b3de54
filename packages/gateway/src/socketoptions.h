// Options that every TCP connection of the daemon gets.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace auburn::gateway {

// Turns off Nagle's algorithm and makes a peer that has gone silent end the connection with an
// error within a few seconds.
void setTransportOptions(boost::asio::ip::tcp::socket &socket);

// Opens the acceptor on IP:PORT; false with lastError() set if the address cannot be used.
bool listenOn(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address, int backlog);

} // namespace auburn::gateway
