// TrafficConfig: one version of the operators' configuration of routes, services and organisations.
//
// A version is immutable once it is built, so requests in progress keep the version under which
// they were admitted.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburn::routing {

// Engines distinguish urgencies from 0 to this one.
constexpr int kLowestUrgency = 9;

// What may be repeated: a Safe request any number of times; an Unsafe request runs at most once;
// a Stream answers with events and counts as unsafe unless its route allows resumption.
enum class RequestKind { Safe, Unsafe, Stream };

std::string_view requestKindName(RequestKind kind);

// Urgencies of one request at an engine, 0 first.
struct Urgency
{
    int onTime = 0;
    // For a request that would be late anyway: after those of the same rank that can be on time,
    // and before all of lower ranks. The same as onTime if the ranks leave no level for it.
    int late = 0;
};

struct WeightedService
{
    std::string service;
    unsigned weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::Unsafe;
    // Longest time for which a caller is kept waiting, the whole stream included.
    std::chrono::milliseconds timeout{ 10000 };
    // Time within which the answer, or the first event of a stream, is on time.
    std::chrono::milliseconds latencyTarget{ 1000 };
    // Longest pause between events for which a stream is on time.
    std::chrono::milliseconds gapTarget{ 1000 };
    // 0 is the most urgent.
    int priority = 0;
    // At least one entry.
    std::vector<WeightedService> services;
    // Backend servers that may work on one request.
    unsigned maxAttempts = 1;
    // Needs no API key.
    bool isPublic = false;
    bool resumable = false;
};

// What is known of the engines of a service before any answer is seen.
struct EngineModel
{
    // Requests in one batch.
    unsigned slots = 1;
    // Tokens of running requests and cached prompt parts together.
    std::uint64_t cacheTokens = 0;
    // Tokens in one event of a stream.
    unsigned tokensPerEvent = 1;
};

struct Service
{
    std::string name;
    // Set for model engines.
    std::optional<EngineModel> engine;
    // Connections that one server accepts from all daemons together; 0 if it does not say.
    unsigned maxConnections = 0;
};

struct TrafficLimits
{
    std::size_t headerBytes = std::size_t{ 16 } * 1024;
    std::size_t bodyBytes = std::size_t{ 4 } * 1024 * 1024;
    // From the first byte of a request to the end of its header.
    std::chrono::milliseconds headerTimeout{ 3000 };
    // A connection without a request may be closed after this time.
    std::chrono::milliseconds idleTimeout{ 15000 };
};

struct Organisation
{
    std::string name;
    std::vector<std::string> keys;
    // Takes precedence over the route's priority.
    std::optional<int> priority;
};

// The content of a version; TrafficConfig adds the look-ups.
struct TrafficConfigData
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    TrafficLimits limits;
    std::vector<Organisation> organisations;
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
    // Without organisations no request needs a key.
    bool requiresApiKeys() const { return !data_.organisations.empty(); }

    // The route of the host with the longest prefix of the path; null if none matches. A port in
    // the host is ignored.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    const Organisation *findOrganisation(std::string_view key) const;
    const Service *findService(std::string_view name) const;
    // Urgency of a request at the engines of the service, by the priority of its organisation, then
    // by that of its route.
    Urgency urgency(const std::string &service, const Route &route,
                    const Organisation *organisation) const;

private:
    using Rank = std::pair<int, int>;
    static Rank rank(const Route &route, const Organisation *organisation);

    const TrafficConfigData data_;
    // By host, longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> routesByHost_;
    std::unordered_map<std::string_view, const Organisation *> organisationsByKey_;
    std::unordered_map<std::string_view, const Service *> servicesByName_;
    // All ranks that occur at a service, most urgent first.
    std::unordered_map<std::string, std::vector<Rank>> ranks_;
};

// True if the pauses of the route's streams get too long on an engine that reads prompts without a
// break, because each chunk of a prompt delays the next token of every stream.
bool isGapSensitive(const Route &route, const EngineModel &engine);

// The service of a request on a route with several: the share of requests follows the weights and
// the choice depends on the hash only.
const std::string &pickService(const Route &route, std::uint64_t requestHash);

} // namespace auburn::routing
