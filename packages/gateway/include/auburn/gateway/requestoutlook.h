// RequestOutlook says what the gateway would do with a new request at this moment, by the functions
// with which it decides about real ones.
//
// Not covered is what depends on the bytes of the request or of other connections: equal requests
// that crash servers, the memory limit, and the end of a drain.
#pragma once

#include "auburn/gateway/gateway.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace auburn::gateway {

// The values of Retry-After from which one is drawn at random: the earliest one and those within
// the spread after it, none of them longer than the limit.
struct RetryDelays
{
    std::chrono::milliseconds earliest{ 0 };
    std::chrono::milliseconds spread{ 0 };
    std::chrono::milliseconds limit{ 0 };

    std::chrono::milliseconds shortest() const { return std::min(earliest, limit); }
    std::chrono::milliseconds longest() const { return std::min(earliest + spread, limit); }
};

enum class RequestDecision {
    // Sent to the chosen server.
    Forwarded,
    // Held until the daemon has a configuration and a backend server.
    Waits,
    // Status 503; the request does not run.
    Rejected,
};

std::string_view requestDecisionName(RequestDecision decision);

struct RequestOutlook
{
    RequestDecision decision = RequestDecision::Forwarded;
    // Of a rejection, as in the log line of the request; empty otherwise.
    std::string_view reason;
    // Only set for a rejection.
    std::optional<RetryDelays> retryAfter;
    // The longest time for which the request waits; only set if it does.
    std::optional<std::chrono::milliseconds> longestWait;
    // The prompt part because of which the request is rejected.
    std::optional<std::uint64_t> blockedPart;
};

// A request that has just arrived.
struct NewRequest
{
    routing::PlacementQuery query;
    // What placement selects for it.
    std::optional<routing::PlacementChoice> choice;
    // The time limit that the caller states; empty if it states none.
    std::optional<std::chrono::milliseconds> deadline;
    std::chrono::milliseconds timeLeft{ 0 };
};

// Returns what would become of the request. Changes nothing.
RequestOutlook predictOutcome(const RoutingState &state, const NewRequest &request,
                              std::chrono::steady_clock::time_point now);

// Returns false if too little time is left to send a request to a server.
bool hasTimeForAttempt(std::chrono::milliseconds timeLeft);

// Returns the values of the Retry-After with which a request to the service is rejected. The
// service is null if it is unknown.
RetryDelays refusalRetryDelays(const routing::ServerDirectory &directory,
                               const routing::Service *service, std::chrono::milliseconds timeLeft,
                               std::chrono::steady_clock::time_point now);

} // namespace auburn::gateway
