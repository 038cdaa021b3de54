#include "auburn/daemon/statemetrics.h"

#include <array>
#include <utility>

namespace auburn {

namespace {

constexpr std::array<std::pair<MemberStatus, const char *>, 5> kStatusNames{ {
        { MemberStatus::Starting, "starting" },
        { MemberStatus::Ready, "ready" },
        { MemberStatus::Draining, "draining" },
        { MemberStatus::Left, "left" },
        { MemberStatus::Dead, "dead" },
} };

// Sum of the loads of all cells of one service.
struct ServiceLoad
{
    unsigned freeSlots = 0;
    unsigned totalSlots = 0;
    std::array<unsigned, kTierCount> waitingByTier{};
};

std::map<std::string, ServiceLoad> loadByService(const MemberView &view)
{
    std::map<std::string, ServiceLoad> result;
    for (const CellLoad &cell : view.cells) {
        ServiceLoad &load = result[cell.service];
        load.freeSlots += cell.freeSlots;
        load.totalSlots += cell.totalSlots;
        for (std::size_t tier = 0; tier < cell.waitingByTier.size() && tier < kTierCount; ++tier)
            load.waitingByTier[tier] += cell.waitingByTier[tier];
    }
    return result;
}

} // namespace

StateMetrics::StateMetrics(Metrics &metrics, const OperatorBackend &backend)
    : metrics_(metrics)
    , backend_(backend)
{
    metrics.addCollector([this] { collect(); });
}

void StateMetrics::collect()
{
    const std::lock_guard lock(mutex_);
    for (auto &entry : gauges_)
        entry.second = false;
    if (const auto state = backend_.configState())
        set("auburn_config_revision", "Configuration revision in force at this daemon.", {},
            static_cast<double>(state->revision()));
    if (const auto view = backend_.memberView()) {
        collectMembers(*view);
        collectLoad(*view);
    }
    collectFailureDomains();
    resetStaleGauges();
}

void StateMetrics::collectMembers(const MemberView &view)
{
    std::map<MemberStatus, int> counts;
    for (const Member &member : view.members)
        ++counts[member.status];
    for (const auto &[status, name] : kStatusNames)
        set("auburn_members", "Daemons of this failure domain by status.", { { "status", name } },
            counts[status]);
    set("auburn_leaving_backend_servers",
        "Backend servers marked as leaving by the platform membership list.", {},
        static_cast<double>(view.leavingBackendServers.size()));
}

void StateMetrics::collectFailureDomains()
{
    for (const FailureDomainProgress &failureDomain : backend_.progress()) {
        const MetricLabels labels{ { "failure_domain", failureDomain.failureDomain } };
        set("auburn_failure_domain_reachable",
            "1 if the failure domain was heard from within the failure timeout.", labels,
            failureDomain.reachable ? 1 : 0);
        set("auburn_failure_domain_config_revision_min",
            "Lowest configuration revision in force there.", labels,
            static_cast<double>(failureDomain.minRevision));
    }
}

void StateMetrics::collectLoad(const MemberView &view)
{
    for (const auto &[service, load] : loadByService(view)) {
        const MetricLabels labels{ { "service", service } };
        set("auburn_slots", "Backend server slots of this failure domain.", labels,
            load.totalSlots);
        set("auburn_slots_free", "Free backend server slots of this failure domain.", labels,
            load.freeSlots);
        for (std::size_t tier = 0; tier < load.waitingByTier.size(); ++tier)
            set("auburn_waiting_requests", "Slot requests that wait in this failure domain.",
                { { "service", service }, { "tier", std::to_string(tier) } },
                load.waitingByTier[tier]);
    }
}

void StateMetrics::set(const std::string &name, const std::string &help, const MetricLabels &labels,
                       double value)
{
    Gauge &gauge = metrics_.gauge(name, help, labels);
    gauge.set(value);
    gauges_[&gauge] = true;
}

void StateMetrics::resetStaleGauges()
{
    for (const auto &[gauge, isSet] : gauges_) {
        if (!isSet)
            gauge->set(0);
    }
}

} // namespace auburn
