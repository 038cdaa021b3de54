#include "auburn/core/boundedoutput.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace auburn {

BoundedOutput::BoundedOutput(Options options)
    : options_(options)
    , tokens_(options.burstLines)
    , refilled_(Clock::now())
{}

bool BoundedOutput::takeLine(Clock::time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - refilled_).count();
    tokens_ = std::min(options_.burstLines,
                       tokens_ + std::max(0.0, elapsed) * options_.linesPerSecond);
    refilled_ = now;
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

void BoundedOutput::add(std::string_view line, Clock::time_point now)
{
    const bool fits = buffer_.size() + line.size() < options_.bufferBytes;
    if (!fits || !takeLine(now)) {
        ++dropped_;
        return;
    }
    if (dropped_ > reported_) {
        buffer_ += "event=log_lines_dropped count=" + std::to_string(dropped_ - reported_) + "\n";
        reported_ = dropped_;
    }
    buffer_.append(line).push_back('\n');
}

bool BoundedOutput::flush()
{
    std::size_t done = 0;
    while (done < buffer_.size()) {
        // A pipe that polls as writable takes PIPE_BUF bytes without blocking.
        pollfd entry{ .fd = options_.descriptor, .events = POLLOUT, .revents = 0 };
        if (poll(&entry, 1, 0) != 1 || (entry.revents & POLLOUT) == 0)
            break;
        const std::size_t size = std::min<std::size_t>(buffer_.size() - done, PIPE_BUF);
        const ssize_t written = write(options_.descriptor, buffer_.data() + done, size);
        if (written <= 0)
            break;
        done += static_cast<std::size_t>(written);
    }
    buffer_.erase(0, done);
    return buffer_.empty();
}

} // namespace auburn
