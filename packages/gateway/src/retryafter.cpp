#include "retryafter.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <random>
#include <system_error>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kMinRetryDelay{ 500 };
constexpr milliseconds kMaxRetryDelay{ 3000 };
constexpr milliseconds kMinServiceRetryDelay{ 100 };

} // namespace

milliseconds missingConfigurationRetryDelay(milliseconds missingFor)
{
    return std::clamp(missingFor, kMinRetryDelay, kMaxRetryDelay);
}

std::optional<milliseconds> parseRetryAfter(std::string_view text)
{
    // Longer times mean the same as this one: not within the time of any request.
    constexpr double kMaxSeconds = 86400;
    double seconds = 0;
    const char *last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, seconds);
    const bool isOutOfRange = parsed.ec == std::errc::result_out_of_range;
    if (parsed.ptr != last || (parsed.ec != std::errc() && !isOutOfRange) || !(seconds >= 0))
        return std::nullopt;
    const double limited = isOutOfRange ? kMaxSeconds : std::min(seconds, kMaxSeconds);
    return std::chrono::ceil<milliseconds>(std::chrono::duration<double>(limited));
}

RetryDelays serviceRetryDelays(milliseconds untilReturn, milliseconds timeLeft)
{
    const milliseconds earliest = std::max(untilReturn, kMinServiceRetryDelay);
    const milliseconds limit = std::max(timeLeft / 3, kMinServiceRetryDelay);
    return { .earliest = earliest, .spread = earliest / 2, .limit = limit };
}

milliseconds drawRetryDelay(const RetryDelays &delays)
{
    thread_local std::minstd_rand random{ std::random_device{}() };
    std::uniform_int_distribution<milliseconds::rep> spread(0, delays.spread.count());
    return std::min(delays.earliest + milliseconds(spread(random)), delays.limit);
}

HeaderField retryAfterField(milliseconds delay)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f", std::chrono::duration<double>(delay).count());
    return { .name = "Retry-After", .value = text };
}

} // namespace auburn::gateway
