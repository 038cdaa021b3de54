// ByteServer answers every connection with the same bytes, as soon as a request begins to arrive,
// and then ends its direction of the connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::fuzz {

class ByteServer
{
public:
    // Listens on a free port of 127.0.0.1. The pieces are written one after another.
    ByteServer(boost::asio::io_context &io, std::vector<std::string_view> pieces);

    std::string address() const;

private:
    struct Connection
    {
        explicit Connection(boost::asio::ip::tcp::socket connected)
            : socket(std::move(connected))
        {}

        boost::asio::ip::tcp::socket socket;
        std::array<char, 4096> buffer{};
        std::size_t written = 0;
    };

    void accept();
    void write(const std::shared_ptr<Connection> &connection);
    // Reads until the other side ends the connection.
    static void discard(const std::shared_ptr<Connection> &connection);

    const std::vector<std::string_view> pieces_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace auburn::fuzz
