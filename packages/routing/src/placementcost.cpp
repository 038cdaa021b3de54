#include "placementcost.h"

#include "durations.h"
#include "prediction.h"

#include "auburn/core/hash.h"

#include <algorithm>

namespace auburn::routing {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Round-trip time to another region.
constexpr milliseconds kOtherRegionCost{ 45 };
constexpr milliseconds kOtherDomainCost{ 3 };
// Lower than the cost of another failure domain, higher than that of a few requests in progress.
constexpr microseconds kMaxSpreadCost{ 2000 };
// Traffic between regions is charged; cost for each 1,000 prompt tokens sent to another region.
constexpr microseconds kRegionCostPerKiloToken{ 2000 };
// Prefilling a shared part again delays all requests queued at the engine, not only the one being
// placed. Cost for each 1,000 tokens, in addition to the predicted time.
constexpr microseconds kRepeatedPrefillCostPerKiloToken{ 200000 };
// Weight of the delay of a running request, relative to that of the request being placed: most
// running requests have time left until they miss a target.
constexpr double kNeighbourWeight = 1.0 / 3;
// A server that is slower than the others by this factor is a straggler; it receives fewer requests
// even if their prompt parts are cached there.
constexpr double kStragglerSlowness = 2.0;
// Cost for each unit of slowness beyond that factor.
constexpr double kStragglerCostMs = 600.0;
// Cost of an expected failure, which is higher if the request cannot be retried.
constexpr double kRepeatableFailureMs = 300.0;
constexpr double kFinalFailureMs = 1500.0;
// High enough that avoided servers are selected only if no other is left.
constexpr milliseconds kAvoidCost{ 20000 };

} // namespace

microseconds distanceCost(Distance distance, const PromptParts &prompt)
{
    switch (distance) {
    case Distance::OwnDomain:
        return microseconds(0);
    case Distance::OwnRegion:
        return kOtherDomainCost;
    case Distance::OtherRegion:
        break;
    }
    const auto kiloTokens = static_cast<std::int64_t>(totalTokens(prompt) / 1000);
    return kOtherRegionCost + kRegionCostPerKiloToken * kiloTokens;
}

microseconds repeatedPrefillCost(std::uint64_t tokens)
{
    return kRepeatedPrefillCostPerKiloToken * static_cast<std::int64_t>(tokens) / 1000;
}

microseconds neighbourCost(const PeerLoad &load, std::uint64_t uncachedTokens)
{
    const unsigned streams = load.running - std::min(load.running, load.waiting);
    return fromMs(kNeighbourWeight * streams * toMs(prefillTime(uncachedTokens)));
}

microseconds stragglerCost(double slowness)
{
    const double excess = std::max(0.0, slowness - kStragglerSlowness);
    return fromMs(excess * kStragglerCostMs);
}

microseconds spreadCost(const BackendServer &server, const std::string &vm)
{
    constexpr std::uint64_t kSteps = 1000;
    const std::uint64_t step = stableHash(server.id, stableHash(vm)) % kSteps;
    return kMaxSpreadCost * static_cast<std::int64_t>(step) / static_cast<std::int64_t>(kSteps);
}

microseconds failureCost(const ServerView &view, bool repeatable,
                         std::chrono::steady_clock::time_point now)
{
    if (view.isAvoided(now))
        return kAvoidCost;
    const double costMs = repeatable ? kRepeatableFailureMs : kFinalFailureMs;
    return fromMs(view.failureShare(now) * costMs);
}

} // namespace auburn::routing
