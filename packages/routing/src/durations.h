// Conversions between chrono durations and fractional milliseconds, and exponential decay.
#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>

namespace auburn::routing {

inline std::chrono::microseconds fromMs(double ms)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
}

inline double toMs(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

// Returns the factor, from 1 towards 0, by which a value of the given age has decayed.
inline double exponentialDecay(std::chrono::steady_clock::duration age,
                               std::chrono::milliseconds halfLife)
{
    return std::exp2(-toMs(age) / static_cast<double>(halfLife.count()));
}

} // namespace auburn::routing
