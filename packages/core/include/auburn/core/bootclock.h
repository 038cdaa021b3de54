// BootClock: a steady clock that also counts the time for which the VM was suspended.
//
// std::chrono::steady_clock stands still while a VM is suspended, so a limit that somebody else
// counts by, such as a caller's deadline, may have passed without a sign of it there.
#pragma once

#include <chrono>

namespace auburn {

struct BootClock
{
    // Names that std::chrono asks of a clock.
    using duration = std::chrono::nanoseconds;             // NOLINT(readability-identifier-naming)
    using rep = duration::rep;                             // NOLINT(readability-identifier-naming)
    using period = duration::period;                       // NOLINT(readability-identifier-naming)
    using time_point = std::chrono::time_point<BootClock>; // NOLINT(readability-identifier-naming)
    static constexpr bool is_steady = true;                // NOLINT(readability-identifier-naming)

    static time_point now();
};

// Lets a test run as if the VM had been suspended for a time; the clock goes back when it ends.
class SuspendedTimeForTest
{
public:
    explicit SuspendedTimeForTest(std::chrono::milliseconds time);
    ~SuspendedTimeForTest();
    SuspendedTimeForTest(const SuspendedTimeForTest &) = delete;
    SuspendedTimeForTest &operator=(const SuspendedTimeForTest &) = delete;

private:
    const std::chrono::milliseconds time_;
};

} // namespace auburn
