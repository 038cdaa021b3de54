#include "auburn/gateway/statusendpoint.h"

#include "beastview.h"
#include "listener.h"
#include "socketoptions.h"

#include "auburn/core/lazydeadline.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <optional>
#include <utility>

namespace auburn::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::chrono::seconds kIdleTimeout{ 20 };
constexpr int kBacklog = 64;
constexpr std::uint32_t kMaxHeaderBytes = 8 * 1024;

class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(asio::io_context &io, tcp::socket socket,
            std::shared_ptr<StatusEndpoint::Handler> handler)
        : socket_(std::move(socket))
        , idleTimer_(io, [this] { closeIdle(); })
        , handler_(std::move(handler))
    {}

    void start()
    {
        setTcpOptions(socket_);
        read();
    }

private:
    void read()
    {
        parser_.emplace();
        parser_->header_limit(kMaxHeaderBytes);
        parser_->body_limit(0);
        idleTimer_.setAfter(kIdleTimeout);
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
                             if (!error)
                                 self->respond();
                         });
    }

    void respond()
    {
        const auto &request = parser_->get();
        const std::string target(toStringView(request.target()));
        StatusResponse response{ .status = 405 };
        if (request.method() == http::verb::get)
            response = (*handler_)(target);
        response_ = {};
        response_.result(static_cast<unsigned>(response.status));
        response_.version(11);
        response_.keep_alive(parser_->keep_alive());
        response_.set(http::field::content_type, response.contentType);
        response_.body() = std::move(response.body);
        response_.prepare_payload();
        http::async_write(socket_, response_,
                          [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
                              if (!error && self->response_.keep_alive())
                                  self->read();
                          });
    }

    void closeIdle()
    {
        ErrorCode ignored;
        socket_.close(ignored);
    }

    tcp::socket socket_;
    LazyDeadline idleTimer_;
    std::shared_ptr<StatusEndpoint::Handler> handler_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::empty_body>> parser_;
    http::response<http::string_body> response_;
};

class StatusEndpointImpl : public StatusEndpoint
{
public:
    StatusEndpointImpl(asio::io_context &io, Handler handler)
        : io_(io)
        , handler_(std::make_shared<Handler>(std::move(handler)))
        , listener_(io, [this](tcp::socket socket) {
            std::make_shared<Session>(io_, std::move(socket), handler_)->start();
        })
    {}

    bool listen(const std::string &address) { return listener_.listen(address, kBacklog); }

private:
    asio::io_context &io_;
    std::shared_ptr<Handler> handler_;
    Listener listener_;
};

} // namespace

std::unique_ptr<StatusEndpoint> StatusEndpoint::make(asio::io_context &io,
                                                     const std::string &listenAddress,
                                                     Handler handler)
{
    auto endpoint = std::make_unique<StatusEndpointImpl>(io, std::move(handler));
    if (!endpoint->listen(listenAddress))
        return nullptr;
    return endpoint;
}

} // namespace auburn::gateway
