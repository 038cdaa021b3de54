// Costs that are added to the predicted time of a candidate. A cost is a time, so that all of them
// can be compared with the caller's wait.
#pragma once

#include "auburn/routing/candidate.h"
#include "auburn/routing/distance.h"
#include "auburn/routing/promptpart.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace auburn::routing {

// Cost of sending the prompt to a server.
std::chrono::microseconds distanceCost(Distance distance, const PromptParts &prompt);

// Cost of prefilling shared tokens that another engine is expected to have.
std::chrono::microseconds repeatedPrefillCost(std::uint64_t tokens);

// Cost of the delay that prefilling the tokens causes to the requests that run on the engine, whose
// streams receive only one token for each prefill chunk.
std::chrono::microseconds neighbourCost(const PeerLoad &load, std::uint64_t uncachedTokens);

// Cost of a server that is much slower than the others; see relativeSlowness().
std::chrono::microseconds stragglerCost(double slowness);

// Cost that differs between daemons, so that daemons that do not know each other's load do not all
// select the same one of several equal servers.
std::chrono::microseconds spreadCost(const BackendServer &server, const std::string &vm);

// Cost of an expected failure, or of a server that is avoided.
std::chrono::microseconds failureCost(const ServerView &view, bool repeatable,
                                      std::chrono::steady_clock::time_point now);

} // namespace auburn::routing
