#include "auburn/relay/statusserver.h"

#include "auburn/core/lasterror.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace auburn {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::chrono::seconds kConnectionTimeout{ 10 };
constexpr std::uint32_t kHeaderLimit = 8 * 1024;
constexpr std::uint64_t kBodyLimit = 1024;

class StatusConnection : public std::enable_shared_from_this<StatusConnection>
{
public:
    StatusConnection(tcp::socket socket, const StatusServer::Options &options)
        : stream_(std::move(socket))
        , options_(options)
    {}

    void read()
    {
        parser_.emplace();
        parser_->header_limit(kHeaderLimit);
        parser_->body_limit(kBodyLimit);
        stream_.expires_after(kConnectionTimeout);
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
                             if (!error)
                                 self->answer();
                         });
    }

private:
    void answer()
    {
        const auto &request = parser_->get();
        response_ = {};
        response_.version(request.version());
        response_.keep_alive(request.keep_alive());
        response_.set(http::field::content_type, "text/plain; version=0.0.4; charset=utf-8");
        fill(request.target());
        response_.prepare_payload();
        stream_.expires_after(kConnectionTimeout);
        http::async_write(stream_, response_,
                          [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
                              if (!error && self->response_.keep_alive())
                                  self->read();
                          });
    }

    void fill(beast::string_view target)
    {
        if (target == "/healthz") {
            response_.body() = "ok\n";
        } else if (target == "/readyz") {
            const bool ready = !options_.ready || options_.ready();
            response_.result(ready ? http::status::ok : http::status::service_unavailable);
            response_.body() = ready ? "ready\n" : "not ready\n";
        } else if (target == "/metrics") {
            response_.body() = options_.metrics ? options_.metrics() : std::string();
        } else {
            response_.result(http::status::not_found);
            response_.body() = "not found\n";
        }
    }

    beast::tcp_stream stream_;
    const StatusServer::Options &options_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
};

class StatusServerImpl final : public StatusServer
{
public:
    explicit StatusServerImpl(Options options)
        : options_(std::move(options))
        , acceptor_(io_)
    {}

    ~StatusServerImpl() override
    {
        io_.stop();
        if (thread_.joinable())
            thread_.join();
    }

    bool listen()
    {
        ErrorCode error;
        const tcp::endpoint endpoint(asio::ip::make_address(options_.address, error),
                                     options_.port);
        if (!error)
            acceptor_.open(endpoint.protocol(), error);
        if (!error)
            acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        if (!error)
            acceptor_.bind(endpoint, error);
        if (!error)
            acceptor_.listen(asio::socket_base::max_listen_connections, error);
        if (!error)
            port_ = acceptor_.local_endpoint(error).port();
        if (error)
            setLastError("cannot listen on " + options_.address + ":"
                         + std::to_string(options_.port) + ": " + error.message());
        return !error;
    }

    void run()
    {
        accept();
        thread_ = std::thread([this] { io_.run(); });
    }

    std::uint16_t port() const override { return port_; }

private:
    void accept()
    {
        acceptor_.async_accept([this](ErrorCode error, tcp::socket socket) {
            if (!error)
                std::make_shared<StatusConnection>(std::move(socket), options_)->read();
            if (error == asio::error::operation_aborted)
                return;
            accept();
        });
    }

    const Options options_;
    asio::io_context io_{ 1 };
    tcp::acceptor acceptor_;
    std::thread thread_;
    std::uint16_t port_ = 0;
};

} // namespace

std::unique_ptr<StatusServer> StatusServer::make(Options options)
{
    auto server = std::make_unique<StatusServerImpl>(std::move(options));
    if (!server->listen())
        return nullptr;
    server->run();
    return server;
}

} // namespace auburn
