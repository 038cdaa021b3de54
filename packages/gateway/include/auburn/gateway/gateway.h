// Gateway: accepts callers' requests, sends each to a backend server and passes the answer back.
//
// All of it runs on the thread of one io_context. Decisions are made by the modules of
// packages/routing; the gateway keeps connections, deadlines and the truth about what was sent.
#pragma once

#include "auburn/core/metrics.h"
#include "auburn/gateway/headernames.h"
#include "auburn/routing/crashregistry.h"
#include "auburn/routing/placementsource.h"
#include "auburn/routing/retrybudget.h"
#include "auburn/routing/serverdirectory.h"
#include "auburn/routing/trafficconfig.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburn::gateway {

// Decisions and knowledge that the gateway shares with the rest of the daemon. All of it is used on
// the gateway's thread only.
struct RoutingState
{
    routing::ServerDirectory directory;
    routing::Placement placement;
    routing::RetryBudget retries;
    routing::CrashRegistry crashes;
    // Live daemons, this one included.
    unsigned liveDaemons = 1;
    // Null before the first configuration is known.
    std::shared_ptr<const routing::TrafficConfig> config;
};

class Gateway
{
public:
    struct Options
    {
        // IP:PORT for callers.
        std::string listenAddress;
        HeaderNames headerNames;
        RoutingState *state = nullptr;
        routing::PlacementSource *placement = nullptr;
        Metrics *metrics = nullptr;
        // Connections of callers beyond this number are closed at once.
        std::size_t maxConnections = 2000;
        // Called when much work was placed at one server, which other daemons should know before
        // they place more.
        std::function<void()> largeRequestPlaced;
        // Called when a server broke off a request, which may crash others as well.
        std::function<void()> serverDisconnected;
    };

    // Null with lastError() set if the address cannot be used.
    static std::unique_ptr<Gateway> make(boost::asio::io_context &io, Options options);
    virtual ~Gateway() = default;

    // Answers every request with "Connection: close" from now on and lets idle connections end
    // after idleTime. New connections are still accepted.
    virtual void drain(std::chrono::milliseconds idleTime) = 0;
    // Refuses new requests; for the end of a drain.
    virtual void refuseNewRequests() = 0;
    // Connections of callers; 0 at the end of a drain.
    virtual std::size_t connections() const = 0;
    // Requests without a complete answer.
    virtual std::size_t requestsInProgress() const = 0;
    // Closes idle connections to servers; to be called about once a second.
    virtual void closeExpiredConnections() = 0;
    // Closes idle connections to an address that another server may have got.
    virtual void closeIdleConnectionsTo(const std::string &address) = 0;
};

} // namespace auburn::gateway
