#include "loadshedding.h"

#include <algorithm>
#include <unordered_map>

namespace auburn::gateway {

std::vector<std::size_t> selectConnectionsToShed(const std::vector<ConnectionLoad> &loads,
                                                 const SheddingGoal &goal)
{
    std::unordered_map<std::uint64_t, std::size_t> sourceBytes;
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        const ConnectionLoad &load = loads[i];
        sourceBytes[load.source] += load.heldBytes;
        if (load.isDispensable && load.heldBytes > 0 && load.stalledRounds >= goal.minStalledRounds)
            candidates.push_back(i);
    }
    std::vector<double> weights(loads.size());
    for (const std::size_t index : candidates) {
        const ConnectionLoad &load = loads[index];
        weights[index] = static_cast<double>(load.heldBytes) * (1 + load.stalledRounds)
                         * static_cast<double>(sourceBytes[load.source]);
    }
    std::sort(candidates.begin(), candidates.end(), [&weights](std::size_t a, std::size_t b) {
        return weights[a] != weights[b] ? weights[a] > weights[b] : a < b;
    });
    std::size_t freed = 0;
    std::size_t count = 0;
    while (count < candidates.size()
           && (freed < goal.excessBytes || count < goal.excessConnections))
        freed += loads[candidates[count++]].heldBytes;
    candidates.resize(count);
    return candidates;
}

} // namespace auburn::gateway
