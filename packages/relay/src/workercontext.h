// WorkerContext: what the sessions of one worker thread share.
#pragma once

#include "backendserverclient.h"
#include "organisationlimiter.h"
#include "retrybudget.h"

#include "auburn/relay/callerserver.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>

namespace auburn {

// Shared by all threads.
struct RelayShared
{
    explicit RelayShared(CallerServer::Options serverOptions)
        : options(std::move(serverOptions))
        , retryBudget(options.backendServers.retryShare, options.backendServers.retryBurst)
    {}

    const CallerServer::Options options;
    OrganisationLimiter organisations;
    RetryBudget retryBudget;
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

    boost::asio::io_context io;
    BackendServerClient backendServers;
    RelayShared &shared;
};

} // namespace auburn
