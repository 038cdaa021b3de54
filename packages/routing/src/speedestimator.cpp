#include "auburn/routing/speedestimator.h"

#include "durations.h"

#include <algorithm>
#include <cmath>

namespace auburn::routing {

using std::chrono::milliseconds;

namespace {

// Half-lives of a past report in the mean. A server that is wrongly taken for fast soon shows by
// its responses that it is not, but one that is wrongly taken for slow gets few requests that could
// show it: the mean rises slowly, so that a short disturbance hardly counts, and falls fast.
constexpr milliseconds kRisingHalfLife{ 1500 };
constexpr milliseconds kFallingHalfLife{ 200 };
// Time without reports after which the mean counts half.
constexpr milliseconds kForgetTime{ 6000 };
// A server with a higher mean work time is probed after this time without a report.
constexpr double kSlowWorkTime = 1.5;
constexpr milliseconds kProbeInterval{ 1000 };
// Bounds of the reported work time; outside, differences no longer change a decision.
constexpr double kMinWorkTime = 0.2;
constexpr double kMaxWorkTime = 20;
// Time in which the limit after a rejection doubles.
constexpr milliseconds kRejectionRecovery{ 2000 };

} // namespace

double SpeedEstimator::workTimeOf(const Report &report)
{
    return std::clamp(report.workTimePercent / 100.0, kMinWorkTime, kMaxWorkTime);
}

bool SpeedEstimator::recordReport(const Report &report, double commonWorkTime)
{
    if (newest_ && report.measuredAt < newest_->measuredAt)
        return false;
    if (newest_)
        mean_ = meanWith(workTimeOf(*newest_) / commonWorkTime);
    // A report counts for the time since the previous one, up to the time for which it can stand.
    const auto covered = newest_ ? std::min<TimePoint::duration>(
                                 report.measuredAt - newest_->measuredAt, kSpeedReportLifetime)
                                 : kSpeedReportLifetime;
    risingGain_ = 1 - exponentialDecay(covered, kRisingHalfLife);
    fallingGain_ = 1 - exponentialDecay(covered, kFallingHalfLife);
    const double measured = workTimeOf(report);
    curve_.record(report.running, report.slots, measured, report.measuredAt);
    newest_ = report;
    newest_->workTimePercent = static_cast<unsigned>(std::lround(measured * 100));
    return true;
}

void SpeedEstimator::recordRejection(double running, TimePoint now)
{
    rejectionLimit_ = std::max(1.0, running);
    rejectedAt_ = now;
}

double SpeedEstimator::meanWith(double newest) const
{
    return mean_ + (newest - mean_) * (newest > mean_ ? risingGain_ : fallingGain_);
}

double SpeedEstimator::newestWorkTime(const CommonWorkTime &common) const
{
    return workTimeOf(*newest_) / common.workTimeAt(newest_->measuredAt);
}

double SpeedEstimator::meanWorkTime(const CommonWorkTime &common) const
{
    return newest_ ? meanWith(newestWorkTime(common)) : 1;
}

bool SpeedEstimator::needsProbe(TimePoint now, const CommonWorkTime &common) const
{
    return newest_ && now - newest_->measuredAt > kProbeInterval
           && meanWorkTime(common) > kSlowWorkTime;
}

double SpeedEstimator::workTime(TimePoint now, const CommonWorkTime &common) const
{
    if (!newest_)
        return 1;
    const double newest = newestWorkTime(common);
    const double ageMs = std::max(0.0, toMs(now - newest_->measuredAt));
    const double mean = 1 + (meanWith(newest) - 1) / (1 + ageMs / toMs(kForgetTime));
    const double weight = std::max(0.0, 1 - ageMs / toMs(kSpeedReportLifetime));
    return mean + (newest - mean) * weight;
}

double SpeedEstimator::usefulConcurrency(unsigned slots, TimePoint now) const
{
    const double learned = slots * curve_.usefulShare();
    if (!rejectedAt_)
        return std::max(1.0, learned);
    const double recovered = rejectionLimit_
                             / exponentialDecay(now - *rejectedAt_, kRejectionRecovery);
    return std::max(1.0, std::min(learned, recovered));
}

} // namespace auburn::routing
