// PromptAffinity names the engines at which a prompt's shared parts are expected to be cached.
//
// Rendezvous hashing by the session's prompt part gives all daemons the same order of engines, so a
// part is prefilled by one engine instead of several, although no daemon knows what the others sent
// there.
#pragma once

#include "auburn/routing/attempt.h"
#include "auburn/routing/candidate.h"
#include "auburn/routing/promptpart.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace auburn::routing {

class PromptAffinity
{
public:
    // No engine is expected to have anything.
    PromptAffinity() = default;
    // Considers the candidates from the given index on.
    PromptAffinity(const std::vector<Candidate> &candidates, std::size_t first,
                   const PromptParts &prompt);

    // Returns the number of prompt tokens that the candidate has to prefill.
    std::uint64_t expectedUncached(const Candidate &candidate, const PromptParts &prompt) const;
    // Returns an engine from which the others can copy the prompt's shared parts: one to which this
    // daemon sent them, otherwise the one that is expected to have them; null if there is none. An
    // avoided engine is not used. A wrong answer costs the request one ordinary prefill.
    const BackendServer *copySource(const std::vector<Candidate> &candidates,
                                    const PlacementQuery &query,
                                    std::chrono::steady_clock::time_point now) const;

private:
    double cachedShare(const BackendServer *server) const;

    // The first two engines of the rendezvous order; either may be null.
    const BackendServer *primary_ = nullptr;
    const BackendServer *secondary_ = nullptr;
};

} // namespace auburn::routing
