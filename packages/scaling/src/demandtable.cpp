#include "auburn/scaling/demandtable.h"

#include <algorithm>

namespace auburn::scaling {

using std::chrono::milliseconds;

namespace {

// Daemons report once a second; two reports in a row may be lost.
constexpr milliseconds kReportLifetime{ 3000 };
constexpr milliseconds kPeakWindow{ 15000 };
// Share of the live daemons whose reports make the sums complete. What the rest may add stays far
// below the reserve of the planner.
constexpr double kCompleteShare = 0.9;
// Time for which a rejected request would have occupied a slot. Estimate between the 40 ms of a
// plain request and the several seconds of a stream.
constexpr double kRejectedSeconds = 1.0;
constexpr std::uint32_t kMinIntervalMs = 100;
// Bounds of the services with an observed load, and of the parts of a report with 20 services each;
// reports come from the network.
constexpr std::size_t kMaxServices = 1000;
constexpr std::uint32_t kMaxParts = 50;

// Returns what the daemon's part adds to the load of the service.
ServiceLoad loadOf(const proto::ServiceDemand &demand, std::uint32_t intervalMs)
{
    const double seconds = std::max(intervalMs, kMinIntervalMs) / 1000.0;
    return { .inProgress = demand.in_progress() + demand.rejected() / seconds * kRejectedSeconds,
             .tokensPerSecond = static_cast<double>(demand.uncached_tokens()) / seconds };
}

} // namespace

void DemandTable::record(const proto::DemandReport &report, TimePoint now)
{
    if (report.part() >= kMaxParts)
        return;
    Entry &entry = reports_[{ report.vm(), report.part() }];
    const bool sameProcess = entry.report.incarnation() == report.incarnation();
    if (sameProcess && report.number() <= entry.report.number())
        return;
    entry = { .report = report, .at = now };
}

void DemandTable::update(TimePoint now)
{
    std::erase_if(reports_,
                  [now](const auto &item) { return item.second.at + kReportLifetime < now; });
    std::map<std::string, ServiceLoad> sums;
    reportingDaemons_ = 0;
    for (const auto &[id, entry] : reports_) {
        reportingDaemons_ += id.second == 0 ? 1 : 0;
        for (const proto::ServiceDemand &demand : entry.report.services()) {
            const ServiceLoad part = loadOf(demand, entry.report.interval_ms());
            ServiceLoad &sum = sums[demand.service()];
            sum.inProgress += part.inProgress;
            sum.tokensPerSecond += part.tokensPerSecond;
        }
    }
    for (const auto &[service, sum] : sums) {
        if (!peaks_.contains(service) && peaks_.size() < kMaxServices)
            peaks_.emplace(service, Peak{ .inProgress = SlidingMaximum(kPeakWindow),
                                          .tokensPerSecond = SlidingMaximum(kPeakWindow) });
    }
    for (auto &[service, peak] : peaks_) {
        const ServiceLoad sum = sums[service];
        peak.inProgress.add(sum.inProgress, now);
        peak.tokensPerSecond.add(sum.tokensPerSecond, now);
    }
}

ServiceLoad DemandTable::load(const std::string &service) const
{
    const auto found = peaks_.find(service);
    if (found == peaks_.end())
        return {};
    return { .inProgress = found->second.inProgress.value(),
             .tokensPerSecond = found->second.tokensPerSecond.value() };
}

bool DemandTable::isComplete(unsigned liveDaemons) const
{
    return reportingDaemons() > 0 && reportingDaemons() >= kCompleteShare * liveDaemons;
}

} // namespace auburn::scaling
