#include "auburn/scaling/demandmeter.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace auburn::scaling {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kReportInterval{ 1000 };
// Upper limit of the services in one report, so that it fits into a datagram of 1,200 bytes.
constexpr std::size_t kMaxServices = 20;

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

std::vector<proto::DemandReport> DemandMeter::makeReports(const routing::TrafficConfig &config,
                                                          TimePoint now)
{
    if (reportedAt_ && now - *reportedAt_ < kReportInterval)
        return {};
    const auto interval = reportedAt_ ? std::chrono::duration_cast<milliseconds>(now - *reportedAt_)
                                      : kReportInterval;
    reportedAt_ = now;
    proto::DemandReport header;
    header.set_vm(vm_);
    header.set_incarnation(incarnation_);
    header.set_number(++number_);
    header.set_interval_ms(static_cast<std::uint32_t>(interval.count()));
    std::vector<proto::DemandReport> reports;
    std::size_t position = 0;
    for (const routing::Service &service : config.services()) {
        if (!service.scaling)
            continue;
        // A service is always in the same part, with or without demand: a part that is lost must
        // not leave an earlier one that holds the same service. Parts without any demand are sent
        // as well, because the holder counts reporting daemons.
        if (position++ % kMaxServices == 0) {
            reports.push_back(header);
            reports.back().set_part(static_cast<std::uint32_t>(reports.size() - 1));
        }
        const auto found = services_.find(service.name);
        if (found != services_.end())
            *reports.back().add_services() = toDemand(service.name, found->second);
    }
    for (auto &[name, counts] : services_) {
        counts.uncachedTokens = 0;
        counts.rejected = 0;
    }
    return reports;
}

proto::ServiceDemand DemandMeter::toDemand(const std::string &service, const Counts &counts)
{
    proto::ServiceDemand demand;
    demand.set_service(service);
    demand.set_in_progress(counts.inProgress);
    demand.set_waiting(counts.waiting);
    demand.set_uncached_tokens(counts.uncachedTokens);
    demand.set_rejected(counts.rejected);
    return demand;
}

} // namespace auburn::scaling
