// ServicePlanner plans the servers of one service; see FleetPlanner.
#pragma once

#include "composition.h"
#include "grouptrack.h"

#include "auburn/scaling/fleetplanner.h"

#include <optional>
#include <string>
#include <vector>

namespace auburn::scaling {

// What the planner of a service has to know about the holder.
struct PlanContext
{
    const FleetState &fleet;
    FleetPlanner::Options options;
    TimePoint startedAt;
    // Time for which the demand of nearly all daemons has been known.
    std::chrono::milliseconds completeFor{ 0 };
};

class ServicePlanner
{
public:
    ServicePlanner();

    std::vector<PlannedOrder> plan(const ServiceState &service, const PlanContext &context,
                                   TimePoint now);
    unsigned neededServers() const { return need_.servers; }

private:
    struct Domain
    {
        std::string name;
        double price = 1;
        GroupTrack onDemand;
        GroupTrack spot;
        // Changes that are still allowed in the current step.
        unsigned removalsLeft = 0;
        unsigned replacementsLeft = 0;

        unsigned usable() const { return onDemand.usable() + spot.usable(); }
        // What the platform may count: also orders that are late.
        unsigned wanted() const { return onDemand.wanted() + spot.wanted(); }
    };
    // The group of one kind in one failure domain.
    struct Group
    {
        Domain *domain = nullptr;
        GroupTrack Domain::*track = nullptr;
        unsigned target = 0;

        GroupTrack &get() const { return domain->*track; }
        // Servers that are missing for the target, or are beyond it.
        unsigned missing() const;
        unsigned surplus() const;
    };

    void observe(const ServiceState &service, const PlanContext &context, TimePoint now);
    void updateNeed(const ServiceState &service, const PlanContext &context, TimePoint now);
    // Returns true if the demand has been observed long enough to give servers back.
    bool mayGiveBack(const PlanContext &context, TimePoint now) const;
    // Returns all groups with the numbers that they should have.
    std::vector<Group> makeTargets();
    // Orders what is needed and neither runs nor starts.
    void orderShortage(const std::vector<Group> &groups, TimePoint now);
    // Orders one more server in the group that misses the most; false if no group can take one.
    bool orderOneMore(const std::vector<Group> &groups, OrderReason reason, bool beyondTarget,
                      TimePoint now);
    // Returns true if a server was given back.
    bool giveBackSurplus(const std::vector<Group> &groups, TimePoint now);
    // Gives back up to quota servers of one kind and returns how many were given back.
    unsigned giveBack(const std::vector<Group> &groups, GroupTrack Domain::*kind, unsigned quota,
                      TimePoint now);
    // Returns true if the servers that would remain after one of the group is given back are still
    // enough without the spot servers of any one failure domain.
    bool isLossCovered(const Group &group) const;
    // Returns true if a server was ordered that is to replace another one.
    bool orderReplacements(const std::vector<Group> &groups, TimePoint now);
    // Returns a total over all groups.
    unsigned total(unsigned (GroupTrack::*number)() const) const;
    std::vector<PlannedOrder> orders(const std::string &service) const;

    std::vector<Domain> domains_;
    SlidingMaximum recentServers_;
    SlidingMaximum recentWithoutReserve_;
    // Need with complete demand; it remains while the demand is incomplete.
    CompositionNeed completeNeed_;
    CompositionNeed need_;
    // Upper limit of the servers in all failure domains.
    unsigned limit_ = 0;
    // Mean number of slots when a server was last listed.
    double slots_ = 0;
    // Most servers that were usable before this daemon saw demand or ordered any.
    unsigned serversAtStart_ = 0;
    // This daemon has ordered servers since it became the holder.
    bool hasOrdered_ = false;
    // A request was in progress since this daemon became the holder.
    bool demandSeen_ = false;
    // Time after which an ordered server is certainly listed.
    std::chrono::milliseconds arrivalTime_{ 0 };
    std::optional<TimePoint> steppedAt_;
};

} // namespace auburn::scaling
