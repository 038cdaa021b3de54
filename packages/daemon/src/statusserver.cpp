#include "auburn/daemon/statusserver.h"

#include "auburn/core/lasterror.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <thread>

namespace auburn {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Tcp = asio::ip::tcp;

// Time limit for reading the request and writing the response.
constexpr std::chrono::seconds kRequestTimeout{ 10 };

// Maximum number of simultaneous connections; further ones are closed immediately. Health probes
// and metric scrapers need only a few.
constexpr int kMaxSessions = 64;

using Response = http::response<http::string_body>;

Response textResponse(http::status status, std::string body)
{
    Response response(status, 11);
    response.set(http::field::content_type, "text/plain; charset=utf-8");
    response.body() = std::move(body);
    return response;
}

Response handleRequest(const StatusServer::Options &options,
                       const http::request<http::empty_body> &request)
{
    if (request.method() != http::verb::get && request.method() != http::verb::head)
        return textResponse(http::status::method_not_allowed, "only GET is supported\n");
    if (request.target() == "/healthz")
        return textResponse(http::status::ok, "ok\n");
    if (request.target() == "/readyz") {
        const auto reason = options.notReadyReason();
        return reason ? textResponse(http::status::service_unavailable, *reason + '\n')
                      : textResponse(http::status::ok, "ready\n");
    }
    if (request.target() == "/metrics") {
        Response response = textResponse(http::status::ok, options.metrics.text());
        response.set(http::field::content_type, "text/plain; version=0.0.4; charset=utf-8");
        return response;
    }
    return textResponse(http::status::not_found, "no such resource\n");
}

// Handles one connection, which carries a single request.
class StatusSession : public std::enable_shared_from_this<StatusSession>
{
public:
    StatusSession(Tcp::socket socket, const StatusServer::Options &options, int &sessionCount)
        : options_(options)
        , sessionCount_(sessionCount)
        , stream_(std::move(socket))
    {
        ++sessionCount_;
    }
    StatusSession(const StatusSession &) = delete;
    StatusSession &operator=(const StatusSession &) = delete;
    ~StatusSession() { --sessionCount_; }

    void start()
    {
        stream_.expires_after(kRequestTimeout);
        http::async_read(stream_, buffer_, request_,
                         [self = shared_from_this()](const beast::error_code &error, std::size_t) {
                             if (!error)
                                 self->sendResponse();
                         });
    }

private:
    void sendResponse()
    {
        response_ = handleRequest(options_, request_);
        response_.keep_alive(false);
        response_.prepare_payload();
        if (request_.method() == http::verb::head)
            response_.body().clear();
        http::async_write(stream_, response_,
                          [self = shared_from_this()](const beast::error_code &, std::size_t) {
                              beast::error_code ignored;
                              self->stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
                          });
    }

    const StatusServer::Options &options_;
    int &sessionCount_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_{ 16384 };
    http::request<http::empty_body> request_;
    Response response_;
};

} // namespace

class StatusServer::Worker
{
public:
    explicit Worker(Options options)
        : options_(std::move(options))
        , acceptor_(context_)
    {}

    ~Worker()
    {
        context_.stop();
        if (thread_.joinable())
            thread_.join();
    }

    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    bool start()
    {
        beast::error_code error;
        const Tcp::endpoint endpoint(asio::ip::make_address(options_.listen.host, error),
                                     options_.listen.port);
        if (!error)
            acceptor_.open(endpoint.protocol(), error);
        if (!error)
            acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
        if (!error)
            acceptor_.bind(endpoint, error);
        if (!error)
            acceptor_.listen(asio::socket_base::max_listen_connections, error);
        if (error) {
            setLastError("cannot serve status on " + options_.listen.host + ':'
                         + std::to_string(options_.listen.port) + ": " + error.message());
            return false;
        }
        accept();
        thread_ = std::thread([this] { context_.run(); });
        return true;
    }

    ListenAddress address() const
    {
        const Tcp::endpoint endpoint = acceptor_.local_endpoint();
        return ListenAddress{ .host = endpoint.address().to_string(), .port = endpoint.port() };
    }

private:
    void accept()
    {
        acceptor_.async_accept([this](const beast::error_code &error, Tcp::socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error && sessionCount_ < kMaxSessions)
                std::make_shared<StatusSession>(std::move(socket), options_, sessionCount_)
                        ->start();
            accept();
        });
    }

    Options options_;
    // Declared before the context: sessions that are destroyed with the context decrement the
    // count.
    int sessionCount_ = 0;
    asio::io_context context_;
    Tcp::acceptor acceptor_;
    std::thread thread_;
};

std::unique_ptr<StatusServer> StatusServer::make(Options options)
{
    auto worker = std::make_unique<Worker>(std::move(options));
    if (!worker->start())
        return nullptr;
    return std::unique_ptr<StatusServer>(new StatusServer(std::move(worker)));
}

StatusServer::StatusServer(std::unique_ptr<Worker> worker)
    : worker_(std::move(worker))
{}

StatusServer::~StatusServer() = default;

ListenAddress StatusServer::address() const
{
    return worker_->address();
}

} // namespace auburn
