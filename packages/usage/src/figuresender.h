// FigureSender sends committed figures to the platform: one call at a time, repeated until the
// platform accepts it or the window is too old. The figure with the fewest failures is sent first,
// the oldest of several: one that the platform keeps rejecting delays the others by one retry delay
// at most.
//
// Repeating a call is safe, because the figure of a window never changes and the platform ignores
// exact duplicates.
#pragma once

#include "retrydelay.h"

#include "auburn/core/metrics.h"
#include "auburn/duties/dutyapi.h"
#include "auburn/usage/fleetclock.h"
#include "auburn/usage/reportstatus.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace auburn::usage {

class FigureSender
{
public:
    using TimePoint = BootClock::time_point;

    struct Options
    {
        std::chrono::milliseconds windowLength{ 0 };
        // May be null.
        Metrics *metrics = nullptr;
    };

    // The clock and the interface must outlive the sender.
    FigureSender(Options options, const FleetClock &clock, duties::DutyApi &api);

    // Queues the figure of a window; ignored if that window ended too long ago.
    void add(duties::UsageFigure figure, TimePoint now);
    // Drops all queued figures. A call in progress still ends.
    void clear();
    // Sends what is due; to be called about every 100 ms while the permit is held.
    void tick(TimePoint now);
    ReportStatus status(TimePoint now) const;

private:
    struct QueuedFigure
    {
        std::shared_ptr<const duties::UsageFigure> figure;
        unsigned failures = 0;
    };

    bool isExpired(std::uint64_t window, TimePoint now) const;
    void dropExpired(TimePoint now);
    void sendNext();
    void callEnded(std::uint64_t window, duties::CallStatus status);
    void recordReported(std::uint64_t window, unsigned failures);

    const Options options_;
    const FleetClock &clock_;
    duties::DutyApi &api_;
    // By window.
    std::map<std::uint64_t, QueuedFigure> queue_;
    bool isCalling_ = false;
    RetryDelay retry_;
    // Time of the last tick.
    TimePoint now_;
    // The newest window that the platform accepted; its age is not kept. Empty if there was none.
    std::optional<ReportedWindow> newestReported_;
    // Calls that end after the destruction see that it has expired.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace auburn::usage
