#include "auburn/routing/serverlimits.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <system_error>

namespace auburn::routing {

namespace {

// A higher limit is above what any server runs and counts as none.
constexpr double kMaxUsefulLimit = 10000;
// Bounds the memory for servers that are gone; the registry removes them, and with them their
// limits.
constexpr std::size_t kMaxServers = 10000;

} // namespace

std::optional<double> parseServerLimit(std::string_view text)
{
    double value = 0;
    const char *last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, value);
    if (parsed.ec != std::errc() || parsed.ptr != last || !std::isfinite(value) || value < 0)
        return std::nullopt;
    return value;
}

std::string limitText(std::optional<double> requestsPerSecond)
{
    if (!requestsPerSecond)
        return "none";
    char digits[32];
    std::snprintf(digits, sizeof(digits), "%.3g", *requestsPerSecond);
    return digits;
}

bool ServerLimits::recordLimit(const std::string &serverId, double requestsPerSecond, TimePoint now)
{
    const bool isUseful = requestsPerSecond < kMaxUsefulLimit;
    return update(serverId,
                  { .requestsPerSecond = isUseful ? std::optional(requestsPerSecond) : std::nullopt,
                    .observedAt = now });
}

bool ServerLimits::recordNoLimit(const std::string &serverId, TimePoint sentAt)
{
    return update(serverId, { .observedAt = sentAt });
}

bool ServerLimits::merge(const ServerLimitReport &report)
{
    return update(report.serverId, { .requestsPerSecond = report.requestsPerSecond,
                                     .observedAt = report.observedAt });
}

bool ServerLimits::update(const std::string &serverId, const Entry &entry)
{
    const auto found = entries_.find(serverId);
    if (found == entries_.end()) {
        // Most servers never name a limit.
        if (!entry.requestsPerSecond || entries_.size() >= kMaxServers)
            return false;
        entries_.emplace(serverId, entry);
        return true;
    }
    if (entry.observedAt <= found->second.observedAt)
        return false;
    const bool changed = found->second.requestsPerSecond != entry.requestsPerSecond;
    // An ended limit keeps the time of its end, so that it is forgotten after a while.
    if (changed || entry.requestsPerSecond)
        found->second = entry;
    return changed;
}

void ServerLimits::removeExpired(TimePoint now)
{
    std::erase_if(entries_, [now](const auto &entry) {
        return now - entry.second.observedAt > kLimitLifetime;
    });
}

void ServerLimits::remove(const std::string &serverId)
{
    entries_.erase(serverId);
}

std::optional<double> ServerLimits::limitOf(std::string_view serverId) const
{
    const auto found = entries_.find(serverId);
    return found == entries_.end() ? std::nullopt : found->second.requestsPerSecond;
}

std::vector<ServerLimitReport> ServerLimits::newestReports(std::size_t count) const
{
    std::vector<ServerLimitReport> reports;
    for (const auto &[id, entry] : entries_)
        reports.push_back({ .serverId = id,
                            .requestsPerSecond = entry.requestsPerSecond,
                            .observedAt = entry.observedAt });
    const std::size_t kept = std::min(count, reports.size());
    std::partial_sort(
            reports.begin(), reports.begin() + static_cast<std::ptrdiff_t>(kept), reports.end(),
            [](const auto &left, const auto &right) { return left.observedAt > right.observedAt; });
    reports.resize(kept);
    return reports;
}

ServerLimitReport ServerLimits::reportOf(const std::string &serverId) const
{
    const auto found = entries_.find(serverId);
    if (found == entries_.end())
        return { .serverId = serverId };
    return { .serverId = serverId,
             .requestsPerSecond = found->second.requestsPerSecond,
             .observedAt = found->second.observedAt };
}

bool ServerLimits::hasLimits() const
{
    return std::any_of(entries_.begin(), entries_.end(), [](const auto &entry) {
        return entry.second.requestsPerSecond.has_value();
    });
}

std::vector<std::string> ServerLimits::limitedServers() const
{
    std::vector<std::string> servers;
    for (const auto &[id, entry] : entries_) {
        if (entry.requestsPerSecond)
            servers.push_back(id);
    }
    return servers;
}

} // namespace auburn::routing
