#include "controlserver.h"

#include "auburn/core/lasterror.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace auburn::standins {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::chrono::seconds kControlTimeout{ 10 };

// One request per connection.
class ControlSession : public std::enable_shared_from_this<ControlSession>
{
public:
    ControlSession(Tcp::socket socket, FaultProxy &proxy)
        : proxy_(proxy)
        , stream_(std::move(socket))
    {}

    void start()
    {
        stream_.expires_after(kControlTimeout);
        http::async_read(stream_, buffer_, request_,
                         [self = shared_from_this()](const beast::error_code &error, std::size_t) {
                             if (!error)
                                 self->answer();
                         });
    }

private:
    void answer()
    {
        const ControlReply reply = proxy_.handle(std::string(request_.method_string()),
                                                 std::string(request_.target()), request_.body());
        response_.result(reply.status);
        response_.version(request_.version());
        response_.set(http::field::content_type, "application/json");
        response_.keep_alive(false);
        response_.body() = reply.body;
        response_.prepare_payload();
        http::async_write(stream_, response_,
                          [self = shared_from_this()](const beast::error_code &, std::size_t) {
                              beast::error_code ignored;
                              self->stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
                          });
    }

    FaultProxy &proxy_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    http::response<http::string_body> response_;
};

} // namespace

std::shared_ptr<ControlServer> ControlServer::make(boost::asio::io_context &context,
                                                   FaultProxy &proxy, const Tcp::endpoint &listen)
{
    std::shared_ptr<ControlServer> server(new ControlServer(context, proxy));
    if (!server->listen(listen))
        return nullptr;
    server->accept();
    return server;
}

bool ControlServer::listen(const Tcp::endpoint &endpoint)
{
    beast::error_code error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    if (!error)
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        setLastError("cannot listen on " + endpointText(endpoint) + ": " + error.message());
    return !error;
}

void ControlServer::accept()
{
    acceptor_.async_accept(
            [self = shared_from_this()](const beast::error_code &error, Tcp::socket socket) {
                if (error == boost::asio::error::operation_aborted)
                    return;
                if (!error)
                    std::make_shared<ControlSession>(std::move(socket), self->proxy_)->start();
                self->accept();
            });
}

} // namespace auburn::standins
