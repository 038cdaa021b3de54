// A small HTTP server for stand-ins of backend servers: one thread, many listeners, answers that
// can be held, streamed or dropped.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace auburn::standin {

class HttpConnection;

// One request and its answer. Functions do nothing once the connection is closed.
class Exchange
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    Exchange(std::shared_ptr<HttpConnection> connection, Request request);

    const Request &request() const { return request_; }
    std::string field(const std::string &name) const;
    std::string path() const;
    // Value of a query parameter; empty if absent.
    std::string parameter(const std::string &name) const;

    // The answer repeats the request's X-Request-Id.
    void respond(int status, std::string_view body);
    // Chunked answer with server-sent events, which repeats the request's X-Request-Id too.
    void beginEvents();
    void writeEvents(std::string_view text);
    // Writes the text and ends the answer.
    void endEvents(std::string_view text);
    // Closes the connection without an answer.
    void drop();
    // Called once if the connection closes before the answer is complete.
    void onClosed(std::function<void()> closed);

private:
    // Field that repeats the id of the request; empty if it has none.
    std::string requestIdField() const;

    std::shared_ptr<HttpConnection> connection_;
    Request request_;
};

class HttpListener
{
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    // Listens on the address; port 0 selects one. Null with lastError() set on failure.
    static std::unique_ptr<HttpListener> make(boost::asio::io_context &context,
                                              const std::string &address, std::uint16_t port,
                                              Handler handler);
    ~HttpListener();

    std::uint16_t port() const { return port_; }
    // Stops listening and closes all connections, as the end of a process does.
    void crash();
    // Existing connections stay open, but neither read nor write any more; new ones work.
    void silenceConnections();
    // The same for new ones too, until thaw().
    void freeze();
    // Connections that were frozen continue.
    void thaw();

    struct State;

private:
    explicit HttpListener(std::shared_ptr<State> state);

    std::shared_ptr<State> state_;
    std::uint16_t port_ = 0;
};

} // namespace auburn::standin
