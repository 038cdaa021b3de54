// Autoscaler performs the duty of scaling backend servers: it connects the demand table, the
// planner and the order book of one daemon.
//
// Every daemon may have one; it acts only while the permit of the duties is held. All state is
// derived from the demand reports and the list of servers, so a new holder needs nothing from its
// predecessor. A holder whose permit lapses and returns under the same token keeps its state, as
// nobody else can have acted in between.
#pragma once

#include "auburn.pb.h"
#include "auburn/core/metrics.h"
#include "auburn/duties/dutyapi.h"
#include "auburn/duties/dutypermit.h"
#include "auburn/routing/serverdirectory.h"
#include "auburn/routing/trafficconfig.h"
#include "auburn/scaling/demandtable.h"
#include "auburn/scaling/fleetplanner.h"
#include "auburn/scaling/groupstatus.h"
#include "auburn/scaling/orderbook.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace auburn::scaling {

class ScalingMetrics;

class Autoscaler
{
public:
    struct Options
    {
        // All must live longer than the autoscaler; metrics may be null.
        duties::DutyApi *api = nullptr;
        const duties::DutyPermit *permit = nullptr;
        const routing::ServerDirectory *directory = nullptr;
        const std::shared_ptr<const routing::TrafficConfig> *config = nullptr;
        Metrics *metrics = nullptr;
        FleetPlanner::Options planner;
    };

    explicit Autoscaler(Options options);
    ~Autoscaler();
    Autoscaler(const Autoscaler &) = delete;
    Autoscaler &operator=(const Autoscaler &) = delete;

    // Stores the report of a daemon, this one included.
    void recordReport(const proto::DemandReport &report, TimePoint now);
    // Plans and orders. To be called about every 200 ms; liveDaemons includes this daemon.
    void tick(unsigned liveDaemons, TimePoint now);
    // Returns both kinds in each failure domain with servers of a service, and every group with an
    // order; only meaningful while the permit is held.
    std::vector<GroupStatus> groups(TimePoint now) const;

private:
    FleetState observeFleet(unsigned liveDaemons, TimePoint now) const;
    // Forgets what an earlier holder, which may have been this daemon, planned and ordered.
    void start(std::uint64_t token);
    void pause();

    const Options options_;
    DemandTable table_;
    FleetPlanner planner_;
    OrderBook book_;
    std::unique_ptr<ScalingMetrics> metrics_;
    // This daemon held the permit at the last tick.
    bool active_ = false;
    // Token of the duties when this daemon last held them.
    std::optional<std::uint64_t> token_;
};

} // namespace auburn::scaling
