// FleetSimulation is a platform with servers that start, drain and are reclaimed, and daemons that
// report their demand, on a clock that the test controls.
#pragma once

#include "auburn/scaling/autoscaler.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace auburn::scaling {

class FleetSimulation
    : private duties::DutyApi
    , private duties::DutyPermit
{
public:
    static constexpr unsigned kDaemons = 8;

    FleetSimulation()
    {
        for (const std::string &domain : kDomains)
            addServers({ .service = kService, .failureDomain = domain }, kStartServers, 0);
        updateListing();
    }

    // Runs the simulation; the function is called after each tick of 200 ms.
    void run(double duration, const std::function<void()> &afterTick = {})
    {
        const double end = seconds + duration;
        while (seconds + kTick / 2 < end) {
            seconds += kTick;
            updateListing();
            if (std::fmod(seconds + kTick / 2, 1.0) < kTick)
                report();
            autoscaler_->tick(kDaemons, now());
            if (afterTick)
                afterTick();
        }
    }

    // Makes a daemon without any history the new holder.
    void changeHolder()
    {
        ++token_;
        autoscaler_ = makeAutoscaler();
    }

    // Takes away all spot servers of the failure domain that has the most of them, after a notice.
    // No spot server can be had anywhere for 10 s.
    void reclaimMostSpot()
    {
        const auto most = std::max_element(kDomains.begin(), kDomains.end(),
                                           [this](const auto &left, const auto &right) {
                                               return ready(true, left) < ready(true, right);
                                           });
        for (auto &[id, server] : servers_) {
            if (!server.group.spot || server.group.failureDomain != *most)
                continue;
            drain(server);
            server.reclaimed = true;
        }
        spotDryUntil_ = seconds + kDryTime;
    }

    // Servers that are listed as ready, of one failure domain or all.
    unsigned ready(bool spot, const std::string &domain = {}) const
    {
        const auto servers = directory_.readyServers(kService);
        return static_cast<unsigned>(
                std::count_if(servers.begin(), servers.end(), [&](const auto *server) {
                    return server->spot == spot
                           && (domain.empty() || server->failureDomain == domain);
                }));
    }
    unsigned ready() const { return ready(false) + ready(true); }
    // Servers whose slots the requests in progress fill to 60%.
    unsigned busyServers() const { return serversFor(1); }
    // The same with the reserve.
    unsigned neededServers() const { return serversFor(1.5); }

    // Requests in progress by time in seconds.
    std::function<double(double)> load = [](double) { return 300.0; };
    // Daemons that send reports.
    unsigned reporting = kDaemons;
    double seconds = 0;
    bool isHolder = true;
    // The platform has no servers of the kind.
    bool noSpot = false;
    bool noOnDemand = false;
    // The answer to the next call is lost after the call has taken effect.
    bool loseAnswer = false;
    std::vector<duties::ServerOrder> calls;

private:
    static constexpr unsigned kSlots = 16;
    static constexpr unsigned kStartServers = 24;
    static constexpr double kTick = 0.2;
    static constexpr double kBoot = 4;
    static constexpr double kNotice = 2.5;
    static constexpr double kDryTime = 10;
    static constexpr const char *kService = "engines";
    static inline const std::vector<std::string> kDomains{ "a", "b", "c", "d", "e", "f" };

    struct Server
    {
        duties::ServerOrder group;
        double readyAt = 0;
        double drainsAt = 1e9;
        bool reclaimed = false;
        bool listed = false;
    };

    static std::shared_ptr<const routing::TrafficConfig> makeConfig()
    {
        const routing::ScalingPolicy policy{ .minPerDomain = 2, .maxPerDomain = 48 };
        return std::make_shared<const routing::TrafficConfig>(routing::TrafficConfigData{
                .services = { { .name = kService, .scaling = policy } } });
    }

    std::unique_ptr<Autoscaler> makeAutoscaler()
    {
        return std::make_unique<Autoscaler>(Autoscaler::Options{
                .api = this, .permit = this, .directory = &directory_, .config = &config_ });
    }

    bool isHeld() const override { return isHolder; }
    std::uint64_t token() const override { return token_; }
    void reportUsage(const duties::UsageFigure & /*figure*/, Handler /*handler*/) override {}

    void orderServers(const duties::ServerOrder &order, Handler handler) override
    {
        calls.push_back(order);
        std::vector<Server *> kept;
        for (auto &[id, server] : servers_) {
            if (server.group.failureDomain == order.failureDomain && server.group.spot == order.spot
                && server.drainsAt > seconds)
                kept.push_back(&server);
        }
        const bool none = order.spot ? noSpot || seconds < spotDryUntil_ : noOnDemand;
        if (order.desired > kept.size() && none) {
            handler(duties::CallStatus::NoneAvailable);
            return;
        }
        for (std::size_t i = order.desired; i < kept.size(); ++i)
            drain(*kept[i]);
        for (std::size_t i = kept.size(); i < order.desired; ++i)
            addServers(order, 1, seconds + kBoot);
        handler(std::exchange(loseAnswer, false) ? duties::CallStatus::Unknown
                                                 : duties::CallStatus::Accepted);
    }

    void drain(Server &server) const { server.drainsAt = std::min(server.drainsAt, seconds); }

    void addServers(const duties::ServerOrder &order, unsigned count, double readyAt)
    {
        for (unsigned i = 0; i < count; ++i)
            servers_["s" + std::to_string(++created_)] = { .group = order, .readyAt = readyAt };
    }

    void updateListing()
    {
        std::erase_if(servers_, [this](const auto &item) {
            const bool gone = item.second.drainsAt + kNotice <= seconds;
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
                                          .failureDomain = server.group.failureDomain,
                                          .slots = kSlots,
                                          .spot = server.group.spot };
            entry.state = draining ? routing::ServerState::Draining : routing::ServerState::Ready;
            if (server.reclaimed)
                entry.leavesAt.emplace();
            directory_.update(std::move(entry), ++position_);
            server.listed = true;
        }
    }

    void report()
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
            autoscaler_->recordReport(report, now());
        }
    }

    unsigned requestsPerDaemon() const { return static_cast<unsigned>(load(seconds) / kDaemons); }

    unsigned serversFor(double reserve) const
    {
        constexpr double kUtilisation = 0.6;
        const double servers = requestsPerDaemon() * kDaemons / (kSlots * kUtilisation);
        return static_cast<unsigned>(std::ceil(servers * reserve));
    }

    TimePoint now() const
    {
        return TimePoint(std::chrono::milliseconds(std::llround(seconds * 1000) + 1000000));
    }

    routing::ServerDirectory directory_;
    std::shared_ptr<const routing::TrafficConfig> config_ = makeConfig();
    std::map<std::string, Server> servers_;
    std::unique_ptr<Autoscaler> autoscaler_ = makeAutoscaler();
    double spotDryUntil_ = 0;
    std::uint64_t token_ = 1;
    std::uint64_t position_ = 0;
    std::uint64_t reportNumber_ = 0;
    unsigned created_ = 0;
};

} // namespace auburn::scaling
