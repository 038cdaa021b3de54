// FleetSimulation is a platform with servers that start, drain and are reclaimed, and daemons that
// report their demand, on a clock that the test controls.
#pragma once

#include "auburn/scaling/autoscaler.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace auburn::scaling {

class FleetSimulation
    : private duties::DutyApi
    , private duties::DutyPermit
{
public:
    static constexpr unsigned kDaemons = 8;
    static constexpr unsigned kSlots = 16;
    static constexpr unsigned kDomains = 6;
    static constexpr unsigned kStartServers = 24;

    struct Call
    {
        double at = 0;
        duties::ServerOrder order;
    };

    FleetSimulation();

    // Runs the simulation; the function is called after each tick of 200 ms.
    void run(double seconds, const std::function<void()> &afterTick = {});
    // Makes this daemon a new holder, which does not know what the last one planned and ordered.
    void changeHolder();
    // Takes away all spot servers of the failure domain after a notice of 2.5 s. No spot server can
    // be had for 10 s.
    void reclaim(const std::string &failureDomain);

    unsigned ready(const std::string &failureDomain, bool spot) const;
    unsigned ready(bool spot) const;
    unsigned ready() const { return ready(false) + ready(true); }
    // Servers whose slots the requests in progress fill to 60%.
    unsigned busyServers() const { return serversFor(1); }
    // The same with the reserve.
    unsigned neededServers() const { return serversFor(1.5); }
    std::string mostSpotDomain() const;

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
    std::vector<Call> calls;

private:
    struct Server
    {
        duties::ServerOrder group;
        double readyAt = 0;
        double removedAt = 1e9;
        double drainsAt = 1e9;
        bool reclaimed = false;
        bool listed = false;
    };

    void orderServers(const duties::ServerOrder &order, Handler handler) override;
    void reportUsage(const duties::UsageFigure & /*figure*/, Handler /*handler*/) override {}
    bool isHeld() const override { return isHolder; }
    std::uint64_t token() const override { return token_; }

    unsigned requestsPerDaemon() const;
    unsigned serversFor(double reserve) const;
    void setServers(const duties::ServerOrder &order);
    bool isKept(const Server &server, const duties::ServerOrder &group) const;
    void addServers(const duties::ServerOrder &order, unsigned count, double readyAt);
    void updateListing();
    void report();
    TimePoint now() const;

    routing::ServerDirectory directory_;
    std::shared_ptr<const routing::TrafficConfig> config_;
    std::map<std::string, Server> servers_;
    Autoscaler autoscaler_;
    double spotDryUntil_ = 0;
    std::uint64_t token_ = 1;
    std::uint64_t position_ = 0;
    std::uint64_t reportNumber_ = 0;
    unsigned created_ = 0;
};

} // namespace auburn::scaling
