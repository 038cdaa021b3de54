// FleetState is the input of FleetPlanner: what the services are asked to do and which servers are
// listed. PlannedOrder is its output.
#pragma once

#include "auburn/duties/dutyapi.h"
#include "auburn/routing/trafficconfig.h"
#include "auburn/scaling/slidingmaximum.h"

#include <compare>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::scaling {

// The servers of one kind of one service in one failure domain: the subject of one order.
struct ServerGroup
{
    std::string service;
    std::string failureDomain;
    bool spot = false;

    std::strong_ordering operator<=>(const ServerGroup &) const = default;
};

// Highest load of one service within the observation time; see DemandTable.
struct ServiceLoad
{
    // Requests in progress at servers, and what those rejected for lack of capacity would add.
    double inProgress = 0;
    // Prompt tokens that servers have to prefill in a second.
    double tokensPerSecond = 0;
};

// Servers that are listed as ready and not about to leave.
struct DomainServers
{
    unsigned onDemand = 0;
    unsigned spot = 0;
    // The platform is taking spot servers away, so no new ones can be had at the moment.
    bool spotReclaimed = false;
};

struct ServiceState
{
    std::string name;
    routing::ScalingPolicy policy;
    ServiceLoad load;
    // Mean number of slots of a server; 0 if unknown.
    double slots = 0;
    std::map<std::string, DomainServers> domains;
};

struct FleetState
{
    std::vector<ServiceState> services;
    // Nearly all live daemons have reported their demand recently.
    bool demandComplete = false;
    // Groups of which the platform had no more servers a moment ago.
    std::set<ServerGroup> unavailable;
    // Groups with an order that has waited long for its answer.
    std::set<ServerGroup> unanswered;
};

// Returns the listed servers of each group.
std::map<ServerGroup, unsigned> listedServers(const FleetState &state);

enum class OrderReason {
    // Fewer servers run, or are starting, than are needed.
    Shortage,
    // Servers of a cheaper kind or in another failure domain are to replace running ones.
    Replacement,
    // More servers run than are needed, or their replacements are ready.
    Surplus,
};

std::string_view orderReasonName(OrderReason reason);

struct PlannedOrder
{
    duties::ServerOrder order;
    TimePoint decidedAt;
    OrderReason reason = OrderReason::Shortage;
    // For log lines: servers of the group that run, and servers that the service needs.
    unsigned running = 0;
    unsigned needed = 0;
};

} // namespace auburn::scaling
