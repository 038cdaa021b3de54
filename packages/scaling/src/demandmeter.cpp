#include "auburn/scaling/demandmeter.h"

#include <algorithm>
#include <utility>

namespace auburn::scaling {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kReportInterval{ 1000 };
// Upper limit of the services in one report, so that it fits into a datagram of 1,200 bytes.
constexpr int kMaxServices = 20;

} // namespace

DemandMeter::DemandMeter(std::string vm, std::uint64_t incarnation)
    : vm_(std::move(vm))
    , incarnation_(incarnation)
{}

void DemandMeter::attemptStarted(const std::string &service, std::uint64_t uncachedTokens)
{
    Counts &counts = services_[service];
    ++counts.inProgress;
    ++counts.waiting;
    counts.uncachedTokens += uncachedTokens;
}

void DemandMeter::attemptProgressed(const std::string &service)
{
    Counts &counts = services_[service];
    counts.waiting -= std::min(counts.waiting, 1U);
}

void DemandMeter::attemptEnded(const std::string &service, bool progressed,
                               routing::AttemptOutcome outcome)
{
    Counts &counts = services_[service];
    counts.inProgress -= std::min(counts.inProgress, 1U);
    if (!progressed)
        counts.waiting -= std::min(counts.waiting, 1U);
    if (outcome == routing::AttemptOutcome::Rejected)
        ++counts.rejected;
}

void DemandMeter::requestRejected(const std::string &service)
{
    ++services_[service].rejected;
}

std::optional<proto::DemandReport> DemandMeter::makeReport(const routing::TrafficConfig &config,
                                                           TimePoint now)
{
    if (reportedAt_ && now - *reportedAt_ < kReportInterval)
        return std::nullopt;
    const auto interval = reportedAt_ ? std::chrono::duration_cast<milliseconds>(now - *reportedAt_)
                                      : kReportInterval;
    proto::DemandReport report;
    bool hasScaledService = false;
    for (const routing::Service &service : config.services()) {
        const auto found = services_.find(service.name);
        if (service.scaling)
            hasScaledService = true;
        if (!service.scaling || found == services_.end() || report.services_size() == kMaxServices)
            continue;
        const Counts &counts = found->second;
        proto::ServiceDemand &demand = *report.add_services();
        demand.set_service(service.name);
        demand.set_in_progress(counts.inProgress);
        demand.set_waiting(counts.waiting);
        demand.set_uncached_tokens(counts.uncachedTokens);
        demand.set_rejected(counts.rejected);
    }
    reportedAt_ = now;
    for (auto &[name, counts] : services_) {
        counts.uncachedTokens = 0;
        counts.rejected = 0;
    }
    if (!hasScaledService)
        return std::nullopt;
    report.set_vm(vm_);
    report.set_incarnation(incarnation_);
    report.set_number(++number_);
    report.set_interval_ms(static_cast<std::uint32_t>(interval.count()));
    return report;
}

} // namespace auburn::scaling
