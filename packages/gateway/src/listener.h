// Listener: accepts connections on one address for as long as it lives.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace auburn::gateway {

class Listener
{
public:
    using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

    Listener(boost::asio::io_context &io, Handler onAccepted);

    // Starts on IP:PORT; false with lastError() set if the address cannot be used.
    bool listen(const std::string &address, int backlog);

private:
    bool open(const std::string &address, int backlog);
    void accept();
    // Accepting fails as long as there is no descriptor.
    void retryAcceptLater();

    const Handler onAccepted_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retryTimer_;
};

} // namespace auburn::gateway
