#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace auburn::gateway {

// Listener accepts TCP connections on one address until it is destroyed.
class Listener
{
public:
    using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

    Listener(boost::asio::io_context &io, Handler onAccepted);

    // Starts listening on IP:PORT. Returns false and sets lastError() if the address cannot be
    // used.
    bool listen(const std::string &address, int backlog);

private:
    bool open(const std::string &address, int backlog);
    void accept();
    // Delays the next accept after a failure, which would recur at once while the process is out of
    // file descriptors.
    void retryAcceptLater();

    const Handler onAccepted_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retryTimer_;
};

} // namespace auburn::gateway
