#include "auburn/streams/versionhistory.h"

#include <algorithm>
#include <limits>

namespace auburn::streams {

void VersionHistory::observe(const routing::ServerDirectory &directory, TimePoint now)
{
    if (observedAt_ && now - *observedAt_ > kMaxObservationGap) {
        services_.clear();
        isFirstStart_ = false;
    }
    observedAt_ = now;
    for (auto &[name, service] : services_) {
        std::erase_if(service.versions, [now](const auto &entry) {
            return now - entry.second.lastSeenAt > kStreamLifetime;
        });
        for (auto &[version, state] : service.versions) {
            state.servers = 0;
            state.oldestStartUnixMs.reset();
        }
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
        ++version.servers;
        version.lastSeenAt = now;
        if (server.startedAtUnixMs > 0)
            version.oldestStartUnixMs = std::min(
                    server.startedAtUnixMs,
                    version.oldestStartUnixMs.value_or(server.startedAtUnixMs));
    });
}

const VersionHistory::Service *VersionHistory::find(std::string_view service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

bool VersionHistory::hasSeenLifetime(std::string_view service, TimePoint now) const
{
    const Service *state = find(service);
    if (!state || now - *observedAt_ > kMaxObservationGap)
        return false;
    return isFirstStart_ || now - state->firstObservedAt >= kStreamLifetime;
}

std::vector<std::string> VersionHistory::versions(std::string_view service) const
{
    std::vector<std::string> names;
    if (const Service *state = find(service)) {
        for (const auto &[name, version] : state->versions)
            names.push_back(name);
    }
    return names;
}

std::optional<std::string> VersionHistory::onlyVersion(std::string_view service,
                                                       TimePoint now) const
{
    const Service *state = find(service);
    if (!state || state->versions.size() != 1 || !hasSeenLifetime(service, now))
        return std::nullopt;
    return state->versions.begin()->first;
}

bool VersionHistory::isListed(std::string_view service, const std::string &version) const
{
    const Service *state = find(service);
    if (!state)
        return false;
    const auto found = state->versions.find(version);
    return found != state->versions.end() && found->second.servers > 0;
}

bool VersionHistory::isSettled(const Service &service, const Version &version, TimePoint now,
                               std::int64_t unixNow)
{
    // A server may register long after its start. Its age proves something only if it was there
    // when this daemon began to observe the service.
    const bool wasListedFirst = version.firstSeenAt == service.firstObservedAt;
    const bool hasOldServer = version.oldestStartUnixMs
                              && unixNow - *version.oldestStartUnixMs >= kSettledServerAge.count();
    return (wasListedFirst && hasOldServer) || now - version.firstSeenAt >= kVersionSettleTime;
}

std::optional<std::string> VersionHistory::preferredVersion(std::string_view service,
                                                            const std::string &baseline,
                                                            TimePoint now,
                                                            std::int64_t unixNow) const
{
    const Service *state = find(service);
    if (!state)
        return std::nullopt;
    const std::pair<const std::string, Version> *preferred = nullptr;
    bool hasNewVersion = false;
    for (const auto &entry : state->versions) {
        const bool isBaseline = entry.first == baseline;
        if (!isBaseline && !isSettled(*state, entry.second, now, unixNow)) {
            hasNewVersion = true;
            continue;
        }
        const unsigned most = preferred ? preferred->second.servers : 0;
        const bool hasMore = entry.second.servers > most;
        if (hasMore || (isBaseline && entry.second.servers > 0 && entry.second.servers == most))
            preferred = &entry;
    }
    return hasNewVersion && preferred ? std::optional(preferred->first) : std::nullopt;
}

bool VersionHistory::namesNoVersion(std::string_view service) const
{
    const Service *state = find(service);
    return state && isListed(service, {}) && state->versions.size() == 1;
}

std::optional<std::string> VersionHistory::establishedVersion(std::string_view service,
                                                              std::int64_t unixNow) const
{
    const Service *state = find(service);
    if (!state || state->versions.size() != 1)
        return std::nullopt;
    const auto &[name, version] = *state->versions.begin();
    const bool isOld = version.oldestStartUnixMs
                       && unixNow - *version.oldestStartUnixMs > kStreamLifetime.count();
    return isOld ? std::optional(name) : std::nullopt;
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
    constexpr std::int64_t kUnknown = std::numeric_limits<std::int64_t>::max();
    const std::pair<const std::string, Version> *oldest = nullptr;
    for (const auto &entry : state->versions) {
        const bool isOlder = !oldest
                             || entry.second.oldestStartUnixMs.value_or(kUnknown)
                                        < oldest->second.oldestStartUnixMs.value_or(kUnknown);
        if (entry.second.servers > 0 && isOlder)
            oldest = &entry;
    }
    if (!oldest || oldest->first.empty())
        return std::nullopt;
    return oldest->first;
}

} // namespace auburn::streams
