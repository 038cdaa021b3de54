// HttpServer: a small single-threaded HTTP/1.1 server for stand-ins, on Boost.Beast.
//
// A handler may answer later, or never; that is how the stand-ins hold long polls and lose answers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace auburn::standins {

struct HttpRequest
{
    boost::beast::http::verb method = boost::beast::http::verb::get;
    // Without the query.
    std::string path;
    // Percent-encoding is not decoded; the protocols use plain names and numbers.
    std::map<std::string, std::string> query;
    std::string body;

    // A query parameter as a number; the fallback if it is absent or malformed.
    std::uint64_t number(const std::string &name, std::uint64_t fallback) const;
};

// Answers one request; every call but the first is ignored. Without any call the caller waits.
class Responder
{
public:
    virtual ~Responder() = default;

    virtual void send(boost::beast::http::status status, std::string json) = 0;
    // Closes the connection without an answer.
    virtual void drop() = 0;
    // False once the caller has disconnected or the request was answered.
    virtual bool isOpen() const = 0;
};

using ResponderPtr = std::shared_ptr<Responder>;

class HttpSession;

class HttpServer
{
public:
    using Handler = std::function<void(const HttpRequest &, const ResponderPtr &)>;

    // Throws boost::system::system_error if the address cannot be bound.
    HttpServer(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint,
               Handler handler);
    ~HttpServer();

    std::uint16_t port() const { return endpoint_.port(); }

    // While true, the port is closed and all connections but the spared one are closed.
    void setRefusing(bool refusing, const ResponderPtr &spared);

    // All connections that are open now stay open and are never answered again, except for the
    // spared one. New connections work.
    void silenceOpenConnections(const ResponderPtr &spared);

    const Handler &handler() const { return handler_; }
    void remove(const std::shared_ptr<HttpSession> &session);

private:
    void listen();
    void accept();

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::endpoint endpoint_;
    Handler handler_;
    std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
    std::set<std::shared_ptr<HttpSession>> sessions_;
};

// The endpoint of "IP:PORT"; throws std::exception if it is malformed.
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &text);

// Serves until SIGTERM or SIGINT, after printing "listening IP:PORT" as the first line of output.
void serve(boost::asio::io_context &context, const HttpServer &server, const std::string &host);

// Ends this process when the process that started it ends, however that happens.
void exitWithParent();

} // namespace auburn::standins
