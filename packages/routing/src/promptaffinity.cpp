#include "auburn/routing/promptaffinity.h"

#include "auburn/core/hash.h"

#include <algorithm>

namespace auburn::routing {

namespace {

// Share of the shared tokens that is expected to be cached at the first and at the second engine of
// the rendezvous order if this daemon has not sent them there itself.
constexpr double kPrimaryCachedShare = 0.8;
constexpr double kSecondaryCachedShare = 0.2;

} // namespace

PromptAffinity::PromptAffinity(const std::vector<Candidate> &candidates, std::size_t first,
                               const PromptParts &prompt)
{
    if (prompt.empty())
        return;
    const std::uint64_t key = sessionPartId(prompt);
    std::uint64_t firstWeight = 0;
    std::uint64_t secondWeight = 0;
    for (std::size_t i = first; i < candidates.size(); ++i) {
        const BackendServer *server = candidates[i].server;
        const std::uint64_t weight = stableHash(server->id, key);
        if (!primary_ || weight > firstWeight) {
            secondary_ = primary_;
            secondWeight = firstWeight;
            primary_ = server;
            firstWeight = weight;
        } else if (!secondary_ || weight > secondWeight) {
            secondary_ = server;
            secondWeight = weight;
        }
    }
}

double PromptAffinity::cachedShare(const BackendServer *server) const
{
    if (server == primary_)
        return kPrimaryCachedShare;
    return server == secondary_ ? kSecondaryCachedShare : 0;
}

std::uint64_t PromptAffinity::expectedUncached(const Candidate &candidate,
                                               const PromptParts &prompt) const
{
    const std::uint64_t uncached = candidate.view->cache().uncachedTokens(prompt);
    const std::uint64_t shared = sharedTokens(prompt);
    const std::uint64_t own = totalTokens(prompt) - shared;
    const double missing = (1 - cachedShare(candidate.server)) * static_cast<double>(shared);
    return std::min(uncached, own + static_cast<std::uint64_t>(missing));
}

const BackendServer *PromptAffinity::copySource(const std::vector<Candidate> &candidates,
                                                const PlacementQuery &query,
                                                std::chrono::steady_clock::time_point now) const
{
    if (sharedTokens(query.prompt) == 0)
        return nullptr;
    const std::uint64_t part = sessionPartId(query.prompt);
    const BackendServer *known = nullptr;
    const BackendServer *expected = nullptr;
    for (const Candidate &candidate : candidates) {
        const BackendServer *server = candidate.server;
        if (candidate.view->isAvoided(now) || isExcluded(query, *server))
            continue;
        if (server == primary_)
            expected = server;
        const bool cached = candidate.view->cache().contains(part);
        if (cached && (!known || server == primary_))
            known = server;
    }
    return known ? known : expected;
}

} // namespace auburn::routing
