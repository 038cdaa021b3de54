#include "auburn/routing/serverload.h"

#include <cstddef>
#include <numeric>

namespace auburn::routing {

std::uint64_t tokensUpTo(const PeerLoad &load, int urgency)
{
    const auto end = load.waitingTokens.begin() + urgency + 1;
    return std::accumulate(load.waitingTokens.begin(), end, std::uint64_t{ 0 });
}

void addLoad(PeerLoad &total, const PeerLoad &load)
{
    total.running += load.running;
    total.waiting += load.waiting;
    total.gapSensitiveStreams += load.gapSensitiveStreams;
    for (std::size_t level = 0; level < total.waitingTokens.size(); ++level)
        total.waitingTokens[level] += load.waitingTokens[level];
}

} // namespace auburn::routing
