// HttpSession: one connection of an HttpServer.
#pragma once

#include "httpserver.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace auburn::standins {

class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(HttpServer &server, boost::asio::ip::tcp::socket socket);

    void readNext();
    void close();
    void silence() { silent_ = true; }
    bool isSilent() const { return silent_; }
    void write(boost::beast::http::status status, std::string json);
    bool isOpen() const { return socket_.is_open(); }

private:
    void take(const HttpRequest &request);
    void watchPeer();
    bool isClosedByPeer();

    HttpServer &server_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    bool keepAlive_ = true;
    bool silent_ = false;
};

// Answers one request on a session.
class SessionResponder : public Responder
{
public:
    explicit SessionResponder(std::shared_ptr<HttpSession> session);

    void send(boost::beast::http::status status, std::string json) override;
    void drop() override;
    bool isOpen() const override;

    const std::shared_ptr<HttpSession> &session() const { return session_; }

private:
    std::shared_ptr<HttpSession> session_;
    bool answered_ = false;
};

} // namespace auburn::standins
