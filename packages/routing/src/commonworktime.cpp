#include "auburn/routing/commonworktime.h"

#include "auburn/routing/speedestimator.h"
#include "durations.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace auburn::routing {

using std::chrono::milliseconds;

namespace {

// Servers that must have reported lately: the median of fewer ones would follow single servers.
constexpr std::size_t kMinServers = 6;
// Of so many servers the newest reports count, so that a change is seen as soon as half of them
// show it.
constexpr std::size_t kMaxServers = 9;
// The time constant with which the median is followed.
constexpr milliseconds kAdaptationTime{ 100 };
constexpr milliseconds kUpdateInterval{ 20 };
// Smaller changes in one update are left to the means of the servers.
constexpr double kIgnoredChange = 0.01;
constexpr double kMinWorkTime = 0.2;
constexpr double kMaxWorkTime = 20;

} // namespace

void CommonWorkTime::record(const void *server, double change, TimePoint now)
{
    std::erase_if(entries_, [&](const Entry &entry) { return entry.server == server; });
    entries_.push_back({ .server = server, .change = change, .at = now });
    if (entries_.size() > kMaxServers)
        entries_.erase(entries_.begin());
    if (!updatedAt_ || now - *updatedAt_ >= kUpdateInterval)
        update(now);
}

double CommonWorkTime::workTimeAt(TimePoint measuredAt) const
{
    auto step = steps_.rbegin();
    while (step + 1 != steps_.rend() && step->from > measuredAt)
        ++step;
    return step->workTime;
}

void CommonWorkTime::update(TimePoint now)
{
    const auto elapsed = updatedAt_
                                 ? std::min<TimePoint::duration>(now - *updatedAt_, kAdaptationTime)
                                 : kUpdateInterval;
    updatedAt_ = now;
    std::erase_if(entries_,
                  [&](const Entry &entry) { return now - entry.at >= kSpeedReportLifetime; });
    if (entries_.size() < kMinServers)
        return;
    std::vector<double> changes;
    changes.reserve(entries_.size());
    for (const Entry &entry : entries_)
        changes.push_back(entry.change);
    const auto middle = changes.begin() + static_cast<std::ptrdiff_t>(changes.size() / 2);
    std::nth_element(changes.begin(), middle, changes.end());
    double median = *middle;
    if (changes.size() % 2 == 0)
        median = std::sqrt(median * *std::max_element(changes.begin(), middle));
    const double target = std::clamp(workTime() * median, kMinWorkTime, kMaxWorkTime);
    const double factor = std::pow(target / workTime(), toMs(elapsed) / toMs(kAdaptationTime));
    if (std::abs(factor - 1) < kIgnoredChange)
        return;
    const TimePoint onset = findOnset(median, now);
    lastChange_ = Change{ .onset = onset, .at = now, .slower = median > 1 };
    while (steps_.size() > 1 && now - steps_[1].from >= kSpeedReportLifetime)
        steps_.erase(steps_.begin());
    const double before = workTimeAt(onset);
    auto position = std::find_if(steps_.begin(), steps_.end(),
                                 [onset](const Step &step) { return step.from >= onset; });
    if (position == steps_.end() || position->from != onset)
        position = steps_.insert(position, { .from = onset, .workTime = before });
    for (; position != steps_.end(); ++position)
        position->workTime *= factor;
    for (Entry &entry : entries_) {
        if (entry.at >= onset)
            entry.change /= factor;
    }
}

CommonWorkTime::TimePoint CommonWorkTime::findOnset(double median, TimePoint now) const
{
    // The reports that showed a change first may no longer be among the entries when it has been
    // followed to its end.
    const bool continues = lastChange_ && lastChange_->slower == (median > 1)
                           && now - lastChange_->at < kSpeedReportLifetime;
    TimePoint onset = continues ? lastChange_->onset : now;
    const double halfway = std::sqrt(median);
    for (const Entry &entry : entries_) {
        const bool shows = median > 1 ? entry.change >= halfway : entry.change <= halfway;
        if (shows)
            onset = std::min(onset, entry.at);
    }
    return onset;
}

} // namespace auburn::routing
