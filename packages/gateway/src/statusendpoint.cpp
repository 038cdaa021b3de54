#include "auburn/gateway/statusendpoint.h"

#include "beastview.h"
#include "listener.h"
#include "socketoptions.h"

#include "auburn/core/lazydeadline.h"
#include "auburn/core/log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/intrusive/list.hpp>

#include <algorithm>
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
constexpr std::uint32_t kMaxRequestBytes = 8 * 1024;
constexpr std::size_t kReadBytes = std::size_t{ 2 } * 1024;
// A connection beyond this number displaces the one that was opened first among those without a
// complete request. The daemons of a failure domain share two readers, so at most about 80 of them
// read the documents from one daemon.
constexpr std::size_t kMaxSessions = 96;
constexpr std::chrono::seconds kLogInterval{ 1 };

using SessionHook = boost::intrusive::list_base_hook<
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

class Session
    : public std::enable_shared_from_this<Session>
    , public SessionHook
{
public:
    Session(asio::io_context &io, tcp::socket socket,
            std::shared_ptr<StatusEndpoint::Handler> handler)
        : socket_(std::move(socket))
        , idleTimer_(io, [this] { close(); })
        , handler_(std::move(handler))
    {}

    void start()
    {
        setTcpOptions(socket_);
        beginRequest();
    }

    bool isResponding() const { return responding_; }

    void close()
    {
        unlink();
        ErrorCode ignored;
        socket_.close(ignored);
    }

private:
    void beginRequest()
    {
        parser_.emplace();
        parser_->header_limit(kMaxRequestBytes);
        parser_->body_limit(0);
        requestBytes_ = 0;
        idleTimer_.setAfter(kIdleTimeout);
        parse();
    }

    // Ends the session if the request is invalid or too long. The parser itself bounds neither the
    // sum of many short fields nor the trailers.
    void parse()
    {
        ErrorCode error = http::error::need_more;
        while (buffer_.size() > 0 && !parser_->is_done()) {
            const std::size_t used = parser_->put(buffer_.data(), error);
            buffer_.consume(used);
            requestBytes_ += used;
            if (error)
                break;
        }
        const bool isInvalid = error && error != http::error::need_more;
        if (isInvalid || requestBytes_ > kMaxRequestBytes || buffer_.size() > kMaxRequestBytes)
            return;
        if (parser_->is_done())
            respond();
        else
            read();
    }

    void read()
    {
        socket_.async_read_some(buffer_.prepare(kReadBytes),
                                [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                                    self->buffer_.commit(bytes);
                                    if (!error)
                                        self->parse();
                                });
    }

    void respond()
    {
        responding_ = true;
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
                              const bool continues = !error && self->response_.keep_alive();
                              // The body may be large; an idle session must not hold it.
                              self->response_ = {};
                              self->responding_ = false;
                              if (continues)
                                  self->beginRequest();
                          });
    }

    tcp::socket socket_;
    LazyDeadline idleTimer_;
    std::shared_ptr<StatusEndpoint::Handler> handler_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::empty_body>> parser_;
    http::response<http::string_body> response_;
    // Bytes of the current request that have been parsed.
    std::size_t requestBytes_ = 0;
    bool responding_ = false;
};

class StatusEndpointImpl : public StatusEndpoint
{
public:
    StatusEndpointImpl(asio::io_context &io, Handler handler)
        : io_(io)
        , handler_(std::make_shared<Handler>(std::move(handler)))
        , listener_(io, [this](tcp::socket socket) { accepted(std::move(socket)); })
    {}

    std::uint64_t displacedConnections() const override { return displaced_; }

    bool listen(const std::string &address) { return listener_.listen(address, kBacklog); }

private:
    void accepted(tcp::socket socket)
    {
        if (sessions_.size() >= kMaxSessions) {
            const auto waiting = std::find_if(
                    sessions_.begin(), sessions_.end(),
                    [](const Session &session) { return !session.isResponding(); });
            recordDisplaced();
            if (waiting == sessions_.end())
                return;
            waiting->close();
        }
        const auto session = std::make_shared<Session>(io_, std::move(socket), handler_);
        sessions_.push_back(*session);
        session->start();
    }

    // Writes at most one line in an interval, however many connections arrive.
    void recordDisplaced()
    {
        ++displaced_;
        const auto now = std::chrono::steady_clock::now();
        if (now < nextLogAt_)
            return;
        nextLogAt_ = now + kLogInterval;
        logEvent(LogLevel::Warning, "status_connections_displaced",
                 { { "connections", static_cast<long long>(displaced_) } });
    }

    asio::io_context &io_;
    std::shared_ptr<Handler> handler_;
    std::uint64_t displaced_ = 0;
    std::chrono::steady_clock::time_point nextLogAt_;
    // A session leaves the list when it is destroyed.
    boost::intrusive::list<Session, boost::intrusive::constant_time_size<false>> sessions_;
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
