#include "auburn/routing/serverview.h"

#include "durations.h"

#include <algorithm>

namespace auburn::routing {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Half-life, smoothing factor and bounds of the measured slowness of a server.
constexpr milliseconds kSlownessHalfLife{ 4000 };
constexpr double kSlownessGain = 0.3;
constexpr double kSlownessMin = 0.5;
constexpr double kSlownessMax = 10.0;
// Shorter predictions are too uncertain to tell whether a server is slow.
constexpr double kMinPredictedMs = 10.0;
// Half-life and smoothing factor of the failure share of a server.
constexpr milliseconds kFailureHalfLife{ 3000 };
constexpr double kFailureGain = 0.25;
// Time for which a server is avoided after an attempt that failed or was rejected; doubles with
// each further such attempt in a row.
constexpr milliseconds kInitialAvoidTime{ 400 };
constexpr milliseconds kMaxAvoidTime{ 3200 };
// Age up to which the loads reported by other daemons and by the server itself are used.
constexpr milliseconds kPeerLoadLifetime{ 1500 };
constexpr milliseconds kReportLifetime{ 400 };

void subtractWaiting(PeerLoad &load, const PlacementChoice &choice)
{
    std::uint64_t &tokens = load.waitingTokens[choice.urgency];
    tokens -= std::min(tokens, choice.uncachedTokens);
    load.waiting -= std::min(load.waiting, 1U);
}

} // namespace

ServerView::ServerView(std::string service, std::uint64_t cacheTokens)
    : service_(std::move(service))
    , cache_(cacheTokens)
{}

void ServerView::attemptStarted(const PlacementChoice &choice, const PromptParts &prompt)
{
    ++ownLoad_.running;
    ++ownLoad_.waiting;
    ownLoad_.gapSensitiveStreams += choice.gapSensitiveStream ? 1 : 0;
    ownLoad_.waitingTokens[choice.urgency] += choice.uncachedTokens;
    cache_.touch(prompt);
}

void ServerView::attemptProgressed(const PlacementChoice &choice, microseconds sinceStart,
                                   TimePoint now)
{
    subtractWaiting(ownLoad_, choice);
    const double predictedMs = std::max(kMinPredictedMs, toMs(choice.predicted));
    // The prediction already includes the slowness that was known when it was made.
    const double known = slowness(now);
    const double measured = std::clamp(toMs(sinceStart) / predictedMs * known, kSlownessMin,
                                       kSlownessMax);
    slowness_ = known + (measured - known) * kSlownessGain;
    slownessAt_ = now;
}

void ServerView::attemptEnded(const PlacementChoice &choice, bool progressed,
                              AttemptOutcome outcome, TimePoint now)
{
    ownLoad_.running -= std::min(ownLoad_.running, 1U);
    if (choice.gapSensitiveStream)
        ownLoad_.gapSensitiveStreams -= std::min(ownLoad_.gapSensitiveStreams, 1U);
    if (!progressed)
        subtractWaiting(ownLoad_, choice);
    if (outcome != AttemptOutcome::Abandoned)
        recordOutcome(outcome, now);
}

void ServerView::recordOutcome(AttemptOutcome outcome, TimePoint now)
{
    const bool failed = outcome != AttemptOutcome::Succeeded;
    const double known = failureShare(now);
    failureShare_ = known + ((failed ? 1.0 : 0.0) - known) * kFailureGain;
    failureAt_ = now;
    const bool avoids = outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::Rejected;
    if (!avoids) {
        failuresInRow_ = 0;
        avoidUntil_.reset();
        return;
    }
    const unsigned doublings = std::min(failuresInRow_, 3U);
    ++failuresInRow_;
    if (outcome == AttemptOutcome::Rejected)
        speed_.recordRejection(estimatedRunning(totalLoad(now).running, now), now);
    avoidUntil_ = now + std::min(kInitialAvoidTime * (1U << doublings), kMaxAvoidTime);
    if (outcome == AttemptOutcome::Failed && failuresInRow_ >= 2)
        cache_.clear();
}

void ServerView::recordLoadReport(LoadReport report, CommonWorkTime &common, TimePoint now)
{
    report_ = report;
    reportedAt_ = now;
    if (!report.workTimePercent)
        return;
    recordSpeedReport({ .workTimePercent = *report.workTimePercent,
                        .running = report.running,
                        .slots = report.slots,
                        .measuredAt = now },
                      common);
    outside_.recordReport(report.running + report.waiting, ownLoad_.running, now);
}

void ServerView::recordSpeedReport(const SpeedEstimator::Report &report, CommonWorkTime &common)
{
    const std::optional<SpeedEstimator::Report> &previous = speed_.newestReport();
    const double commonBefore = previous ? common.workTimeAt(previous->measuredAt) : 1;
    const double expected = speed_.meanWorkTime(common) * common.workTimeAt(report.measuredAt);
    if (speed_.recordReport(report, commonBefore))
        common.record(this, SpeedEstimator::workTimeOf(report) / expected, report.measuredAt);
}

void ServerView::recordPeerLoad(const std::string &peer, const PeerLoad &load, TimePoint now)
{
    peers_.insert_or_assign(peer, PeerEntry{ .load = load, .at = now });
}

PeerLoad ServerView::totalLoad(TimePoint now) const
{
    PeerLoad total = ownLoad_;
    for (const auto &[peer, entry] : peers_) {
        if (now - entry.at <= kPeerLoadLifetime)
            addLoad(total, entry.load);
    }
    return total;
}

std::optional<LoadReport> ServerView::recentReport(TimePoint now) const
{
    if (!reportedAt_ || now - *reportedAt_ >= kReportLifetime)
        return std::nullopt;
    return report_;
}

std::optional<milliseconds> ServerView::reportAge(TimePoint now) const
{
    if (!reportedAt_)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(now - *reportedAt_);
}

double ServerView::slowness(TimePoint now) const
{
    return 1 + (slowness_ - 1) * exponentialDecay(now - slownessAt_, kSlownessHalfLife);
}

double ServerView::failureShare(TimePoint now) const
{
    return failureShare_ * exponentialDecay(now - failureAt_, kFailureHalfLife);
}

} // namespace auburn::routing
