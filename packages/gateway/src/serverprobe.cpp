#include "serverprobe.h"

#include <chrono>
#include <utility>

namespace auburn::gateway {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

// A server whose VM has failed does not respond at all.
constexpr milliseconds kConnectTimeout{ 300 };
// Covers the end of a process on a busy VM.
constexpr milliseconds kWatchTime{ 100 };

} // namespace

ServerProbe::ServerProbe(boost::asio::io_context &io, tcp::endpoint endpoint, EndHandler handler)
    : socket_(io)
    , timer_(io)
    , endpoint_(std::move(endpoint))
    , handler_(std::move(handler))
{}

void ServerProbe::start()
{
    connect(Phase::Connecting);
}

void ServerProbe::connect(Phase phase)
{
    phase_ = phase;
    timer_.expires_after(kConnectTimeout);
    timer_.async_wait([self = shared_from_this(), phase](ErrorCode error) {
        if (!error && self->phase_ == phase)
            self->end("connect timed out");
    });
    socket_.async_connect(endpoint_,
                          [self = shared_from_this()](ErrorCode error) { self->connected(error); });
}

void ServerProbe::connected(ErrorCode error)
{
    if (phase_ == Phase::Ended)
        return;
    // A server that is gone refuses connections; one that resets them has accepted them.
    const bool isReset = error == boost::asio::error::connection_reset;
    if (error && !isReset)
        end(error.message());
    else if (phase_ == Phase::Reconnecting)
        end({});
    else if (isReset)
        reconnect();
    else
        watch();
}

void ServerProbe::watch()
{
    phase_ = Phase::Watching;
    extend();
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
        if (error != boost::asio::error::operation_aborted)
            self->connectionEnded();
    });
}

void ServerProbe::extend()
{
    if (phase_ != Phase::Watching)
        return;
    timer_.expires_after(kWatchTime);
    timer_.async_wait([self = shared_from_this()](ErrorCode error) {
        if (!error)
            self->watchedLongEnough();
    });
}

void ServerProbe::watchedLongEnough()
{
    const bool isOver = timer_.expiry() <= std::chrono::steady_clock::now();
    if (phase_ == Phase::Watching && isOver)
        end({});
}

void ServerProbe::connectionEnded()
{
    if (phase_ == Phase::Watching)
        reconnect();
}

void ServerProbe::reconnect()
{
    ErrorCode ignored;
    socket_.close(ignored);
    connect(Phase::Reconnecting);
}

void ServerProbe::end(const std::string &reason)
{
    phase_ = Phase::Ended;
    timer_.cancel();
    ErrorCode ignored;
    socket_.close(ignored);
    const EndHandler handler = std::exchange(handler_, nullptr);
    if (handler)
        handler(reason);
}

} // namespace auburn::gateway
