#include "auburn/routing/outsideload.h"

#include <algorithm>

namespace auburn::routing {

using std::chrono::milliseconds;

namespace {

// Age up to which a report is the base of the estimate.
constexpr milliseconds kReportLifetime{ 400 };
constexpr double kMeanGain = 0.1;
// Bound of the ratio for a daemon that knows next to nothing of the load.
constexpr double kMaxRatio = 64;

} // namespace

void OutsideLoad::recordReport(unsigned reported, unsigned own, TimePoint now)
{
    const double gain = reportedAt_ ? kMeanGain : 1;
    meanReported_ += (reported - meanReported_) * gain;
    meanOwn_ += (own - meanOwn_) * gain;
    ratio_ = std::clamp(meanReported_ / std::max(meanOwn_, 0.1), 1.0, kMaxRatio);
    reported_ = reported;
    own_ = own;
    reportedAt_ = now;
}

double OutsideLoad::estimate(unsigned own, unsigned total, TimePoint now) const
{
    if (!reportedAt_ || now - *reportedAt_ >= kReportLifetime)
        return std::max<double>(total, own * ratio_);
    const double change = static_cast<double>(own) - own_;
    return std::max<double>(own, reported_ + change * ratio_);
}

} // namespace auburn::routing
