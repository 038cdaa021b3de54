// WorkerContext: what the sessions of one worker thread share.
#pragma once

#include "backendserverclient.h"
#include "idleconnections.h"
#include "organisationlimiter.h"
#include "retrybudget.h"

#include "auburn/core/loadshedding.h"
#include "auburn/core/memorybudget.h"
#include "auburn/relay/callerserver.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace auburn {

// Shared by all threads.
struct RelayShared
{
    explicit RelayShared(CallerServer::Options serverOptions)
        : options(std::move(serverOptions))
        , retryBudget(options.backendServers.retryShare, options.backendServers.retryBurst)
        , memory(std::make_shared<MemoryBudget>(options.limits.memoryBytes))
        , shedding(memory, options.limits.connections, options.metrics)
    {}

    const CallerServer::Options options;
    OrganisationLimiter organisations;
    RetryBudget retryBudget;
    // What all connections and requests hold together.
    const std::shared_ptr<MemoryBudget> memory;
    const SheddingPolicy shedding;
    std::atomic<std::size_t> inFlight{ 0 };
    std::atomic<std::size_t> connections{ 0 };
    std::atomic<bool> draining{ false };
};

// Counts one request as in flight for its lifetime.
class InFlightCount
{
public:
    explicit InFlightCount(std::atomic<std::size_t> &counter)
        : counter_(counter)
    {
        ++counter_;
    }
    InFlightCount(const InFlightCount &) = delete;
    InFlightCount &operator=(const InFlightCount &) = delete;
    ~InFlightCount() { --counter_; }

private:
    std::atomic<std::size_t> &counter_;
};

struct WorkerContext
{
    explicit WorkerContext(RelayShared &relayShared)
        : io(1)
        , backendServers(io, relayShared.options.backendServers)
        , shared(relayShared)
    {}

    // Before the context, whose handlers own the connections.
    IdleConnections idle;
    boost::asio::io_context io;
    BackendServerClient backendServers;
    RelayShared &shared;
};

} // namespace auburn
