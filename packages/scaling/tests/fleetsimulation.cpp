#include "fleetsimulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburn::scaling {

namespace {

constexpr double kTick = 0.2;
constexpr double kBoot = 4;
constexpr double kNotice = 2.5;
constexpr double kDryTime = 10;
const char *const kService = "engines";

std::shared_ptr<const routing::TrafficConfig> makeConfig()
{
    routing::TrafficConfigData data;
    data.services.push_back(
            { .name = kService,
              .scaling = routing::ScalingPolicy{ .minPerDomain = 2, .maxPerDomain = 48 } });
    return std::make_shared<const routing::TrafficConfig>(std::move(data));
}

std::string domainName(unsigned index)
{
    return "domain-" + std::to_string(index);
}

} // namespace

FleetSimulation::FleetSimulation()
    : config_(makeConfig())
    , autoscaler_({ .api = this, .permit = this, .directory = &directory_, .config = &config_ })
{
    for (unsigned i = 0; i < kDomains; ++i)
        addServers({ .service = kService, .failureDomain = domainName(i) }, kStartServers, 0);
    updateListing();
}

TimePoint FleetSimulation::now() const
{
    return TimePoint(std::chrono::milliseconds(std::llround(seconds * 1000) + 1000000));
}

void FleetSimulation::run(double duration, const std::function<void()> &afterTick)
{
    const double end = seconds + duration;
    while (seconds + kTick / 2 < end) {
        seconds += kTick;
        updateListing();
        if (std::fmod(seconds + kTick / 2, 1.0) < kTick)
            report();
        autoscaler_.tick(kDaemons, now());
        if (afterTick)
            afterTick();
    }
}

void FleetSimulation::changeHolder()
{
    ++token_;
}

void FleetSimulation::report()
{
    ++reportNumber_;
    for (unsigned i = 0; i < reporting; ++i) {
        proto::DemandReport report;
        report.set_vm("vm-" + std::to_string(i));
        report.set_number(reportNumber_);
        report.set_interval_ms(1000);
        proto::ServiceDemand &demand = *report.add_services();
        demand.set_service(kService);
        demand.set_in_progress(requestsPerDaemon());
        autoscaler_.recordReport(report, now());
    }
}

void FleetSimulation::reclaim(const std::string &failureDomain)
{
    for (auto &[id, server] : servers_) {
        if (!server.group.spot || server.group.failureDomain != failureDomain)
            continue;
        server.drainsAt = seconds;
        server.removedAt = seconds + kNotice;
        server.reclaimed = true;
    }
    spotDryUntil_ = seconds + kDryTime;
}

bool FleetSimulation::isKept(const Server &server, const duties::ServerOrder &group) const
{
    return server.group.failureDomain == group.failureDomain && server.group.spot == group.spot
           && server.drainsAt > seconds;
}

void FleetSimulation::orderServers(const duties::ServerOrder &order, Handler handler)
{
    calls.push_back({ .at = seconds, .order = order });
    const auto kept = std::count_if(servers_.begin(), servers_.end(),
                                    [&](const auto &item) { return isKept(item.second, order); });
    const bool none = order.spot ? noSpot || seconds < spotDryUntil_ : noOnDemand;
    if (order.desired > kept && none) {
        handler(duties::CallStatus::NoneAvailable);
        return;
    }
    setServers(order);
    handler(std::exchange(loseAnswer, false) ? duties::CallStatus::Unknown
                                             : duties::CallStatus::Accepted);
}

void FleetSimulation::setServers(const duties::ServerOrder &order)
{
    unsigned kept = 0;
    for (auto &[id, server] : servers_) {
        if (!isKept(server, order) || ++kept <= order.desired)
            continue;
        server.drainsAt = seconds;
        server.removedAt = seconds + kNotice;
    }
    if (kept < order.desired)
        addServers(order, order.desired - kept, seconds + kBoot);
}

void FleetSimulation::addServers(const duties::ServerOrder &order, unsigned count, double readyAt)
{
    for (unsigned i = 0; i < count; ++i)
        servers_["server-" + std::to_string(++created_)] = { .group = order, .readyAt = readyAt };
}

void FleetSimulation::updateListing()
{
    std::erase_if(servers_, [this](const auto &item) {
        const bool gone = item.second.removedAt <= seconds;
        if (gone)
            directory_.removeImmediately(item.first, ++position_);
        return gone;
    });
    for (auto &[id, server] : servers_) {
        const bool draining = server.drainsAt <= seconds;
        if (server.readyAt > seconds || (server.listed && !draining))
            continue;
        routing::BackendServer entry{ .id = id,
                                      .service = kService,
                                      .address = "10.0.0.1:80",
                                      .failureDomain = server.group.failureDomain,
                                      .slots = kSlots,
                                      .spot = server.group.spot };
        if (draining)
            entry.state = routing::ServerState::Draining;
        if (server.reclaimed)
            entry.leavesAt.emplace();
        directory_.update(std::move(entry), ++position_);
        server.listed = true;
    }
}

unsigned FleetSimulation::ready(const std::string &failureDomain, bool spot) const
{
    const auto servers = directory_.readyServers(kService);
    return static_cast<unsigned>(
            std::count_if(servers.begin(), servers.end(), [&](const auto *server) {
                return server->spot == spot && server->failureDomain == failureDomain;
            }));
}

unsigned FleetSimulation::ready(bool spot) const
{
    unsigned count = 0;
    for (unsigned i = 0; i < kDomains; ++i)
        count += ready(domainName(i), spot);
    return count;
}

unsigned FleetSimulation::requestsPerDaemon() const
{
    return static_cast<unsigned>(load(seconds) / kDaemons);
}

unsigned FleetSimulation::serversFor(double reserve) const
{
    constexpr double kUtilisation = 0.6;
    const double servers = requestsPerDaemon() * kDaemons / (kSlots * kUtilisation);
    return static_cast<unsigned>(std::ceil(servers * reserve));
}

std::string FleetSimulation::mostSpotDomain() const
{
    std::string most = domainName(0);
    for (unsigned i = 1; i < kDomains; ++i) {
        if (ready(domainName(i), true) > ready(most, true))
            most = domainName(i);
    }
    return most;
}

} // namespace auburn::scaling
