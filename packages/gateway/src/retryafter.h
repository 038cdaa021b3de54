#pragma once

#include "auburn/core/headerfield.h"
#include "auburn/gateway/requestoutlook.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace auburn::gateway {

// Returns the retry delay for callers of a daemon that has been without a configuration for the
// given time. The delay grows with that time, because a store that has been unavailable for long is
// likely to stay unavailable for as long again, and a caller that retries too early is rejected a
// second time.
std::chrono::milliseconds missingConfigurationRetryDelay(std::chrono::milliseconds missingFor);

// Parses the Retry-After field of a backend server: seconds, which may have a fraction. Returns
// nullopt for a date, a negative number and anything else that is no number of seconds.
std::optional<std::chrono::milliseconds> parseRetryAfter(std::string_view text);

// Returns the retry delays for a caller when all servers of its service accept requests again after
// the given time. The delays of callers are spread over half of that time, so that they do not all
// return at the same moment, and end within the third of the caller's time that callers wait.
RetryDelays serviceRetryDelays(std::chrono::milliseconds untilReturn,
                               std::chrono::milliseconds timeLeft);
// Draws one of the delays at random.
std::chrono::milliseconds drawRetryDelay(const RetryDelays &delays);

// Returns a Retry-After field with the delay in seconds, with two decimals.
HeaderField retryAfterField(std::chrono::milliseconds delay);

} // namespace auburn::gateway
