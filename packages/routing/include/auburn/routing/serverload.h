// Types that describe the load of one backend server.
#pragma once

#include "auburn/routing/trafficconfig.h"

#include <array>
#include <cstdint>
#include <optional>

namespace auburn::routing {

// The load that a server reports about itself with a response.
struct LoadReport
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    // Time that work takes on the server at the moment, in hundredths of the usual time; empty if
    // the server does not state it.
    std::optional<unsigned> workTimePercent;
};

// Uncached prompt tokens of requests that have not produced their first token, indexed by urgency.
using WaitingTokens = std::array<std::uint64_t, kLowestUrgency + 1>;

// The load of one daemon, or the total of all daemons, at one server.
struct PeerLoad
{
    // Requests in progress, and those among them that have not produced their first token.
    unsigned running = 0;
    unsigned waiting = 0;
    // Number of gap-sensitive streams among the running requests.
    unsigned gapSensitiveStreams = 0;
    WaitingTokens waitingTokens{};
};

// Returns the waiting tokens of requests that are at least as urgent as the given urgency.
std::uint64_t tokensUpTo(const PeerLoad &load, int urgency);
// Adds the second load to the first one.
void addLoad(PeerLoad &total, const PeerLoad &load);

} // namespace auburn::routing
