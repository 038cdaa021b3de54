// Conversion of times to the unsigned milliseconds of gossip messages.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace auburn {

// Negative values become 0.
inline std::uint64_t toUnsignedMilliseconds(std::chrono::milliseconds value)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(value.count(), 0));
}

} // namespace auburn
