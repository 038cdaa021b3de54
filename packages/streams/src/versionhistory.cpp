#include "auburn/streams/versionhistory.h"

#include <algorithm>

namespace auburn::streams {

void VersionHistory::observe(const routing::ServerDirectory &directory, TimePoint now)
{
    for (auto &[name, service] : services_) {
        std::erase_if(service.versions, [now](const auto &entry) {
            return now - entry.second.lastSeenAt > kStreamLifetime;
        });
        for (auto &[version, state] : service.versions)
            state.servers = 0;
    }
    directory.visit([&](const routing::BackendServer &server) {
        Service &service = services_
                                   .try_emplace(server.service,
                                                Service{ .firstObservedAt = now, .versions = {} })
                                   .first->second;
        Version &version = service.versions
                                   .try_emplace(server.softwareVersion,
                                                Version{ .firstSeenAt = now })
                                   .first->second;
        const bool isFirst = version.servers++ == 0;
        version.lastSeenAt = now;
        version.oldestStartUnixMs = isFirst ? server.startedAtUnixMs
                                            : std::min(version.oldestStartUnixMs,
                                                       server.startedAtUnixMs);
    });
}

const VersionHistory::Service *VersionHistory::find(std::string_view service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

bool VersionHistory::isOnlyVersion(std::string_view service, const std::string &version,
                                   TimePoint now) const
{
    const Service *state = find(service);
    const bool hasSeenEnough = state
                               && (isFirstStart_
                                   || now - state->firstObservedAt >= kStreamLifetime);
    return hasSeenEnough && state->versions.size() == 1
           && state->versions.begin()->first == version;
}

bool VersionHistory::isListed(std::string_view service, const std::string &version) const
{
    const Service *state = find(service);
    if (!state)
        return false;
    const auto found = state->versions.find(version);
    return found != state->versions.end() && found->second.servers > 0;
}

bool VersionHistory::hasUnsettledVersion(std::string_view service, const std::string &known,
                                         TimePoint now) const
{
    const Service *state = find(service);
    return state
           && std::any_of(state->versions.begin(), state->versions.end(), [&](const auto &entry) {
                  return entry.first != known
                         && now - entry.second.firstSeenAt < kVersionSettleTime;
              });
}

bool VersionHistory::namesNoVersion(std::string_view service) const
{
    const Service *state = find(service);
    return state && isListed(service, {})
           && std::all_of(state->versions.begin(), state->versions.end(), [](const auto &entry) {
                  return entry.first.empty() || entry.second.servers == 0;
              });
}

std::optional<std::string> VersionHistory::establishedVersion(std::string_view service,
                                                              std::int64_t unixNow) const
{
    const Service *state = find(service);
    if (!state || state->versions.size() != 1)
        return std::nullopt;
    const auto &[name, version] = *state->versions.begin();
    const std::int64_t age = unixNow - version.oldestStartUnixMs;
    return age > kStreamLifetime.count() ? std::optional(name) : std::nullopt;
}

std::optional<std::string> VersionHistory::successorOf(std::string_view service,
                                                       const std::string &version,
                                                       TimePoint now) const
{
    const Service *state = find(service);
    if (!state || now - state->firstObservedAt < kStreamLifetime)
        return std::nullopt;
    const auto &versions = state->versions;
    if (versions.contains(version))
        return std::nullopt;
    const auto most = std::max_element(versions.begin(), versions.end(),
                                       [](const auto &left, const auto &right) {
                                           return left.second.servers < right.second.servers;
                                       });
    if (most == versions.end() || most->second.servers == 0 || most->first.empty())
        return std::nullopt;
    return most->first;
}

std::optional<std::string> VersionHistory::oldestVersion(std::string_view service) const
{
    const Service *state = find(service);
    if (!state)
        return std::nullopt;
    const std::pair<const std::string, Version> *oldest = nullptr;
    for (const auto &entry : state->versions) {
        const bool isListed = entry.second.servers > 0;
        if (isListed
            && (!oldest || entry.second.oldestStartUnixMs < oldest->second.oldestStartUnixMs))
            oldest = &entry;
    }
    if (!oldest || oldest->first.empty())
        return std::nullopt;
    return oldest->first;
}

} // namespace auburn::streams
