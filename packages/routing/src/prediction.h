// Predictions of how long a server takes to begin its response.
#pragma once

#include "auburn/routing/candidate.h"

#include <chrono>
#include <cstdint>

namespace auburn::routing {

using TimePoint = std::chrono::steady_clock::time_point;

// Returns the time in which an engine prefills the tokens without any other work.
std::chrono::microseconds prefillTime(std::uint64_t tokens);

// Predicts the time to the first token of a request with the given uncached prompt tokens and
// urgency.
std::chrono::microseconds predictEngine(const Candidate &candidate, std::uint64_t uncachedTokens,
                                        double slowness, int urgency, TimePoint now);

// Predicts the time to the response of a plain service.
std::chrono::microseconds predictPlain(const Candidate &candidate, double slowness, TimePoint now);

// Relates the slowness of one server to the average of the other ones, because queues that grow at
// all servers do not make any of them slow. The sum is that of all servers.
double relativeSlowness(double own, double sum, std::size_t servers);

// Returns the time by which a request at a plain service that reports its work time is expected to
// be delayed by requests that this daemon does not know of; rises with the share of the server's
// useful concurrency in use, so that faster servers are filled more than slower ones but not at
// once.
std::chrono::microseconds crowdingTime(const Candidate &candidate, double slowness, TimePoint now);

} // namespace auburn::routing
