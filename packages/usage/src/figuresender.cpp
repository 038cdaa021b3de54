#include "figuresender.h"

#include "auburn/core/log.h"
#include "auburn/usage/usagewindow.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace auburn::usage {

using duties::CallStatus;
using std::chrono::milliseconds;

FigureSender::FigureSender(Options options, const FleetClock &clock, duties::DutyApi &api)
    : options_(options)
    , clock_(clock)
    , api_(api)
{}

void FigureSender::add(duties::UsageFigure figure, TimePoint now)
{
    const std::uint64_t window = figure.window;
    if (!isExpired(window, now))
        queue_[window] = { .figure = std::make_shared<const duties::UsageFigure>(
                                   std::move(figure)) };
}

void FigureSender::tick(TimePoint now)
{
    now_ = now;
    if (isCalling_)
        return;
    dropExpired(now);
    if (!queue_.empty() && retry_.isOver(now))
        sendNext();
}

void FigureSender::clear()
{
    queue_.clear();
    retry_.reset();
}

ReportStatus FigureSender::status(TimePoint now) const
{
    ReportStatus status{ .newest = newestReported_, .waitingWindows = queue_.size() };
    if (status.newest)
        status.newest->age = clock_.unixTime(now)
                             - windowEnd(status.newest->window, options_.windowLength);
    for (const auto &[window, queued] : queue_)
        status.waitingFailures += queued.failures;
    return status;
}

bool FigureSender::isExpired(std::uint64_t window, TimePoint now) const
{
    return clock_.unixTime(now) - windowEnd(window, options_.windowLength) > kReportLimit;
}

void FigureSender::dropExpired(TimePoint now)
{
    while (!queue_.empty() && isExpired(queue_.begin()->first, now)) {
        logEvent(LogLevel::Error, "usage_window_unreported",
                 { { "window", static_cast<long long>(queue_.begin()->first) },
                   { "reason", "the platform accepted no call in time" } });
        queue_.erase(queue_.begin());
    }
}

void FigureSender::sendNext()
{
    isCalling_ = true;
    const auto next = std::min_element(queue_.begin(), queue_.end(),
                                       [](const auto &first, const auto &second) {
                                           return first.second.failures < second.second.failures;
                                       });
    // The handler removes the figure from the queue.
    const std::shared_ptr<const duties::UsageFigure> figure = next->second.figure;
    api_.reportUsage(*figure, [this, window = figure->window,
                               alive = std::weak_ptr<int>(alive_)](CallStatus status) {
        if (!alive.expired())
            callEnded(window, status);
    });
}

void FigureSender::callEnded(std::uint64_t window, CallStatus status)
{
    isCalling_ = false;
    if (options_.metrics)
        options_.metrics
                ->counter("auburn_usage_calls_total", "Usage reports to the platform by outcome",
                          { { "outcome", std::string(duties::callStatusName(status)) } })
                .add();
    const auto queued = queue_.find(window);
    unsigned failures = queued == queue_.end() ? 0 : queued->second.failures;
    if (status == CallStatus::Accepted) {
        recordReported(window, failures);
        queue_.erase(window);
        retry_.reset();
        tick(now_);
        return;
    }
    ++failures;
    if (queued != queue_.end())
        queued->second.failures = failures;
    retry_.recordFailure(now_);
    logEvent(LogLevel::Warning, "usage_call_failed",
             { { "window", static_cast<long long>(window) },
               { "result", duties::callStatusName(status) },
               { "failures", static_cast<long long>(failures) } });
}

void FigureSender::recordReported(std::uint64_t window, unsigned failures)
{
    const milliseconds end = windowEnd(window, options_.windowLength);
    if (!newestReported_ || window >= newestReported_->window)
        newestReported_ = ReportedWindow{ .window = window, .failures = failures };
    logEvent(LogLevel::Info, "usage_window_reported",
             { { "window", static_cast<long long>(window) },
               { "age_ms", static_cast<long long>((clock_.unixTime(now_) - end).count()) },
               { "failures", static_cast<long long>(failures) } });
    if (!options_.metrics)
        return;
    options_.metrics
            ->counter("auburn_usage_windows_reported_total",
                      "Usage reports that the platform accepted, repetitions included")
            .add();
    const std::chrono::duration<double> newest = windowEnd(newestReported_->window,
                                                           options_.windowLength);
    options_.metrics
            ->gauge("auburn_usage_newest_reported_seconds",
                    "End of the newest usage window that this daemon reported, since the epoch")
            .set(newest.count());
}

} // namespace auburn::usage
