#include "auburn/routing/trafficconfig.h"

#include <algorithm>
#include <utility>

namespace auburn::routing {

namespace {

// Size of the chunk of prompt tokens that an engine prefills between two tokens of its streams, the
// prefill speed within the chunk, and the duration of the rest of a batch step.
constexpr double kPrefillChunkTokens = 2048;
constexpr double kChunkPrefillTokensPerMs = 70;
constexpr double kStepMs = 9;
// Share of the gap target that batch steps with a prefill chunk may take; other requests add to the
// gap.
constexpr double kMaxGapShare = 0.8;
// A prompt of more tokens takes more than two prefill chunks.
constexpr std::uint64_t kLongPromptTokens = 4096;

std::string toLowerCase(std::string_view text)
{
    std::string result(text);
    for (char &c : result) {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return result;
}

std::string_view stripPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

bool hasLongerPrefix(const Route *left, const Route *right)
{
    return left->pathPrefix.size() > right->pathPrefix.size();
}

} // namespace

std::string_view requestKindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Safe:
        return "safe";
    case RequestKind::Unsafe:
        return "unsafe";
    case RequestKind::Stream:
        return "stream";
    }
    return "unknown";
}

TrafficConfig::TrafficConfig(TrafficConfigData data)
    : data_(std::move(data))
{
    for (const Route &route : data_.routes)
        routesByHost_[toLowerCase(route.host)].push_back(&route);
    for (auto &entry : routesByHost_)
        std::stable_sort(entry.second.begin(), entry.second.end(), hasLongerPrefix);
    for (const Organisation &organisation : organisations()) {
        for (const std::string &key : organisation.keys)
            organisationsByKey_.emplace(key, &organisation);
    }
    for (const Service &service : data_.services)
        servicesByName_.emplace(service.name, &service);
    for (const Route &route : data_.routes) {
        for (const WeightedService &choice : route.services) {
            std::vector<Rank> &ranks = ranks_[choice.service];
            ranks.push_back(rank(route, nullptr));
            for (const Organisation &organisation : organisations())
                ranks.push_back(rank(route, &organisation));
        }
    }
    for (auto &entry : ranks_) {
        std::vector<Rank> &ranks = entry.second;
        std::sort(ranks.begin(), ranks.end());
        ranks.erase(std::unique(ranks.begin(), ranks.end()), ranks.end());
    }
}

const std::vector<Organisation> &TrafficConfig::organisations() const
{
    static const std::vector<Organisation> kNone;
    return data_.organisations ? *data_.organisations : kNone;
}

// A request without an organisation, or whose organisation has no priority, ranks with the most
// urgent organisations.
TrafficConfig::Rank TrafficConfig::rank(const Route &route, const Organisation *organisation)
{
    return { organisation ? organisation->priority.value_or(0) : 0, route.priority };
}

Urgency TrafficConfig::urgency(const std::string &service, const Route &route,
                               const Organisation *organisation) const
{
    const auto ranks = ranks_.find(service);
    if (ranks == ranks_.end())
        return {};
    const std::vector<Rank> &all = ranks->second;
    const auto found = std::lower_bound(all.begin(), all.end(), rank(route, organisation));
    const auto index = static_cast<std::size_t>(found - all.begin());
    constexpr std::size_t kLevels = kLowestUrgency + 1;
    if (all.size() * 2 <= kLevels)
        return { .onTime = static_cast<int>(index * 2), .late = static_cast<int>(index * 2 + 1) };
    const auto level = static_cast<int>(all.size() <= kLevels ? index
                                                              : index * kLevels / all.size());
    return { .onTime = level, .late = level };
}

bool isGapSensitive(const Route &route, const EngineModel &engine, std::uint64_t promptTokens)
{
    if (route.kind != RequestKind::Stream || promptTokens > kLongPromptTokens)
        return false;
    const double eventMs = engine.tokensPerEvent
                           * (kPrefillChunkTokens / kChunkPrefillTokensPerMs + kStepMs);
    return eventMs > kMaxGapShare * static_cast<double>(route.gapTarget.count());
}

const Route *TrafficConfig::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = routesByHost_.find(toLowerCase(stripPort(host)));
    if (found == routesByHost_.end())
        return nullptr;
    for (const Route *route : found->second) {
        if (path.substr(0, route->pathPrefix.size()) == route->pathPrefix)
            return route;
    }
    return nullptr;
}

const Organisation *TrafficConfig::findOrganisation(std::string_view key) const
{
    const auto found = organisationsByKey_.find(key);
    return found == organisationsByKey_.end() ? nullptr : found->second;
}

const Service *TrafficConfig::findService(std::string_view name) const
{
    const auto found = servicesByName_.find(name);
    return found == servicesByName_.end() ? nullptr : found->second;
}

const std::string &pickService(const Route &route, std::uint64_t requestHash)
{
    std::uint64_t total = 0;
    for (const WeightedService &choice : route.services)
        total += choice.weight;
    if (total == 0)
        return route.services.front().service;
    std::uint64_t point = requestHash % total;
    for (const WeightedService &choice : route.services) {
        if (point < choice.weight)
            return choice.service;
        point -= choice.weight;
    }
    return route.services.back().service;
}

} // namespace auburn::routing
