// ConcurrencyCurve learns up to which number of requests in progress a server completes more work:
// its useful concurrency.
//
// It keeps the mean speed of the server in eight ranges of occupancy. Work completed per time is
// the occupancy multiplied by the speed; the useful concurrency is the lowest occupancy at which
// that is close to its maximum. Only a range that was seen repeatedly counts, so that a server that
// is slow for a moment for another reason does not get a limit. Ranges above the limit receive no
// more requests, are forgotten and then tried again.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace auburn::routing {

class ConcurrencyCurve
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Records the work time that the server reported with this number of running requests, as a
    // multiple of the usual one.
    void record(unsigned running, unsigned slots, double workTime, TimePoint now);

    // Returns the useful concurrency as a share of the slots, up to 1.
    double usefulShare() const { return usefulShare_; }

private:
    static constexpr std::size_t kRanges = 8;

    struct Range
    {
        double speed = 0;
        // Number of observations that were far enough apart to be independent; decays.
        double weight = 0;
        TimePoint at;
    };

    void updateUsefulShare(TimePoint now);

    std::array<Range, kRanges> ranges_;
    double usefulShare_ = 1;
    TimePoint updatedAt_;
};

} // namespace auburn::routing
