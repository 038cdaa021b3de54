#include "auburn/ctl/duration.h"

#include <array>
#include <charconv>
#include <cmath>

namespace auburn {

namespace {

using std::chrono::microseconds;

struct Unit
{
    std::string_view name;
    microseconds length;
};

// Longer names come before their suffixes, so that "ms" is not read as "s".
constexpr std::array kUnits{
    Unit{ "us", microseconds(1) },        Unit{ "ms", std::chrono::milliseconds(1) },
    Unit{ "s", std::chrono::seconds(1) }, Unit{ "m", std::chrono::minutes(1) },
    Unit{ "h", std::chrono::hours(1) },
};

constexpr double kLongestHours = 1'000'000;

} // namespace

std::optional<microseconds> parseDuration(std::string_view text)
{
    const std::size_t unitStart = text.find_first_not_of("0123456789.");
    if (unitStart == 0 || unitStart == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = text.substr(0, unitStart);
    double number = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
        return std::nullopt;
    for (const Unit &unit : kUnits) {
        if (text.substr(unitStart) != unit.name)
            continue;
        const double micros = number * static_cast<double>(unit.length.count());
        if (micros > kLongestHours * 3.6e9)
            return std::nullopt;
        return microseconds(std::llround(micros));
    }
    return std::nullopt;
}

std::string formatDuration(microseconds duration)
{
    const auto count = duration.count();
    const Unit &unit = std::abs(count) >= 1'000'000 ? kUnits[2]
                       : std::abs(count) >= 1'000   ? kUnits[1]
                                                    : kUnits[0];
    if (count == 0)
        return "0s";
    char buffer[64];
    const double number = static_cast<double>(count) / static_cast<double>(unit.length.count());
    const auto end = std::to_chars(buffer, buffer + sizeof(buffer), number,
                                   std::chars_format::fixed);
    return std::string(buffer, end.ptr) + std::string(unit.name);
}

} // namespace auburn
