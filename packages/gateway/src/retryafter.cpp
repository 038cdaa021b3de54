#include "retryafter.h"

#include <algorithm>
#include <cstdio>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kMinRetryDelay{ 500 };
constexpr milliseconds kMaxRetryDelay{ 3000 };

} // namespace

milliseconds missingConfigurationRetryDelay(milliseconds missingFor)
{
    return std::clamp(missingFor, kMinRetryDelay, kMaxRetryDelay);
}

HeaderField retryAfterField(milliseconds delay)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f", std::chrono::duration<double>(delay).count());
    return { .name = "Retry-After", .value = text };
}

} // namespace auburn::gateway
