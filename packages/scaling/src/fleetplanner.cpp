#include "auburn/scaling/fleetplanner.h"

#include "serviceplanner.h"

#include <iterator>
#include <utility>

namespace auburn::scaling {

using std::chrono::milliseconds;

namespace {

// Within this time, every daemon has learned of a new holder and reported to it. Until then an
// order could cancel servers that the previous holder ordered and that are not listed yet.
constexpr milliseconds kFirstReportsTime{ 1500 };
// Plans follow each other several times a second; after a longer gap the daemon was suspended, did
// not hold the duties or did not know the servers.
constexpr milliseconds kMaxPlanGap{ 3000 };

} // namespace

std::string_view orderReasonName(OrderReason reason)
{
    switch (reason) {
    case OrderReason::Shortage:
        return "shortage";
    case OrderReason::Replacement:
        return "replacement";
    case OrderReason::Surplus:
        return "surplus";
    }
    return "unknown";
}

FleetPlanner::FleetPlanner(Options options)
    : options_(options)
{}

FleetPlanner::~FleetPlanner() = default;

std::vector<PlannedOrder> FleetPlanner::plan(const FleetState &state, TimePoint now)
{
    if (!startedAt_)
        startedAt_ = now;
    // What was observed before a gap says nothing about the demand now.
    if (plannedAt_ && now - *plannedAt_ > kMaxPlanGap)
        completeSince_.reset();
    plannedAt_ = now;
    if (!state.demandComplete)
        completeSince_.reset();
    else if (!completeSince_)
        completeSince_ = now;
    const PlanContext context{
        .fleet = state,
        .options = options_,
        .startedAt = *startedAt_,
        .completeFor = completeSince_
                               ? std::chrono::duration_cast<milliseconds>(now - *completeSince_)
                               : milliseconds(0),
    };
    if (now - *startedAt_ < kFirstReportsTime)
        return {};
    std::vector<PlannedOrder> orders;
    for (const ServiceState &service : state.services) {
        std::unique_ptr<ServicePlanner> &planner = services_[service.name];
        if (!planner)
            planner = std::make_unique<ServicePlanner>();
        std::vector<PlannedOrder> part = planner->plan(service, context, now);
        orders.insert(orders.end(), std::make_move_iterator(part.begin()),
                      std::make_move_iterator(part.end()));
    }
    return orders;
}

unsigned FleetPlanner::neededServers(const std::string &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second->neededServers();
}

void FleetPlanner::reset()
{
    services_.clear();
    startedAt_.reset();
    plannedAt_.reset();
    completeSince_.reset();
}

} // namespace auburn::scaling
