#include "connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace auburn::standins {

namespace {

// Bytes that one direction holds back before it stops reading.
constexpr std::size_t kQueueLimit = 1U << 20U;

using Error = boost::system::error_code;

} // namespace

Connection::Connection(Tcp::socket client, std::shared_ptr<RouteState> route)
    : route_(std::move(route))
    , client_(std::move(client))
    , target_(client_.get_executor())
    , toTarget_(client_, target_, client_.get_executor())
    , toClient_(target_, client_, client_.get_executor())
{
    Error ignored;
    client_.set_option(Tcp::no_delay(true), ignored);
}

void Connection::resume()
{
    if (closed_ || silent_)
        return;
    if (!connected_) {
        connect();
        return;
    }
    for (Way *way : { &toTarget_, &toClient_ }) {
        read(*way);
        forward(*way);
    }
}

void Connection::silence()
{
    silent_ = true;
    toTarget_.timer.cancel();
    toClient_.timer.cancel();
}

void Connection::close(bool reset)
{
    if (closed_)
        return;
    closed_ = true;
    toTarget_.timer.cancel();
    toClient_.timer.cancel();
    Error ignored;
    for (Tcp::socket *socket : { &client_, &target_ }) {
        if (reset)
            socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

void Connection::connect()
{
    if (connecting_ || route_->faults.cutToTarget)
        return;
    connecting_ = true;
    target_.async_connect(route_->target, [self = shared_from_this()](const Error &error) {
        if (error) {
            self->close(true);
            return;
        }
        Error ignored;
        self->target_.set_option(Tcp::no_delay(true), ignored);
        self->connected_ = true;
        self->resume();
    });
}

void Connection::read(Way &way)
{
    const bool full = way.queuedBytes >= kQueueLimit;
    if (closed_ || silent_ || way.reading || way.ended || full || isCut(way))
        return;
    way.reading = true;
    way.from.async_read_some(
            boost::asio::buffer(way.buffer),
            [self = shared_from_this(), &way](const Error &error, std::size_t size) {
                way.reading = false;
                if (self->closed_ || self->silent_)
                    return;
                if (error == boost::asio::error::eof)
                    way.ended = true;
                else if (error)
                    self->close(true);
                else
                    self->onRead(way, size);
                self->forward(way);
            });
}

void Connection::onRead(Way &way, std::size_t size)
{
    if (isAnswer(way)) {
        if (route_->faults.dropAnswers > 0) {
            dropAnswer();
            return;
        }
        answerExpected_ = false;
    }
    const auto bandwidth = route_->faults.bandwidth;
    const Clock::time_point now = Clock::now();
    way.lastDue = std::max(way.lastDue, now + route_->faults.delay);
    if (bandwidth > 0)
        way.lastDue += std::chrono::nanoseconds(size * std::uint64_t{ 1'000'000'000 } / bandwidth);
    way.queue.push_back(
            Chunk{ std::vector<char>(way.buffer.begin(),
                                     way.buffer.begin() + static_cast<std::ptrdiff_t>(size)),
                   way.lastDue });
    way.queuedBytes += size;
    read(way);
}

void Connection::forward(Way &way)
{
    if (closed_ || silent_ || way.writing || way.waiting || isCut(way))
        return;
    if (way.queue.empty()) {
        forwardEnd(way);
        return;
    }
    if (way.queue.front().due > Clock::now())
        waitUntil(way, way.queue.front().due);
    else
        forwardFront(way);
}

void Connection::forwardFront(Way &way)
{
    way.writing = true;
    boost::asio::async_write(
            way.to, boost::asio::buffer(way.queue.front().bytes),
            [self = shared_from_this(), &way](const Error &error, std::size_t size) {
                way.writing = false;
                if (error) {
                    self->close(true);
                    return;
                }
                way.queue.pop_front();
                way.queuedBytes -= size;
                self->count(way, size);
                self->read(way);
                self->forward(way);
            });
}

void Connection::forwardEnd(Way &way)
{
    if (!way.ended || way.endForwarded)
        return;
    way.endForwarded = true;
    Error ignored;
    way.to.shutdown(Tcp::socket::shutdown_send, ignored);
    if (toTarget_.endForwarded && toClient_.endForwarded)
        close(false);
}

void Connection::waitUntil(Way &way, Clock::time_point due)
{
    way.waiting = true;
    way.timer.expires_at(due);
    way.timer.async_wait([self = shared_from_this(), &way](const Error &) {
        way.waiting = false;
        self->forward(way);
    });
}

bool Connection::isCut(const Way &way) const
{
    return &way == &toTarget_ ? route_->faults.cutToTarget : route_->faults.cutToClient;
}

bool Connection::isAnswer(const Way &way) const
{
    return &way == &toClient_ && answerExpected_;
}

void Connection::dropAnswer()
{
    --route_->faults.dropAnswers;
    ++route_->droppedAnswers;
    if (route_->faults.dropThenSilent)
        silence();
    else
        close(false);
}

void Connection::count(const Way &way, std::size_t size)
{
    if (&way == &toTarget_) {
        route_->toTargetBytes += size;
        answerExpected_ = true;
    } else {
        route_->toClientBytes += size;
    }
}

} // namespace auburn::standins
