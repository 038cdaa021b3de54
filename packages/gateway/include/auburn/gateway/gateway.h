#pragma once

#include "auburn/core/metrics.h"
#include "auburn/gateway/headernames.h"
#include "auburn/routing/crashregistry.h"
#include "auburn/routing/placementsource.h"
#include "auburn/routing/retrybudget.h"
#include "auburn/routing/serverdirectory.h"
#include "auburn/routing/serverlimits.h"
#include "auburn/routing/streamorigins.h"
#include "auburn/routing/trafficconfig.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburn::gateway {

// RoutingState holds the routing data that the gateway shares with the rest of the daemon. It may
// only be accessed on the gateway's thread.
struct RoutingState
{
    routing::ServerDirectory directory;
    routing::Placement placement;
    routing::RetryBudget retries;
    // The limits on requests that backend servers have named.
    routing::ServerLimits limits = {};
    // Crashes blamed on equal requests, and on parts of prompts.
    routing::CrashRegistry crashes{ routing::kEqualRequestCrashOptions };
    routing::CrashRegistry promptCrashes{ routing::kPromptPartCrashOptions };
    // Number of live daemons, including this one.
    unsigned liveDaemons = 1;
    // Null until the first configuration is available.
    std::shared_ptr<const routing::TrafficConfig> config;

    // Returns false until the first configuration and the first backend server are known.
    bool canRoute() const { return config && directory.size() > 0; }
};

// Gateway is a reverse proxy: it accepts the requests of callers, forwards each to a backend server
// and returns the response.
//
// It runs entirely on the thread of one io_context. Routing decisions are made by packages/routing;
// the gateway owns the connections and deadlines and records whether a request may have reached a
// backend server.
class Gateway
{
public:
    struct Options
    {
        // The IP:PORT on which callers connect.
        std::string listenAddress;
        HeaderNames headerNames;
        RoutingState *state = nullptr;
        routing::PlacementSource *placement = nullptr;
        // Null if servers of all software versions may resume each other's streams.
        routing::StreamOrigins *streamOrigins = nullptr;
        Metrics *metrics = nullptr;
        // Caller connections beyond this number are closed immediately.
        std::size_t maxConnections = 2000;
        // Limit of the bytes that all connections hold together. Requests beyond it are rejected
        // with status 503, and responses beyond it fail.
        std::size_t memoryLimit = std::size_t{ 128 } * 1024 * 1024;
        // Called when a request with a large prompt was placed on a backend server, so that other
        // daemons learn of the load before they place more there.
        std::function<void()> largeRequestPlaced;
        // Called when a backend server closed the connection in the middle of a request. The
        // request may crash other servers as well.
        std::function<void()> serverDisconnected;
        // Called when a request succeeded that this daemon would have rejected until now because of
        // crashes, so that the other daemons no longer reject it either.
        std::function<void()> requestUnblocked;
        // Called once for each request of an organisation that a backend server began to run, or
        // may have begun to run, with the time that has passed since: for a stream, at its first
        // event; for another request, when its response arrives or its attempt ends without one,
        // with the time since the attempt was sent.
        std::function<void(const std::string &organisation, std::chrono::milliseconds ago)>
                requestBegan;
    };

    // Starts listening. Returns null and sets lastError() if the options are incomplete or the
    // address cannot be used.
    static std::unique_ptr<Gateway> make(boost::asio::io_context &io, Options options);
    virtual ~Gateway() = default;

    // Adds "Connection: close" to every response from now on and closes idle connections after
    // idleTime. New connections are still accepted.
    virtual void drain(std::chrono::milliseconds idleTime) = 0;
    // To be called after the configuration or the directory of backend servers has changed.
    // Requests that arrived before this daemon could route are then routed.
    virtual void routingStateChanged() = 0;
    // Rejects new requests with status 503. Called in the last phase of a drain.
    virtual void refuseNewRequests() = 0;
    // Ends all requests in progress: with status 503 if the request certainly did not run,
    // otherwise with 502, or by breaking off the stream. Called at the end of a drain, shortly
    // before the process ends.
    virtual void endRequests() = 0;
    // Number of open caller connections; 0 once a drain is complete.
    virtual std::size_t connections() const = 0;
    // Number of requests whose response is not complete.
    virtual std::size_t requestsInProgress() const = 0;
    // Number of bytes that all connections hold, at most Options::memoryLimit.
    virtual std::size_t heldBytes() const = 0;
    // Closes connections to backend servers that have been idle for too long. Must be called about
    // once a second.
    virtual void closeExpiredConnections() = 0;
    // To be called after the directory has got a new backend server at the address, or one that was
    // restarted. Closes the idle connections to the address, which may be those of another server,
    // and counts the crashes of predecessors that only this shows.
    virtual void serverStarted(const std::string &address) = 0;
};

} // namespace auburn::gateway
