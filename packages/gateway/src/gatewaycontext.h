#pragma once

#include "callerconnections.h"
#include "connectionpool.h"
#include "crashguard.h"
#include "startupqueue.h"

#include "auburn/core/bootclock.h"
#include "auburn/core/memorybudget.h"
#include "auburn/gateway/gateway.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>

namespace auburn::gateway {

// GatewayContext holds the data shared by the connections and requests of one gateway.
struct GatewayContext
{
    boost::asio::io_context &io;
    Gateway::Options options;
    RoutingState &state;
    std::shared_ptr<ConnectionPool> pool;
    std::shared_ptr<MemoryBudget> memory;
    CallerConnections callers;
    std::shared_ptr<CrashGuard> crashes;
    // The time at which the gateway started.
    const BootClock::time_point startedAt = BootClock::now();
    bool draining = false;
    bool refusingNewRequests = false;
    // How long an idle caller connection stays open during a drain.
    std::chrono::milliseconds drainIdleTime{ 0 };
    std::size_t connections = 0;
    std::size_t requestsInProgress = 0;
    // Its entries own connections, which refer to the members above.
    StartupQueue startupQueue;
};

} // namespace auburn::gateway
