// ScalingMetrics shows what the holder of the duties knows and wants: the numbers of servers by
// service, failure domain and kind.
#pragma once

#include "auburn/core/metrics.h"
#include "auburn/scaling/fleetstate.h"

#include <set>
#include <string>
#include <vector>

namespace auburn::scaling {

class ScalingMetrics
{
public:
    // The metrics may be null.
    explicit ScalingMetrics(Metrics *metrics)
        : metrics_(metrics)
    {}

    void setReportingDaemons(unsigned daemons);
    void setNeeded(const std::string &service, unsigned servers);
    // Sets the listed and the wanted servers of each group. Without an order, what is listed is
    // wanted.
    void setServers(const FleetState &state, const std::vector<PlannedOrder> &orders);
    // Sets all gauges to 0, because another daemon decides from now on.
    void clear();

private:
    void set(const char *name, const char *help, const MetricLabels &labels, unsigned servers);
    void setGroup(const ServerGroup &group, unsigned listed, unsigned wanted);

    Metrics *metrics_;
    std::set<Gauge *> gauges_;
    // The groups that were shown.
    std::set<ServerGroup> groups_;
};

} // namespace auburn::scaling
