// LazyDeadline: a deadline that can be moved for every token at the cost of a store.
//
// Re-arming an asio timer takes two operations on the timer heap. This class leaves the timer armed
// and compares with the current deadline only when it fires.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace auburn {

class LazyDeadline
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Calls expired on the context's thread once for each deadline that passes.
    LazyDeadline(boost::asio::io_context &context, std::function<void()> expired);

    // Sets or moves the deadline.
    void set(TimePoint deadline);
    void setAfter(std::chrono::milliseconds delay);
    void clear();

private:
    void arm();
    void timerFired();

    boost::asio::steady_timer timer_;
    std::function<void()> expired_;
    TimePoint deadline_ = TimePoint::max();
    // Time for which the timer is armed; max() if it is not.
    TimePoint armed_ = TimePoint::max();
    // A handler that runs after destruction sees that this has expired.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace auburn
