#pragma once

#include "auburn/core/metrics.h"
#include "auburn/daemon/operatorbackend.h"

#include <map>
#include <mutex>
#include <string>

namespace auburn {

// Exports gauges for the configuration revision, the members and the slot load of a daemon.
class StateMetrics
{
public:
    // Registers a collector that reads the backend at each call of Metrics::text(). This object and
    // the backend must outlive the last use of the metrics.
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
    // Sets every gauge to 0 that the current collection has not set.
    void resetStaleGauges();

    Metrics &metrics_;
    const OperatorBackend &backend_;
    std::mutex mutex_;
    // Every gauge that was ever set, and whether the current collection has set it. Gauges that are
    // not set again are reset to 0, so that a removed cell or service does not keep its last value.
    std::map<Gauge *, bool> gauges_;
};

} // namespace auburn
