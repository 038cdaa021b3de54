#include "auburn/routing/serveravailability.h"

namespace auburn::routing {

namespace {

// At this number of withdrawn servers all of them are forgotten; the registry has long removed
// them, because a deployment replaces far fewer servers in a day.
constexpr std::size_t kMaxWithdrawn = 10000;

} // namespace

bool ServerAvailability::withdraw(const std::string &serverId, std::int64_t startedAtUnixMs)
{
    if (!isAvailable(serverId, startedAtUnixMs))
        return false;
    if (withdrawn_.size() >= kMaxWithdrawn)
        withdrawn_.clear();
    withdrawn_.insert_or_assign(serverId, startedAtUnixMs);
    return true;
}

bool ServerAvailability::isAvailable(std::string_view serverId, std::int64_t startedAtUnixMs) const
{
    const auto found = withdrawn_.find(serverId);
    return found == withdrawn_.end() || startedAtUnixMs > found->second;
}

} // namespace auburn::routing
