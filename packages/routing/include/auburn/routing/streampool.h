// StreamPool reserves a few engines of one service for gap-sensitive streams, because one prefill
// chunk between two events would make the gaps of such a stream too long. The number of reserved
// engines follows the number of running streams.
#pragma once

#include "auburn/routing/candidate.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace auburn::routing {

class StreamPool
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Resizes the pool for a query and returns the number of reserved engines. The candidates are
    // all engines of the service.
    std::size_t resize(const std::vector<Candidate> &candidates, bool gapSensitiveStream,
                       TimePoint now);

    // Sorts the candidates in an order that all daemons share; the first ones are reserved.
    static void sortCandidates(std::vector<Candidate> &candidates);
    // Returns the cost of a gap-sensitive stream outside of the pool, or of another request with
    // the given number of uncached prompt tokens inside of it.
    static std::chrono::microseconds cost(const Candidate &candidate, bool inPool,
                                          bool gapSensitiveStream, std::uint64_t uncachedTokens);

private:
    std::size_t size_ = 0;
    TimePoint changedAt_;
    std::optional<TimePoint> lastStreamAt_;
};

} // namespace auburn::routing
