#include "auburn/scaling/autoscaler.h"

#include "scalingmetrics.h"

#include <utility>

namespace auburn::scaling {

namespace {

// The services that may be scaled, without their servers.
std::map<std::string, ServiceState> scaledServices(const routing::TrafficConfig &config)
{
    std::map<std::string, ServiceState> services;
    for (const routing::Service &service : config.services()) {
        if (!service.scaling)
            continue;
        ServiceState &state = services[service.name];
        state.name = service.name;
        state.policy = *service.scaling;
    }
    return services;
}

void addServer(DomainServers &servers, const routing::BackendServer &server)
{
    if (server.leavesAt)
        servers.spotReclaimed |= server.spot;
    else if (server.state == routing::ServerState::Ready)
        ++(server.spot ? servers.spot : servers.onDemand);
}

} // namespace

std::map<ServerGroup, unsigned> listedServers(const FleetState &state)
{
    std::map<ServerGroup, unsigned> listed;
    for (const ServiceState &service : state.services) {
        for (const auto &[domain, servers] : service.domains) {
            listed[{ .service = service.name, .failureDomain = domain }] = servers.onDemand;
            listed[{ .service = service.name, .failureDomain = domain, .spot = true }] =
                    servers.spot;
        }
    }
    return listed;
}

Autoscaler::Autoscaler(Options options)
    : options_(options)
    , planner_(options_.planner)
    , book_({ .api = options_.api, .permit = options_.permit, .metrics = options_.metrics })
    , metrics_(std::make_unique<ScalingMetrics>(options_.metrics))
{}

Autoscaler::~Autoscaler() = default;

void Autoscaler::recordReport(const proto::DemandReport &report, TimePoint now)
{
    table_.record(report, now);
}

void Autoscaler::tick(unsigned liveDaemons, TimePoint now)
{
    table_.update(now);
    if (!options_.permit->isHeld()) {
        pause();
        return;
    }
    start(options_.permit->token());
    // Without the registry, neither new nor missing servers would be seen.
    if (!*options_.config || !options_.directory->isRegistryAvailable())
        return;
    const FleetState state = observeFleet(liveDaemons, now);
    const std::vector<PlannedOrder> orders = planner_.plan(state, now);
    book_.update(orders, now);
    metrics_->setReportingDaemons(table_.reportingDaemons());
    metrics_->setServers(state, orders);
    for (const ServiceState &service : state.services)
        metrics_->setNeeded(service.name, planner_.neededServers(service.name));
}

std::vector<GroupStatus> Autoscaler::groups(TimePoint now) const
{
    if (!*options_.config)
        return {};
    std::map<ServerGroup, GroupStatus> groups;
    // Whether the demand is known completely does not matter for what is listed.
    for (const auto &[group, servers] : listedServers(observeFleet(1, now)))
        groups[group].listed = servers;
    for (const auto &[group, order] : book_.lastOrders(now))
        groups[group].order = order;
    std::vector<GroupStatus> result;
    for (auto &[group, status] : groups) {
        status.group = group;
        result.push_back(std::move(status));
    }
    return result;
}

FleetState Autoscaler::observeFleet(unsigned liveDaemons, TimePoint now) const
{
    std::map<std::string, ServiceState> services = scaledServices(**options_.config);
    std::map<std::string, unsigned> listed;
    options_.directory->visit([&](const routing::BackendServer &server) {
        const auto found = services.find(server.service);
        if (found == services.end())
            return;
        ServiceState &service = found->second;
        addServer(service.domains[server.failureDomain], server);
        const double count = ++listed[server.service];
        service.slots += (server.slots - service.slots) / count;
    });
    FleetState state{ .demandComplete = table_.isComplete(liveDaemons),
                      .unavailable = book_.unavailable(now),
                      .unanswered = book_.unanswered(now) };
    for (auto &[name, service] : services) {
        service.load = table_.load(name);
        state.services.push_back(std::move(service));
    }
    return state;
}

void Autoscaler::start(std::uint64_t token)
{
    active_ = true;
    if (std::exchange(token_, token) == token)
        return;
    planner_.reset();
    book_.reset();
}

void Autoscaler::pause()
{
    if (std::exchange(active_, false))
        metrics_->clear();
}

} // namespace auburn::scaling
