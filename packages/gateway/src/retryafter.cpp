#include "retryafter.h"

#include <algorithm>
#include <cstdio>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kShortestWait{ 500 };
constexpr milliseconds kLongestWait{ 3000 };

} // namespace

milliseconds waitForConfiguration(milliseconds missing)
{
    return std::clamp(missing, kShortestWait, kLongestWait);
}

HeaderField retryAfterField(milliseconds wait)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f", std::chrono::duration<double>(wait).count());
    return { .name = "Retry-After", .value = text };
}

} // namespace auburn::gateway
