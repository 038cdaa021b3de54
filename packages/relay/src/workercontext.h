// WorkerContext: what the sessions of one worker thread share.
#pragma once

#include "organisationlimiter.h"
#include "retrybudget.h"
#include "runnerclient.h"

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
        , retryBudget(options.runners.retryShare, options.runners.retryBurst)
    {}

    const CallerServer::Options options;
    OrganisationLimiter organisations;
    RetryBudget retryBudget;
    std::atomic<std::size_t> inFlight{ 0 };
    std::atomic<std::size_t> connections{ 0 };
    std::atomic<bool> draining{ false };
};

struct WorkerContext
{
    explicit WorkerContext(RelayShared &relayShared)
        : io(1)
        , runners(io, relayShared.options.runners)
        , shared(relayShared)
    {}

    boost::asio::io_context io;
    RunnerClient runners;
    RelayShared &shared;
};

} // namespace auburn
