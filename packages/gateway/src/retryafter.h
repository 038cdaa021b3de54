// When a caller whose request is refused should come back.
#pragma once

#include "auburn/core/headerfield.h"

#include <chrono>

namespace auburn::gateway {

// The wait of a caller of a daemon that has had no configuration for this time. A store that has
// been away for long is likely to stay away for as long again, and a caller that comes back too
// early is refused a second time.
std::chrono::milliseconds missingConfigurationRetryDelay(std::chrono::milliseconds missingFor);

// The field that tells a caller to wait.
HeaderField retryAfterField(std::chrono::milliseconds delay);

} // namespace auburn::gateway
