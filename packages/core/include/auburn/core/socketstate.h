// State of a connected socket, as the kernel knows it.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace auburn {

// Returns true if the peer has neither closed the connection nor sent bytes that have not been
// read. Makes the socket non-blocking.
bool isSocketQuiet(boost::asio::ip::tcp::socket &socket);

} // namespace auburn
