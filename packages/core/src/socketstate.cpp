#include "auburn/core/socketstate.h"

#include <boost/asio/buffer.hpp>

namespace auburn {

bool isSocketQuiet(boost::asio::ip::tcp::socket &socket)
{
    char byte = 0;
    boost::system::error_code error;
    socket.non_blocking(true, error);
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    return error == boost::asio::error::would_block;
}

} // namespace auburn
