// ByteServer answers every connection with the same bytes, as soon as a request begins to arrive,
// and then ends its direction of the connection.
//
// All inputs of the process share one server and one io_context: the side that ends a connection
// first keeps its port in use for a minute, so a port for each input would use up those of the
// machine.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburn::fuzz {

class ByteServer
{
public:
    using Pieces = std::vector<std::string>;

    // Listens on a free port of 127.0.0.1.
    explicit ByteServer(boost::asio::io_context &io);

    std::string address() const;
    // The bytes for further connections, which are written one piece after another.
    void setAnswer(const std::vector<std::string_view> &pieces);

private:
    struct Connection
    {
        Connection(boost::asio::ip::tcp::socket connected, std::shared_ptr<const Pieces> answer)
            : socket(std::move(connected))
            , pieces(std::move(answer))
        {}

        boost::asio::ip::tcp::socket socket;
        std::array<char, 4096> buffer{};
        std::shared_ptr<const Pieces> pieces;
        std::size_t written = 0;
    };

    void accept();
    static void write(const std::shared_ptr<Connection> &connection);
    // Reads until the other side ends the connection.
    static void discard(const std::shared_ptr<Connection> &connection);

    std::shared_ptr<const Pieces> pieces_ = std::make_shared<const Pieces>();
    boost::asio::ip::tcp::acceptor acceptor_;
};

boost::asio::io_context &sharedContext();
// Runs in the shared context.
ByteServer &sharedServer();

} // namespace auburn::fuzz
