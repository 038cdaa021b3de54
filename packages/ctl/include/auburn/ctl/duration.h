// Durations in the operators' language and in settings: "250us", "26ms", "1.8s", "15m", "2h".
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace auburn {

// The duration of a non-negative decimal number with a unit (us, ms, s, m, h), rounded to
// microseconds; nothing for any other text or for more than 1,000,000 hours.
std::optional<std::chrono::microseconds> parseDuration(std::string_view text);

// Shortest exact text of a duration in the largest unit up to seconds, for example "1.8s" or
// "26ms".
std::string formatDuration(std::chrono::microseconds duration);

} // namespace auburn
