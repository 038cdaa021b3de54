// TrafficConfig holds one version of the operators' configuration of routes, services and
// organisations.
//
// A version is immutable, so requests in progress keep the version under which they were admitted.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburn::routing {

// Engines distinguish urgencies from 0 (most urgent) to this one.
constexpr int kLowestUrgency = 9;

// Determines whether a request may be retried: a Safe request any number of times; an Unsafe
// request runs at most once; the response to a Stream consists of events, and the request runs at
// most once unless its route is resumable.
enum class RequestKind { Safe, Unsafe, Stream };

std::string_view requestKindName(RequestKind kind);

// The urgencies with which one request can be queued at an engine; 0 is the most urgent.
struct Urgency
{
    int onTime = 0;
    // Used for a request that would miss its latency target anyway: less urgent than requests of
    // the same rank that can meet theirs, more urgent than all lower ranks. Equal to onTime if
    // the service has so many ranks that two levels for each rank do not fit.
    int late = 0;
};

// A service that receives a share of a route's requests.
struct WeightedService
{
    std::string service;
    unsigned weight = 1;
};

// Assigns the requests for a host and a path prefix to services and sets their limits and targets.
struct Route
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::Unsafe;
    // Time limit of a request, including the whole stream.
    std::chrono::milliseconds timeout{ 10000 };
    // Target for the time to the response, or to the first event of a stream.
    std::chrono::milliseconds latencyTarget{ 1000 };
    // Target for the longest gap between two events of a stream.
    std::chrono::milliseconds gapTarget{ 1000 };
    // 0 is the most urgent.
    int priority = 0;
    // Has at least one entry.
    std::vector<WeightedService> services;
    // Number of backend servers that may be tried for one request.
    unsigned maxAttempts = 1;
    // Requests need no API key.
    bool isPublic = false;
    bool resumable = false;
};

// Properties of a service's engines that are known before any response was observed.
struct EngineModel
{
    // Maximum number of requests in one batch.
    unsigned slots = 1;
    // Capacity in tokens, shared by running requests and cached prompt parts.
    std::uint64_t cacheTokens = 0;
    // Number of tokens in one event of a stream.
    unsigned tokensPerEvent = 1;
};

// The bounds within which the number of a service's backend servers may be changed.
struct ScalingPolicy
{
    // Numbers of servers of both kinds together, for each failure domain.
    unsigned minPerDomain = 0;
    unsigned maxPerDomain = 0;
    // Time after which a new server starts serving.
    std::chrono::milliseconds bootTime{ 4000 };
    // Price of a spot server as a fraction of the on-demand price.
    double spotPrice = 0.18;
    // Relative prices by failure domain; 1 where none is given.
    std::map<std::string, double> domainPrices;
};

// A group of interchangeable backend servers.
struct Service
{
    std::string name;
    // Set for model engines.
    std::optional<EngineModel> engine;
    // Number of connections that one server accepts from all daemons together; 0 if unknown.
    unsigned maxConnections = 0;
    // Empty if the number of servers must not be changed.
    std::optional<ScalingPolicy> scaling;
};

// Limits that apply to all connections and requests of callers.
struct TrafficLimits
{
    std::size_t headerBytes = std::size_t{ 16 } * 1024;
    std::size_t bodyBytes = std::size_t{ 4 } * 1024 * 1024;
    // Time limit from the first byte of a request to the end of its header.
    std::chrono::milliseconds headerTimeout{ 3000 };
    // Time after which a connection without a request may be closed.
    std::chrono::milliseconds idleTimeout{ 15000 };
};

// A group of callers that are identified by API keys and share a priority.
struct Organisation
{
    std::string name;
    std::vector<std::string> keys;
    // Takes precedence over the route's priority.
    std::optional<int> priority;
};

// The plain content of a version; TrafficConfig adds the indexes.
struct TrafficConfigData
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    TrafficLimits limits;
    // Without a list no request needs an API key. With an empty one no key is valid.
    std::optional<std::vector<Organisation>> organisations;
};

class TrafficConfig
{
public:
    explicit TrafficConfig(TrafficConfigData data);
    TrafficConfig(const TrafficConfig &) = delete;
    TrafficConfig &operator=(const TrafficConfig &) = delete;

    std::uint64_t version() const { return data_.version; }
    const TrafficLimits &limits() const { return data_.limits; }
    const std::vector<Service> &services() const { return data_.services; }
    const std::vector<Route> &routes() const { return data_.routes; }
    // Empty if there is no list of organisations.
    const std::vector<Organisation> &organisations() const;
    // Returns true if there is a list of organisations, even an empty one. Public routes need no
    // key in either case.
    bool requiresApiKeys() const { return data_.organisations.has_value(); }

    // Returns the route for the host with the longest matching path prefix; null if none matches. A
    // port in the host is ignored.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    const Organisation *findOrganisation(std::string_view key) const;
    const Service *findService(std::string_view name) const;
    // Returns the urgency of a request at the engines of the service. It is ranked by the priority
    // of the organisation, then by that of the route.
    Urgency urgency(const std::string &service, const Route &route,
                    const Organisation *organisation) const;

private:
    // Priority of the organisation, then that of the route; lower values are more urgent.
    using Rank = std::pair<int, int>;
    static Rank rank(const Route &route, const Organisation *organisation);

    const TrafficConfigData data_;
    // By host; longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> routesByHost_;
    std::unordered_map<std::string_view, const Organisation *> organisationsByKey_;
    std::unordered_map<std::string_view, const Service *> servicesByName_;
    // All ranks that occur at each service; most urgent first.
    std::unordered_map<std::string, std::vector<Rank>> ranks_;
};

// Returns true if an engine that prefills prompts continuously would make the gaps of a stream with
// this number of prompt tokens too long, because each prefill chunk delays the next token of every
// stream. Streams with long prompts never count as gap-sensitive: on engines of their own they
// would delay each other, and would be kept away from the engines that have their prompt cached.
bool isGapSensitive(const Route &route, const EngineModel &engine, std::uint64_t promptTokens);

// Selects one of the route's services for a request. The shares follow the weights, and the
// selection depends only on the hash.
const std::string &pickService(const Route &route, std::uint64_t requestHash);

} // namespace auburn::routing
