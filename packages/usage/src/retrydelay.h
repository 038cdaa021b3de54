// RetryDelay: the wait before an action is repeated, doubled with each failure.
#pragma once

#include "auburn/core/bootclock.h"

#include <algorithm>
#include <chrono>

namespace auburn::usage {

class RetryDelay
{
public:
    using TimePoint = BootClock::time_point;

    bool isOver(TimePoint now) const { return now >= retryAt_; }
    void recordFailure(TimePoint now)
    {
        retryAt_ = now + delay_;
        delay_ = std::min(delay_ * 2, kMaxDelay);
    }
    void reset() { *this = {}; }

private:
    static constexpr std::chrono::milliseconds kMinDelay{ 300 };
    static constexpr std::chrono::milliseconds kMaxDelay{ 2000 };

    std::chrono::milliseconds delay_ = kMinDelay;
    TimePoint retryAt_;
};

} // namespace auburn::usage
