#include "auburn/routing/concurrencycurve.h"

#include "durations.h"

#include <algorithm>
#include <cmath>

namespace auburn::routing {

using std::chrono::milliseconds;

namespace {

// Work times that a server reports within this time of each other are correlated.
constexpr milliseconds kCorrelationTime{ 600 };
// An observation counts half after this time, so a limit is tried again after about a minute.
constexpr milliseconds kHalfLife{ 20000 };
// Independent observations that a range needs. The mean speed of a server that is 2.5 times slower
// for a sixth of the time then has a standard error of 8%.
constexpr double kMinWeight = 8;
// Completed work at the useful concurrency, as a share of the maximum.
constexpr double kUsefulWorkShare = 0.93;
constexpr milliseconds kUpdateInterval{ 100 };

} // namespace

void ConcurrencyCurve::record(unsigned running, unsigned slots, double workTime, TimePoint now)
{
    if (running == 0 || slots == 0)
        return;
    const double occupancy = static_cast<double>(running) / slots;
    const double position = std::ceil(occupancy * kRanges) - 1;
    Range &range = ranges_[static_cast<std::size_t>(std::clamp(position, 0.0, kRanges - 1.0))];
    const double added = range.weight > 0 ? std::clamp(
                                 toMs(now - range.at) / toMs(kCorrelationTime), 0.0, 1.0)
                                          : 1;
    range.weight = range.weight * exponentialDecay(now - range.at, kHalfLife) + added;
    range.speed += (1 / workTime - range.speed) * added / range.weight;
    range.at = now;
    if (now - updatedAt_ >= kUpdateInterval)
        updateUsefulShare(now);
}

void ConcurrencyCurve::updateUsefulShare(TimePoint now)
{
    updatedAt_ = now;
    std::array<double, kRanges> work{};
    std::size_t highest = 0;
    for (std::size_t i = 0; i < kRanges; ++i) {
        const Range &range = ranges_[i];
        if (range.weight * exponentialDecay(now - range.at, kHalfLife) < kMinWeight)
            continue;
        work[i] = range.speed * static_cast<double>(i + 1) / kRanges;
        highest = i;
    }
    const double enough = *std::max_element(work.begin(), work.end()) * kUsefulWorkShare;
    const auto lowest = std::find_if(work.begin(), work.end(),
                                     [enough](double value) { return value >= enough; });
    const auto useful = static_cast<std::size_t>(lowest - work.begin());
    usefulShare_ = useful >= highest ? 1 : static_cast<double>(useful + 1) / kRanges;
}

} // namespace auburn::routing
