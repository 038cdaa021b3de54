#include "listener.h"

#include "auburn/core/endpoint.h"
#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"

#include <chrono>
#include <utility>

namespace auburn::gateway {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds kAcceptRetryDelay{ 50 };

} // namespace

Listener::Listener(asio::io_context &io, Handler onAccepted)
    : onAccepted_(std::move(onAccepted))
    , acceptor_(io)
    , retryTimer_(io)
{}

bool Listener::listen(const std::string &address, int backlog)
{
    if (!open(address, backlog))
        return false;
    accept();
    return true;
}

bool Listener::open(const std::string &address, int backlog)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return false;
    ErrorCode error;
    acceptor_.open(endpoint->protocol(), error);
    if (!error)
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor_.bind(*endpoint, error);
    if (!error)
        acceptor_.listen(backlog, error);
    if (error)
        setLastError("cannot listen on " + address + ": " + error.message());
    return !error;
}

void Listener::accept()
{
    acceptor_.async_accept([this](ErrorCode error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            logEvent(LogLevel::Warning, "accept_failed", { { "error", error.message() } });
            retryAcceptLater();
            return;
        }
        onAccepted_(std::move(socket));
        accept();
    });
}

void Listener::retryAcceptLater()
{
    retryTimer_.expires_after(kAcceptRetryDelay);
    retryTimer_.async_wait([this](ErrorCode error) {
        if (!error)
            accept();
    });
}

} // namespace auburn::gateway
