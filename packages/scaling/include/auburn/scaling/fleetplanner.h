// FleetPlanner derives the wanted numbers of servers from the demand and the servers that are
// listed.
//
// The need of a service is what its load takes at a moderate utilisation, plus a reserve: a burst
// has to be absorbed until new servers have started, and the platform may take away all spot
// servers of a failure domain at once. Servers are added at once and given back slowly, because
// callers wait when there are too few, and every server that goes takes its prefix cache with it.
//
// A new holder of the duties knows neither the demand nor what its predecessor ordered, so it gives
// nothing back until it has observed the demand of nearly all daemons for some time.
//
// The planner has no timers and no network; it remembers what it ordered and the need of the last
// seconds.
#pragma once

#include "auburn/scaling/fleetstate.h"
#include "auburn/scaling/slidingmaximum.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburn::scaling {

class ServicePlanner;

class FleetPlanner
{
public:
    struct Options
    {
        // Share of the needed servers that may be spot servers.
        double spotShare = 0.75;
        // Upper limit of the servers of each service, of both kinds in all failure domains; empty
        // if only the limits of the policy apply.
        std::optional<unsigned> maxServers;
    };

    explicit FleetPlanner(Options options);
    ~FleetPlanner();
    FleetPlanner(const FleetPlanner &) = delete;
    FleetPlanner &operator=(const FleetPlanner &) = delete;

    // Returns the numbers of all groups of servers that differ from what runs, or were ordered only
    // recently. To be called several times a second while this daemon holds the duties; times must
    // not decrease.
    std::vector<PlannedOrder> plan(const FleetState &state, TimePoint now);
    // Returns the servers that the service needs, as of the last plan; 0 if it is unknown.
    unsigned neededServers(const std::string &service) const;
    // Forgets everything; called when this daemon holds the duties under a new token.
    void reset();

private:
    const Options options_;
    std::map<std::string, std::unique_ptr<ServicePlanner>> services_;
    // Time of the first plan since the daemon became the holder.
    std::optional<TimePoint> startedAt_;
    // Time of the last plan.
    std::optional<TimePoint> plannedAt_;
    // Time since which the demand has been complete.
    std::optional<TimePoint> completeSince_;
};

} // namespace auburn::scaling
