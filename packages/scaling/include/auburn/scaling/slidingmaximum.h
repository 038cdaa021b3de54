// SlidingMaximum is the highest of the values that were added within a time window.
#pragma once

#include "auburn/core/bootclock.h"

#include <chrono>
#include <deque>

namespace auburn::scaling {

// All times of this package include the time for which the VM was suspended: a report that waited
// out a suspension is old.
using TimePoint = BootClock::time_point;

class SlidingMaximum
{
public:
    explicit SlidingMaximum(std::chrono::milliseconds window)
        : window_(window)
    {}

    // Times must not decrease.
    void add(double value, TimePoint now);
    // Returns 0 if no value was added.
    double value() const { return samples_.empty() ? 0 : samples_.front().value; }

private:
    struct Sample
    {
        TimePoint at;
        double value = 0;
    };

    const std::chrono::milliseconds window_;
    // Values in descending order: a value is dropped once a later one is at least as high.
    std::deque<Sample> samples_;
};

} // namespace auburn::scaling
