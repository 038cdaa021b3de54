#include "scriptedserver.h"

#include "auburn/core/endpoint.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <utility>

namespace auburn {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

std::string wholeAnswer(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class ScriptedServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::io_context &io, tcp::socket socket, std::shared_ptr<State> state)
        : socket_(std::move(socket))
        , timer_(io)
        , state_(std::move(state))
        , number_(state_->connections)
    {}

    void read()
    {
        parser_.emplace();
        parser_->body_limit(std::uint64_t{ 64 } * 1024 * 1024);
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](ErrorCode error, std::size_t) {
                             if (error)
                                 ++self->state_->closedByPeer;
                             else
                                 self->answer();
                         });
    }

private:
    void answer()
    {
        state_->requests.push_back(parser_->get());
        reply_ = state_->handler(parser_->get(), number_);
        next_ = 0;
        nextPart();
    }

    void nextPart()
    {
        if (next_ == reply_.parts.size()) {
            finish();
            return;
        }
        timer_.expires_after(reply_.parts[next_].pause);
        timer_.async_wait([self = shared_from_this()](ErrorCode) { self->sendPart(); });
    }

    void sendPart()
    {
        asio::async_write(socket_, asio::buffer(reply_.parts[next_].bytes),
                          [self = shared_from_this()](ErrorCode error, std::size_t) {
                              ++self->next_;
                              if (error)
                                  ++self->state_->closedByPeer;
                              else
                                  self->nextPart();
                          });
    }

    void finish()
    {
        ErrorCode ignored;
        if (reply_.end == ScriptedReply::End::KeepOpen) {
            read();
            return;
        }
        if (reply_.end == ScriptedReply::End::Crash)
            state_->acceptor.close(ignored);
        if (reply_.end == ScriptedReply::End::CrashSlowly)
            stopListeningLater();
        if (reply_.end == ScriptedReply::End::Reset)
            socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }

    void stopListeningLater()
    {
        constexpr std::chrono::milliseconds kListenerOutlives{ 20 };
        state_->ending = true;
        timer_.expires_after(kListenerOutlives);
        timer_.async_wait([self = shared_from_this()](ErrorCode) {
            ErrorCode ignored;
            self->state_->acceptor.close(ignored);
            for (tcp::socket &socket : self->state_->acceptedAtEnd) {
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
                socket.close(ignored);
            }
        });
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    std::shared_ptr<State> state_;
    const unsigned number_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    ScriptedReply reply_;
    std::size_t next_ = 0;
};

ScriptedServer::ScriptedServer(asio::io_context &io, Handler handler)
    : ScriptedServer(io, ConnectionHandler([handler = std::move(handler)](
                                                   const ScriptedRequest &request, unsigned) {
                         return handler(request);
                     }))
{}

ScriptedServer::ScriptedServer(asio::io_context &io, ConnectionHandler handler)
    : io_(io)
    , state_(std::make_shared<State>(io))
    , address_("127.0.0.1:" + std::to_string(state_->acceptor.local_endpoint().port()))
{
    state_->handler = std::move(handler);
    accept();
}

ScriptedServer::~ScriptedServer()
{
    ErrorCode ignored;
    state_->acceptor.close(ignored);
}

void ScriptedServer::accept()
{
    state_->acceptor.async_accept([this](ErrorCode error, tcp::socket socket) {
        if (error)
            return;
        ++state_->connections;
        if (state_->ending) {
            state_->acceptedAtEnd.push_back(std::move(socket));
            accept();
            return;
        }
        std::make_shared<Connection>(io_, std::move(socket), state_)->read();
        accept();
    });
}

ScriptedClient::ScriptedClient(asio::io_context &io, const std::string &address)
    : state_(std::make_shared<State>(io))
{
    state_->socket.connect(*parseEndpoint(address));
    read(state_);
}

void ScriptedClient::read(const std::shared_ptr<State> &state)
{
    state->socket.async_read_some(asio::buffer(state->buffer),
                                  [state](ErrorCode error, std::size_t bytes) {
                                      state->received.append(state->buffer.data(), bytes);
                                      state->closed = static_cast<bool>(error);
                                      if (!error)
                                          read(state);
                                  });
}

void ScriptedClient::send(const std::string &bytes)
{
    asio::write(state_->socket, asio::buffer(bytes));
}

void ScriptedClient::sendLong(std::string bytes)
{
    const auto sent = std::make_shared<const std::string>(std::move(bytes));
    asio::async_write(state_->socket, asio::buffer(*sent),
                      [state = state_, sent](ErrorCode, std::size_t) {});
}

void ScriptedClient::close()
{
    ErrorCode ignored;
    state_->socket.close(ignored);
}

bool runUntil(asio::io_context &io, const std::function<bool()> &condition,
              std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        io.restart();
        io.run_one_for(std::chrono::milliseconds(20));
    }
    return condition();
}

void runFor(asio::io_context &io, std::chrono::milliseconds time)
{
    io.restart();
    io.run_for(time);
}

} // namespace auburn
