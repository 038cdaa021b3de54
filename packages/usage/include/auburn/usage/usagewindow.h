// Usage windows: consecutive intervals of true time, numbered from the Unix epoch.
#pragma once

#include <chrono>
#include <cstdint>

namespace auburn::usage {

// Default length of a window (report_window_s of the settings).
inline constexpr std::chrono::milliseconds kDefaultWindowLength{ 5000 };

// Counts and figures of windows that ended longer ago than this are dropped.
inline constexpr std::chrono::milliseconds kWindowRetention{ 60000 };

// A window that begins more than this later than this daemon's time is not accepted. The clocks of
// the daemons differ by less.
inline constexpr std::chrono::milliseconds kMaxClockDifference{ 10000 };

// A figure is sent until this time after the end of its window.
inline constexpr std::chrono::milliseconds kReportLimit{ 30000 };

// A window is closed only after every daemon has reported at this time after its end. A plain
// request is counted when its response arrives, for the time at which it was sent; nearly all
// responses have arrived by then.
inline constexpr std::chrono::milliseconds kSettleTime{ 1000 };

// The window that contains a time; times before the epoch belong to window 0.
constexpr std::uint64_t windowAt(std::chrono::milliseconds unixTime,
                                 std::chrono::milliseconds length)
{
    return unixTime.count() <= 0 ? 0 : static_cast<std::uint64_t>(unixTime / length);
}

// The time at which a window ends, as time since the epoch.
constexpr std::chrono::milliseconds windowEnd(std::uint64_t window,
                                              std::chrono::milliseconds length)
{
    return length * static_cast<std::int64_t>(window + 1);
}

} // namespace auburn::usage
