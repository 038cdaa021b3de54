#include "standinhttp.h"

#include "auburn/core/lasterror.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <charconv>
#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace auburn::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

struct HttpListener::State : std::enable_shared_from_this<HttpListener::State>
{
    explicit State(asio::io_context &io)
        : context(io)
        , acceptor(io)
    {}

    void accept();

    asio::io_context &context;
    tcp::acceptor acceptor;
    Handler handler;
    std::set<HttpConnection *> connections;
    // Requests that arrived while the server was frozen.
    std::vector<std::shared_ptr<Exchange>> held;
    bool frozen = false;
};

class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(std::shared_ptr<HttpListener::State> state, tcp::socket socket)
        : state_(std::move(state))
        , socket_(std::move(socket))
    {
        ErrorCode ignored;
        socket_.non_blocking(true, ignored);
        socket_.set_option(tcp::no_delay(true), ignored);
        state_->connections.insert(this);
    }

    ~HttpConnection() { state_->connections.erase(this); }

    void read()
    {
        if (silent_ || closed_ || parser_)
            return;
        parser_.emplace();
        parser_->body_limit(std::uint64_t{ 64 } * 1024 * 1024);
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
                             if (error)
                                 self->close();
                             else
                                 self->requestRead();
                         });
    }

    void write(std::string_view text)
    {
        if (closed_)
            return;
        if (output_.empty() && !isHeld()) {
            ErrorCode error;
            const std::size_t sent = socket_.write_some(asio::buffer(text.data(), text.size()),
                                                        error);
            if (error && error != asio::error::would_block) {
                closeLater();
                return;
            }
            text.remove_prefix(sent);
        }
        output_.append(text);
        flush();
    }

    void flush()
    {
        if (output_.empty() || writing_ || closed_ || isHeld())
            return;
        writing_ = true;
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](ErrorCode error) {
            self->writing_ = false;
            if (error || self->closed_)
                return;
            const std::size_t sent = self->socket_.write_some(asio::buffer(self->output_), error);
            if (error && error != asio::error::would_block) {
                self->close();
                return;
            }
            self->output_.erase(0, sent);
            self->flush();
        });
    }

    // The answer is complete; the next request may follow.
    void answered()
    {
        onClosed_ = nullptr;
        answering_ = false;
        if (!keepAlive_) {
            asio::post(state_->context, [self = shared_from_this()] { self->close(); });
            return;
        }
        asio::post(state_->context, [self = shared_from_this()] { self->read(); });
    }

    void close()
    {
        if (std::exchange(closed_, true))
            return;
        ErrorCode ignored;
        socket_.close(ignored);
        if (const auto closed = std::exchange(onClosed_, nullptr))
            closed();
    }

    void closeLater()
    {
        asio::post(state_->context, [self = shared_from_this()] { self->close(); });
    }

    void silence() { silent_ = true; }

    void thaw() { flush(); }

    void setOnClosed(std::function<void()> closed) { onClosed_ = std::move(closed); }

private:
    void requestRead()
    {
        Exchange::Request request = parser_->release();
        parser_.reset();
        if (silent_)
            return;
        keepAlive_ = request.keep_alive();
        answering_ = true;
        isControl_ = request.target().starts_with("/control");
        watch();
        auto exchange = std::make_shared<Exchange>(shared_from_this(), std::move(request));
        if (isHeld())
            state_->held.push_back(std::move(exchange));
        else
            state_->handler(std::move(exchange));
    }

    // A frozen server still takes commands.
    bool isHeld() const { return silent_ || (state_->frozen && !isControl_); }

    // Notices a client that hangs up while its answer is under way.
    void watch()
    {
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
            if (error || self->closed_ || !self->answering_)
                return;
            char byte = 0;
            self->socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
            if (error && error != asio::error::would_block)
                self->close();
        });
    }

    std::shared_ptr<HttpListener::State> state_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::string output_;
    std::function<void()> onClosed_;
    bool writing_ = false;
    bool answering_ = false;
    bool keepAlive_ = true;
    bool closed_ = false;
    bool silent_ = false;
    bool isControl_ = false;
};

void HttpListener::State::accept()
{
    acceptor.async_accept([self = shared_from_this()](ErrorCode error, tcp::socket socket) {
        if (error)
            return;
        std::make_shared<HttpConnection>(self, std::move(socket))->read();
        self->accept();
    });
}

// ---- Exchange --------------------------------------------------------------

namespace {

std::string chunkOf(std::string_view text)
{
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), text.size(), 16);
    std::string chunk;
    chunk.reserve(text.size() + 24);
    chunk.append(size.data(), static_cast<std::size_t>(end.ptr - size.data()))
            .append("\r\n")
            .append(text)
            .append("\r\n");
    return chunk;
}

} // namespace

Exchange::Exchange(std::shared_ptr<HttpConnection> connection, Request request)
    : connection_(std::move(connection))
    , request_(std::move(request))
{}

std::string Exchange::field(const std::string &name) const
{
    return std::string(request_[name]);
}

std::string Exchange::path() const
{
    const std::string target(request_.target());
    return target.substr(0, target.find('?'));
}

std::string Exchange::parameter(const std::string &name) const
{
    const std::string target(request_.target());
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', begin + 1);
        const std::string pair = target.substr(begin + 1, end - begin - 1);
        if (pair.starts_with(name + "="))
            return pair.substr(name.size() + 1);
        begin = end;
    }
    return {};
}

std::string Exchange::requestIdField() const
{
    const std::string id = field("X-Request-Id");
    return id.empty() ? id : "X-Request-Id: " + id + "\r\n";
}

void Exchange::respond(int status, std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " \r\n" + requestIdField()
                       + "Content-Type: application/json\r\nContent-Length: "
                       + std::to_string(body.size()) + "\r\n\r\n";
    if (request_.method() != http::verb::head)
        text.append(body);
    connection_->write(text);
    connection_->answered();
}

void Exchange::beginEvents()
{
    connection_->write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + requestIdField()
                       + "Transfer-Encoding: chunked\r\n\r\n");
}

void Exchange::writeEvents(std::string_view text)
{
    connection_->write(chunkOf(text));
}

void Exchange::endEvents(std::string_view text)
{
    connection_->write((text.empty() ? std::string() : chunkOf(text)) + "0\r\n\r\n");
    connection_->answered();
}

void Exchange::drop()
{
    connection_->closeLater();
}

void Exchange::onClosed(std::function<void()> closed)
{
    connection_->setOnClosed(std::move(closed));
}

// ---- HttpListener ----------------------------------------------------------

std::unique_ptr<HttpListener> HttpListener::make(asio::io_context &context,
                                                 const std::string &address, std::uint16_t port,
                                                 Handler handler)
{
    auto state = std::make_shared<State>(context);
    state->handler = std::move(handler);
    ErrorCode error;
    const tcp::endpoint endpoint(asio::ip::make_address(address, error), port);
    if (!error)
        state->acceptor.open(endpoint.protocol(), error);
    if (!error)
        state->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        state->acceptor.bind(endpoint, error);
    if (!error)
        state->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        setLastError("cannot listen on " + address + ": " + error.message());
        return nullptr;
    }
    std::unique_ptr<HttpListener> listener(new HttpListener(state));
    listener->port_ = state->acceptor.local_endpoint().port();
    state->accept();
    return listener;
}

HttpListener::HttpListener(std::shared_ptr<State> state)
    : state_(std::move(state))
{}

HttpListener::~HttpListener()
{
    crash();
}

void HttpListener::crash()
{
    ErrorCode ignored;
    state_->acceptor.close(ignored);
    state_->held.clear();
    const std::set<HttpConnection *> connections = state_->connections;
    for (HttpConnection *connection : connections) {
        // An earlier close may have destroyed it.
        if (state_->connections.contains(connection)) {
            const auto keep = connection->shared_from_this();
            keep->close();
        }
    }
}

void HttpListener::silenceConnections()
{
    for (HttpConnection *connection : state_->connections)
        connection->silence();
}

void HttpListener::freeze()
{
    state_->frozen = true;
}

void HttpListener::thaw()
{
    state_->frozen = false;
    const std::set<HttpConnection *> connections = state_->connections;
    for (HttpConnection *connection : connections)
        connection->thaw();
    for (auto &exchange : std::exchange(state_->held, {}))
        state_->handler(std::move(exchange));
}

} // namespace auburn::standin
