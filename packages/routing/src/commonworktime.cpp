#include "auburn/routing/commonworktime.h"

#include "auburn/routing/speedestimator.h"
#include "durations.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>

namespace auburn::routing {

using std::chrono::milliseconds;

namespace {

// Servers that must have reported lately: the median of fewer ones would follow single servers.
constexpr std::size_t kMinServers = 6;
// Bounds of the number of newest reports whose median is followed. Fewer reports notice a change
// sooner, but are more likely to show changes of single servers.
constexpr std::size_t kMinReports = 3;
constexpr std::size_t kMaxReports = 9;
// Probability with which most of these reports may deviate by chance.
constexpr double kMaxChanceOfError = 0.01;
// A report deviates if it differs from the expected work time by this factor.
constexpr double kDeviation = 1.15;
// Weight of one report in the share of deviating ones.
constexpr double kDeviatingShareGain = 0.05;
// Time between two changes that are followed, which bounds the number of steps.
constexpr milliseconds kChangeInterval{ 20 };
// Smaller changes in one update are left to the means of the servers.
constexpr double kIgnoredChange = 0.01;
// Reports up to this age are related to the work time that was common at their time.
constexpr milliseconds kStepRetention{ 6000 };
constexpr double kMinWorkTime = 0.2;
constexpr double kMaxWorkTime = 20;

} // namespace

void CommonWorkTime::record(const void *server, double change, TimePoint now)
{
    const auto known = std::find_if(entries_.begin(), entries_.end(), [server](const Entry &entry) {
        return entry.server == server;
    });
    const bool isFull = entries_.size() == kMaxReports;
    if (known != entries_.end() || isFull) {
        const auto replaced = known != entries_.end() ? known : entries_.begin();
        countEntry(*replaced);
        entries_.erase(replaced);
    }
    entries_.push_back({ .server = server, .change = change, .at = now });
    if (!lastChange_ || now - lastChange_->at >= kChangeInterval)
        update(now);
}

// An entry is counted when it is dropped. Until then, a common change that it has shown has been
// followed and no longer counts as a deviation.
void CommonWorkTime::countEntry(const Entry &entry)
{
    const bool deviates = std::abs(std::log(entry.change)) > std::log(kDeviation);
    deviatingShare_ += ((deviates ? 1.0 : 0.0) - deviatingShare_) * kDeviatingShareGain;
}

// The probability that more than half of n reports deviate by chance is at most the number of
// subsets of (n + 1) / 2 reports times the probability that all reports of one subset do.
std::size_t CommonWorkTime::reportsForMedian() const
{
    std::size_t reports = kMinReports;
    double subsets = 3;
    double chance = deviatingShare_ * deviatingShare_;
    while (reports < kMaxReports && subsets * chance > kMaxChanceOfError) {
        reports += 2;
        subsets *= 4.0 * static_cast<double>(reports) / static_cast<double>(reports + 1);
        chance *= deviatingShare_;
    }
    return std::min(reports, entries_.size());
}

double CommonWorkTime::medianChange() const
{
    std::vector<double> changes;
    const std::size_t reports = reportsForMedian();
    changes.reserve(reports);
    for (auto entry = entries_.rbegin(); changes.size() < reports; ++entry)
        changes.push_back(entry->change);
    const auto middle = changes.begin() + static_cast<std::ptrdiff_t>(reports / 2);
    std::nth_element(changes.begin(), middle, changes.end());
    if (reports % 2 == 0)
        return std::sqrt(*middle * *std::max_element(changes.begin(), middle));
    return *middle;
}

double CommonWorkTime::workTimeAt(TimePoint measuredAt) const
{
    const auto next = std::upper_bound(
            steps_.begin() + 1, steps_.end(), measuredAt,
            [](TimePoint at, const Step &step) { return at < step.from; });
    return std::prev(next)->workTime;
}

void CommonWorkTime::update(TimePoint now)
{
    std::erase_if(entries_,
                  [&](const Entry &entry) { return now - entry.at >= kSpeedReportLifetime; });
    if (entries_.size() < kMinServers)
        return;
    const double median = medianChange();
    const double factor = std::clamp(workTime() * median, kMinWorkTime, kMaxWorkTime) / workTime();
    if (std::abs(factor - 1) < kIgnoredChange)
        return;
    const TimePoint onset = findOnset(median, now);
    lastChange_ = Change{ .onset = onset, .at = now, .slower = median > 1 };
    while (steps_.size() > 1 && now - steps_[1].from >= kStepRetention)
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
