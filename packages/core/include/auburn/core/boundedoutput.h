// BoundedOutput: lines for a descriptor that may not take them, such as a full pipe.
//
// Writing never blocks. Lines wait in a buffer of a fixed size; a line that finds it full, or that
// exceeds the rate, is dropped and counted, and the count is written as a line of its own later.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace auburn {

class BoundedOutput
{
public:
    using Clock = std::chrono::steady_clock;

    struct Options
    {
        int descriptor = 1;
        std::size_t bufferBytes = std::size_t{ 256 } * 1024;
        // Lines in a second, and the number that may come at once after a pause.
        double linesPerSecond = 600;
        double burstLines = 1500;
    };

    explicit BoundedOutput(Options options);

    // Adds a line without its end.
    void add(std::string_view line, Clock::time_point now);
    // Writes what the descriptor takes at once. True if nothing is left.
    bool flush();
    std::uint64_t dropped() const { return dropped_; }
    bool isEmpty() const { return buffer_.empty(); }

private:
    bool takeLine(Clock::time_point now);

    const Options options_;
    std::string buffer_;
    double tokens_;
    Clock::time_point refilled_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
};

} // namespace auburn
