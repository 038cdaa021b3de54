#include "auburn/usage/fleetclock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>
#include <vector>

namespace auburn::usage {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// An offset stays valid while its VM is silent, because BootClock drifts by less than a millisecond
// in this time. A daemon that is cut off from the others thus keeps the time.
constexpr seconds kClockRetention{ 60 };
// The heartbeats of other regions arrive up to this much late, which makes the median too low. An
// own wall clock that agrees with it within this tolerance is more precise.
constexpr milliseconds kTolerance{ 250 };
// A larger change takes effect only after it has lasted for this time: after this VM was suspended,
// the heartbeats that waited in its socket make all other clocks look slow until new ones arrive.
constexpr milliseconds kDeviationTime{ 1000 };
// Until this time after the start, changes take effect at once, because the first estimate is based
// only on the own wall clock.
constexpr seconds kStartTime{ 2 };
// A clock that is further ahead is ignored. Sums of two offsets must stay in the range of their
// type, which counts nanoseconds.
constexpr milliseconds kLatestTime{ 4'000'000'000'000 };
// Bounds the memory that forged names could use; far above the number of daemons of a fleet.
constexpr std::size_t kMaxClocks = 4096;

} // namespace

FleetClock::FleetClock(std::string ownVm)
    : ownVm_(std::move(ownVm))
{}

void FleetClock::recordClock(const std::string &vm, milliseconds unixTime, TimePoint now)
{
    if (unixTime <= milliseconds(0) || unixTime > kLatestTime)
        return;
    if (clocks_.size() >= kMaxClocks && !clocks_.contains(vm))
        return;
    clocks_[vm] = { .offset = unixTime - now.time_since_epoch(), .recordedAt = now };
    // Once for each own record, because the median of 790 clocks takes about 0.2 ms.
    if (vm != ownVm_)
        return;
    forgetSilent(now);
    update(now);
}

milliseconds FleetClock::unixTime(TimePoint now) const
{
    if (!estimate_)
        return milliseconds(0);
    return std::chrono::floor<milliseconds>(now.time_since_epoch() + *estimate_);
}

void FleetClock::forgetSilent(TimePoint now)
{
    std::erase_if(clocks_, [now](const auto &item) {
        return now - item.second.recordedAt > kClockRetention;
    });
}

FleetClock::Offset FleetClock::median() const
{
    std::vector<Offset> offsets;
    offsets.reserve(clocks_.size());
    for (const auto &[vm, clock] : clocks_)
        offsets.push_back(clock.offset);
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    if (offsets.size() % 2 == 1)
        return *middle;
    // Of an even number of clocks half may have jumped. Every value between both middle ones is a
    // median; the one closest to the previous estimate ignores the jump.
    const Offset lower = *std::max_element(offsets.begin(), middle);
    return std::clamp(estimate_.value_or((lower + *middle) / 2), lower, *middle);
}

FleetClock::Offset FleetClock::measuredOffset() const
{
    const Offset common = median();
    const auto own = clocks_.find(ownVm_);
    const bool confirmed = own != clocks_.end()
                           && std::chrono::abs(own->second.offset - common) <= kTolerance;
    return confirmed ? own->second.offset : common;
}

void FleetClock::update(TimePoint now)
{
    const Offset measured = measuredOffset();
    if (!estimate_)
        startedAt_ = now;
    const bool close = estimate_ && std::chrono::abs(measured - *estimate_) <= kTolerance;
    if (!close && !deviatesSince_)
        deviatesSince_ = now;
    if (!close && now - startedAt_ > kStartTime && now - *deviatesSince_ < kDeviationTime)
        return;
    estimate_ = measured;
    deviatesSince_.reset();
}

} // namespace auburn::usage
