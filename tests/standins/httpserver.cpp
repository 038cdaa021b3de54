#include "httpserver.h"

#include "httpsession.h"

#include <boost/asio/signal_set.hpp>

#include <charconv>
#include <csignal>
#include <iostream>
#include <stdexcept>
#include <sys/prctl.h>
#include <utility>

namespace auburn::standins {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

std::shared_ptr<HttpSession> sessionOf(const ResponderPtr &responder)
{
    const auto own = std::dynamic_pointer_cast<SessionResponder>(responder);
    return own ? own->session() : nullptr;
}

} // namespace

std::uint64_t HttpRequest::number(const std::string &name, std::uint64_t fallback) const
{
    const auto found = query.find(name);
    if (found == query.end())
        return fallback;
    const std::string &text = found->second;
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() ? value : fallback;
}

HttpServer::HttpServer(asio::io_context &context, const tcp::endpoint &endpoint, Handler handler)
    : context_(context)
    , endpoint_(endpoint)
    , handler_(std::move(handler))
{
    listen();
}

HttpServer::~HttpServer() = default;

void HttpServer::listen()
{
    acceptor_.emplace(context_, endpoint_, true);
    endpoint_ = acceptor_->local_endpoint();
    accept();
}

void HttpServer::accept()
{
    acceptor_->async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            socket.set_option(tcp::no_delay(true));
            const auto session = std::make_shared<HttpSession>(*this, std::move(socket));
            sessions_.insert(session);
            session->readNext();
        }
        if (acceptor_)
            accept();
    });
}

void HttpServer::setRefusing(bool refusing, const ResponderPtr &spared)
{
    if (refusing == !acceptor_)
        return;
    if (!refusing) {
        listen();
        return;
    }
    acceptor_.reset();
    const auto sparedSession = sessionOf(spared);
    const auto open = sessions_;
    for (const auto &session : open) {
        if (session != sparedSession)
            session->close();
    }
}

void HttpServer::silenceOpenConnections(const ResponderPtr &spared)
{
    const auto sparedSession = sessionOf(spared);
    for (const auto &session : sessions_) {
        if (session != sparedSession)
            session->silence();
    }
}

void HttpServer::remove(const std::shared_ptr<HttpSession> &session)
{
    sessions_.erase(session);
}

tcp::endpoint parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("not an IP:PORT address: " + text);
    const int port = std::stoi(text.substr(colon + 1));
    if (port < 0 || port > 65535)
        throw std::invalid_argument("port out of range: " + text);
    return { asio::ip::make_address(text.substr(0, colon)), static_cast<std::uint16_t>(port) };
}

void serve(asio::io_context &context, const HttpServer &server, const std::string &host)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
    std::cout << "listening " << host << ':' << server.port() << std::endl;
    context.run();
}

void exitWithParent()
{
    prctl(PR_SET_PDEATHSIG, SIGTERM);
}

} // namespace auburn::standins
