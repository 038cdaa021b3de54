#include "auburn/routing/streampool.h"

#include "auburn/core/hash.h"

#include <algorithm>
#include <cmath>

namespace auburn::routing {

using std::chrono::milliseconds;

namespace {

// Share of the slots of the pool's engines that gap-sensitive streams use before the pool grows,
// and the largest share of the engines that the pool may take.
constexpr double kPoolSlotShare = 0.7;
constexpr double kPoolMaxShare = 0.5;
// The pool shrinks by at most one engine within this time.
constexpr milliseconds kPoolShrinkInterval{ 1500 };
// The pool is dissolved after this time without a gap-sensitive stream.
constexpr milliseconds kPoolLifetime{ 8000 };
// Cost of a gap-sensitive stream on an engine outside of the pool, and of another request inside.
constexpr milliseconds kStreamOutsidePoolCost{ 400 };
constexpr milliseconds kPromptInsidePoolCost{ 150 };
// Number of prompt tokens that delays an event of a stream by less than its gap target, and the
// cost of exceeding it.
constexpr std::uint64_t kPoolPromptTokens = 6000;
constexpr milliseconds kLongPromptInsidePoolCost{ 2500 };

} // namespace

std::size_t StreamPool::resize(const std::vector<Candidate> &candidates, bool gapSensitiveStream,
                               TimePoint now)
{
    if (gapSensitiveStream)
        lastStreamAt_ = now;
    if (!lastStreamAt_ || now - *lastStreamAt_ > kPoolLifetime) {
        size_ = 0;
        return 0;
    }
    double streams = gapSensitiveStream ? 1 : 0;
    for (const Candidate &candidate : candidates)
        streams += candidate.load.gapSensitiveStreams;
    const double perEngine = std::max(1.0, kPoolSlotShare * candidates.front().server->slots);
    const auto needed = static_cast<std::size_t>(std::ceil(streams / perEngine));
    const auto largest = static_cast<std::size_t>(
            std::max(1.0, kPoolMaxShare * static_cast<double>(candidates.size())));
    const std::size_t wanted = std::clamp<std::size_t>(needed, 1, largest);
    const bool shrinks = wanted < size_ && now - changedAt_ > kPoolShrinkInterval;
    if (wanted > size_ || shrinks) {
        size_ = shrinks ? size_ - 1 : wanted;
        changedAt_ = now;
    }
    return std::min(size_, candidates.size());
}

void StreamPool::sortCandidates(std::vector<Candidate> &candidates)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &left, const Candidate &right) {
                  return stableHash(left.server->id) < stableHash(right.server->id);
              });
}

std::chrono::microseconds StreamPool::cost(const Candidate &candidate, bool inPool,
                                           bool gapSensitiveStream, std::uint64_t uncachedTokens)
{
    if (gapSensitiveStream)
        return inPool ? milliseconds(0) : kStreamOutsidePoolCost;
    if (!inPool)
        return milliseconds(0);
    const std::uint64_t tokens = uncachedTokens + tokensUpTo(candidate.load, kLowestUrgency);
    return tokens > kPoolPromptTokens ? kLongPromptInsidePoolCost : kPromptInsidePoolCost;
}

} // namespace auburn::routing
