#include "scalingmetrics.h"

#include <map>

namespace auburn::scaling {

void ScalingMetrics::set(const char *name, const char *help, const MetricLabels &labels,
                         unsigned servers)
{
    if (!metrics_)
        return;
    Gauge &gauge = metrics_->gauge(name, help, labels);
    gauge.set(servers);
    gauges_.insert(&gauge);
}

void ScalingMetrics::setReportingDaemons(unsigned daemons)
{
    set("auburn_scaling_reporting_daemons", "Daemons with a recent demand report at the holder", {},
        daemons);
}

void ScalingMetrics::setNeeded(const std::string &service, unsigned servers)
{
    set("auburn_scaling_needed_servers", "Servers that the service needs, with its reserve",
        { { "service", service } }, servers);
}

void ScalingMetrics::setServers(const FleetState &state, const std::vector<PlannedOrder> &orders)
{
    std::map<ServerGroup, unsigned> ordered;
    for (const PlannedOrder &planned : orders) {
        const duties::ServerOrder &order = planned.order;
        ordered[{ .service = order.service,
                  .failureDomain = order.failureDomain,
                  .spot = order.spot }] = order.desired;
    }
    std::map<ServerGroup, unsigned> listed = listedServers(state);
    // Groups whose last server has gone are shown with 0.
    for (const auto &[group, servers] : listed)
        groups_.insert(group);
    for (const auto &[group, desired] : ordered)
        groups_.insert(group);
    for (const ServerGroup &group : groups_) {
        const auto order = ordered.find(group);
        setGroup(group, listed[group], order == ordered.end() ? listed[group] : order->second);
    }
}

void ScalingMetrics::setGroup(const ServerGroup &group, unsigned listed, unsigned wanted)
{
    const MetricLabels labels{ { "service", group.service },
                               { "failure_domain", group.failureDomain },
                               { "kind", group.spot ? "spot" : "on_demand" } };
    set("auburn_scaling_listed_servers", "Servers that are listed as ready and not leaving", labels,
        listed);
    set("auburn_scaling_wanted_servers", "Servers that are ordered, or run without an order",
        labels, wanted);
}

void ScalingMetrics::clear()
{
    for (Gauge *gauge : gauges_)
        gauge->set(0);
}

} // namespace auburn::scaling
