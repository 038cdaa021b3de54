#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace auburn::gateway {

// ServerProbe tells whether a server still accepts connections.
//
// It opens a connection and watches it for a short time, because the listening socket of a process
// that ends may be closed after its other connections: the probe's connection then ends as well. If
// it does, a second one decides, because a server may also end the first one for a reason of its
// own, such as a limit on connections.
class ServerProbe : public std::enable_shared_from_this<ServerProbe>
{
public:
    // The reason tells why the server does not accept connections; empty if it does.
    using EndHandler = std::function<void(const std::string &reason)>;

    ServerProbe(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint endpoint,
                EndHandler handler);

    // Calls the handler once, later.
    void start();
    // Watches the connection for the whole time again from now on.
    void extend();

private:
    using ErrorCode = boost::system::error_code;
    enum class Phase { Connecting, Watching, Reconnecting, Ended };

    // The phase is Connecting or Reconnecting.
    void connect(Phase phase);
    void connected(ErrorCode error);
    void watch();
    void watchedLongEnough();
    void connectionEnded();
    void reconnect();
    void end(const std::string &reason);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    const boost::asio::ip::tcp::endpoint endpoint_;
    EndHandler handler_;
    Phase phase_ = Phase::Connecting;
};

} // namespace auburn::gateway
