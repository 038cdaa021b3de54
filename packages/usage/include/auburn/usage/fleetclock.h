// FleetClock estimates the true time from the wall clocks of all daemons.
//
// The wall clock of one VM may jump by seconds, which would shift its counts into another window.
// Each daemon therefore keeps the offset between the wall clock of every VM, as stated in its
// heartbeats, and its own BootClock, and uses the median of these offsets.
#pragma once

#include "auburn/core/bootclock.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace auburn::usage {

class FleetClock
{
public:
    using TimePoint = BootClock::time_point;

    explicit FleetClock(std::string ownVm);

    // Records the wall clock of a daemon, this one included. Times of 0 are ignored: they come from
    // daemons that do not state their clock. The own wall clock must be recorded before the first
    // use and then about every 100 ms; the estimate takes account of all records only then.
    void recordClock(const std::string &vm, std::chrono::milliseconds unixTime, TimePoint now);
    // The estimate of the true time since the Unix epoch; 0 if no clock has been recorded.
    std::chrono::milliseconds unixTime(TimePoint now) const;

private:
    using Offset = BootClock::duration;

    struct Clock
    {
        Offset offset;
        TimePoint recordedAt;
    };

    void forgetSilent(TimePoint now);
    Offset median() const;
    // The own offset if the median confirms it, otherwise the median.
    Offset measuredOffset() const;
    void update(TimePoint now);

    const std::string ownVm_;
    std::map<std::string, Clock> clocks_;
    std::optional<Offset> estimate_;
    TimePoint startedAt_;
    // Since when the measured offset has been far from the estimate.
    std::optional<TimePoint> deviatesSince_;
};

} // namespace auburn::usage
