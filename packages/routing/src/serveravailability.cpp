#include "auburn/routing/serveravailability.h"

#include <algorithm>

namespace auburn::routing {

namespace {

// At this number of servers all of them are forgotten; the registry has long removed them, because
// a deployment replaces far fewer servers in a day.
constexpr std::size_t kMaxServers = 10000;

} // namespace

bool ServerAvailability::withdraw(const std::string &serverId, std::int64_t startedAtUnixMs)
{
    if (isWithdrawn(serverId, startedAtUnixMs))
        return false;
    if (withdrawn_.size() >= kMaxServers)
        withdrawn_.clear();
    withdrawn_.insert_or_assign(serverId, startedAtUnixMs);
    return true;
}

void ServerAvailability::backOff(const std::string &serverId, std::int64_t startedAtUnixMs,
                                 TimePoint until, TimePoint now)
{
    if (backoffs_.size() >= kMaxServers)
        std::erase_if(backoffs_, [now](const auto &entry) { return entry.second.until <= now; });
    Backoff &backoff = backoffs_[serverId];
    if (startedAtUnixMs > backoff.startedAtUnixMs)
        backoff = Backoff{ .startedAtUnixMs = startedAtUnixMs };
    backoff.until = std::max(backoff.until, std::min<TimePoint>(until, now + kMaxServerBackoff));
}

bool ServerAvailability::isWithdrawn(std::string_view serverId, std::int64_t startedAtUnixMs) const
{
    const auto found = withdrawn_.find(serverId);
    return found != withdrawn_.end() && startedAtUnixMs <= found->second;
}

std::optional<ServerAvailability::TimePoint> ServerAvailability::returnTime(
        std::string_view serverId, std::int64_t startedAtUnixMs, TimePoint now) const
{
    const auto found = backoffs_.find(serverId);
    const bool isWaiting = found != backoffs_.end() && now < found->second.until
                           && startedAtUnixMs <= found->second.startedAtUnixMs;
    if (!isWaiting || isWithdrawn(serverId, startedAtUnixMs))
        return std::nullopt;
    return found->second.until;
}

bool ServerAvailability::isAvailable(std::string_view serverId, std::int64_t startedAtUnixMs,
                                     TimePoint now) const
{
    return !isWithdrawn(serverId, startedAtUnixMs) && !returnTime(serverId, startedAtUnixMs, now);
}

std::size_t ServerAvailability::serversInBackoff(TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(backoffs_.begin(), backoffs_.end(),
                          [now](const auto &entry) { return now < entry.second.until; }));
}

} // namespace auburn::routing
