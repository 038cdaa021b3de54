#include "byteserver.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace auburn::fuzz {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

ByteServer::ByteServer(asio::io_context &io)
    : acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
    accept();
}

std::string ByteServer::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void ByteServer::setAnswer(const std::vector<std::string_view> &pieces)
{
    pieces_ = std::make_shared<const Pieces>(pieces.begin(), pieces.end());
}

void ByteServer::accept()
{
    acceptor_.async_accept([this](ErrorCode error, tcp::socket socket) {
        if (error)
            return;
        const auto connection = std::make_shared<Connection>(std::move(socket), pieces_);
        ErrorCode ignored;
        connection->socket.set_option(tcp::no_delay(true), ignored);
        connection->socket.async_read_some(asio::buffer(connection->buffer),
                                           [connection](ErrorCode failure, std::size_t) {
                                               if (!failure)
                                                   write(connection);
                                           });
        accept();
    });
}

void ByteServer::write(const std::shared_ptr<Connection> &connection)
{
    if (connection->written == connection->pieces->size()) {
        ErrorCode ignored;
        connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
        discard(connection);
        return;
    }
    const std::string &piece = (*connection->pieces)[connection->written++];
    asio::async_write(connection->socket, asio::buffer(piece),
                      [connection](ErrorCode error, std::size_t) {
                          if (!error)
                              write(connection);
                      });
}

void ByteServer::discard(const std::shared_ptr<Connection> &connection)
{
    connection->socket.async_read_some(asio::buffer(connection->buffer),
                                       [connection](ErrorCode error, std::size_t) {
                                           if (!error)
                                               discard(connection);
                                       });
}

asio::io_context &sharedContext()
{
    static asio::io_context io;
    return io;
}

ByteServer &sharedServer()
{
    static ByteServer server(sharedContext());
    return server;
}

} // namespace auburn::fuzz
