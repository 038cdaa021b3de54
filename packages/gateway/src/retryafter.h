#pragma once

#include "auburn/core/headerfield.h"

#include <chrono>

namespace auburn::gateway {

// Returns the retry delay for callers of a daemon that has been without a configuration for the
// given time. The delay grows with that time, because a store that has been unavailable for long is
// likely to stay unavailable for as long again, and a caller that retries too early is rejected a
// second time.
std::chrono::milliseconds missingConfigurationRetryDelay(std::chrono::milliseconds missingFor);

// Returns a Retry-After field with the delay in seconds, with two decimals.
HeaderField retryAfterField(std::chrono::milliseconds delay);

} // namespace auburn::gateway
