// StateMetrics: gauges of the daemon's configuration, members and load.
#pragma once

#include "auburn/core/metrics.h"
#include "auburn/daemon/operatorbackend.h"

#include <map>
#include <mutex>
#include <string>

namespace auburn {

class StateMetrics
{
public:
    // Adds a collector that reads the backend at each Metrics::text(). This object and the backend
    // must outlive the metrics' last use.
    StateMetrics(Metrics &metrics, const OperatorBackend &backend);
    StateMetrics(const StateMetrics &) = delete;
    StateMetrics &operator=(const StateMetrics &) = delete;

private:
    void collect();
    void collectMembers(const MemberView &view);
    void collectFailureDomains();
    void collectLoad(const MemberView &view);
    void set(const std::string &name, const std::string &help, const MetricLabels &labels,
             double value);
    void resetStaleGauges();

    Metrics &metrics_;
    const OperatorBackend &backend_;
    std::mutex mutex_;
    // Every gauge that was ever set, and whether this collection has set it. The others go to 0, so
    // that a cell or service that is gone does not keep its last value.
    std::map<Gauge *, bool> gauges_;
};

} // namespace auburn
