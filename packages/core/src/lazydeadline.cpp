#include "auburn/core/lazydeadline.h"

#include <utility>

namespace auburn {

LazyDeadline::LazyDeadline(boost::asio::io_context &context, std::function<void()> expired)
    : timer_(context)
    , expired_(std::move(expired))
{}

void LazyDeadline::set(TimePoint deadline)
{
    deadline_ = deadline;
    if (deadline < armed_)
        arm();
}

void LazyDeadline::setAfter(std::chrono::milliseconds delay)
{
    set(std::chrono::steady_clock::now() + delay);
}

void LazyDeadline::clear()
{
    deadline_ = TimePoint::max();
}

void LazyDeadline::arm()
{
    armed_ = deadline_;
    timer_.expires_at(armed_);
    timer_.async_wait([this, alive = std::weak_ptr<int>(alive_)](boost::system::error_code error) {
        if (!error && !alive.expired())
            timerFired();
    });
}

void LazyDeadline::timerFired()
{
    armed_ = TimePoint::max();
    if (deadline_ == TimePoint::max())
        return;
    if (deadline_ > std::chrono::steady_clock::now()) {
        arm();
        return;
    }
    deadline_ = TimePoint::max();
    // The callee may destroy this object.
    const std::function<void()> expired = expired_;
    expired();
}

} // namespace auburn
