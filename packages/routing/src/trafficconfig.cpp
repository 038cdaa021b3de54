#include "auburn/routing/trafficconfig.h"

#include <algorithm>
#include <utility>

namespace auburn::routing {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    for (char &c : result) {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return result;
}

std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

bool prefixIsLonger(const Route *left, const Route *right)
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
        routesByHost_[lowerCase(route.host)].push_back(&route);
    for (auto &entry : routesByHost_)
        std::stable_sort(entry.second.begin(), entry.second.end(), prefixIsLonger);
    for (const Organisation &organisation : data_.organisations) {
        for (const std::string &key : organisation.keys)
            organisationsByKey_.emplace(key, &organisation);
    }
    for (const Service &service : data_.services)
        servicesByName_.emplace(service.name, &service);
}

const Route *TrafficConfig::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = routesByHost_.find(lowerCase(withoutPort(host)));
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
