#include "httpsession.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace auburn::standins {

namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t kMaxBodyBytes = 16ULL * 1024 * 1024;

HttpRequest requestOf(http::request<http::string_body> message)
{
    HttpRequest request;
    request.method = message.method();
    const std::string target(message.target());
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    std::size_t begin = mark;
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', begin + 1);
        const std::string part = target.substr(begin + 1, end - begin - 1);
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos)
            request.query[part.substr(0, equals)] = part.substr(equals + 1);
        begin = end;
    }
    request.body = std::move(message.body());
    return request;
}

} // namespace

HttpSession::HttpSession(HttpServer &server, boost::asio::ip::tcp::socket socket)
    : server_(server)
    , socket_(std::move(socket))
{}

void HttpSession::readNext()
{
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                         if (error) {
                             self->close();
                             return;
                         }
                         self->keepAlive_ = self->parser_->get().keep_alive();
                         self->take(requestOf(self->parser_->release()));
                     });
}

void HttpSession::take(const HttpRequest &request)
{
    watchPeer();
    if (silent_)
        return;
    server_.handler()(request, std::make_shared<SessionResponder>(shared_from_this()));
}

// Notices that the caller went away while its request is held. Data of a next request is left to
// readNext(), which may have taken it already.
void HttpSession::watchPeer()
{
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](boost::system::error_code error) {
                           if (!error && self->isClosedByPeer())
                               self->close();
                       });
}

bool HttpSession::isClosedByPeer()
{
    if (!socket_.is_open())
        return false;
    char byte = 0;
    boost::system::error_code error;
    socket_.non_blocking(true, error);
    socket_.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    return error && error != boost::asio::error::would_block;
}

void HttpSession::write(http::status status, std::string json)
{
    if (silent_ || !socket_.is_open())
        return;
    const auto answer = std::make_shared<http::response<http::string_body>>(status, 11);
    answer->set(http::field::content_type, "application/json");
    answer->keep_alive(keepAlive_);
    answer->body() = std::move(json);
    answer->prepare_payload();
    http::async_write(
            socket_, *answer,
            [self = shared_from_this(), answer](boost::system::error_code error, std::size_t) {
                if (error || !self->keepAlive_)
                    self->close();
                else
                    self->readNext();
            });
}

void HttpSession::close()
{
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    server_.remove(shared_from_this());
}

SessionResponder::SessionResponder(std::shared_ptr<HttpSession> session)
    : session_(std::move(session))
{}

void SessionResponder::send(http::status status, std::string json)
{
    if (!std::exchange(answered_, true))
        session_->write(status, std::move(json));
}

void SessionResponder::drop()
{
    if (!std::exchange(answered_, true))
        session_->close();
}

bool SessionResponder::isOpen() const
{
    return !answered_ && session_->isOpen() && !session_->isSilent();
}

} // namespace auburn::standins
