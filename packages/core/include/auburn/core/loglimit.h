#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <utility>

namespace auburn {

// LogLimit bounds the number of log lines of one kind that untrusted input causes. Callable from
// any thread.
class LogLimit
{
public:
    using Clock = std::chrono::steady_clock;

    // At most the given number of lines in each second.
    explicit LogLimit(unsigned linesPerSecond)
        : linesPerSecond_(linesPerSecond)
    {}

    // The number of lines that were dropped since the last one that was written, or nothing if this
    // one is to be dropped.
    std::optional<std::uint64_t> takeLine(Clock::time_point now)
    {
        const std::lock_guard lock(mutex_);
        if (now >= secondEnds_) {
            secondEnds_ = now + std::chrono::seconds(1);
            lines_ = 0;
        }
        if (lines_ >= linesPerSecond_) {
            ++dropped_;
            return std::nullopt;
        }
        ++lines_;
        return std::exchange(dropped_, 0);
    }

private:
    const unsigned linesPerSecond_;
    std::mutex mutex_;
    Clock::time_point secondEnds_;
    unsigned lines_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace auburn
