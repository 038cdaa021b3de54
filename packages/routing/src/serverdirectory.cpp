#include "auburn/routing/serverdirectory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace auburn::routing {

namespace {

// At this number of removed ids all of them are dropped; a deployment replaces far fewer servers in
// a day.
constexpr std::size_t kMaxRememberedRemovals = 10000;

bool isOlder(const BackendServer &update, const BackendServer &known)
{
    if (update.startedAtUnixMs != known.startedAtUnixMs)
        return update.startedAtUnixMs < known.startedAtUnixMs;
    return update.sequence < known.sequence;
}

bool hasSameRouting(const BackendServer &left, const BackendServer &right)
{
    return left.service == right.service && left.address == right.address
           && left.failureDomain == right.failureDomain && left.slots == right.slots
           && left.softwareVersion == right.softwareVersion && left.state == right.state
           && left.spot == right.spot && left.leavesAt.has_value() == right.leavesAt.has_value();
}

// Keeps the earlier of two announced times: a copy of an entry that is read late states the time
// left as of an earlier moment.
void keepEarlierLeaving(BackendServer &update, const BackendServer &known)
{
    const bool sameStart = update.startedAtUnixMs == known.startedAtUnixMs;
    if (sameStart && update.leavesAt && known.leavesAt)
        update.leavesAt = std::min(update.leavesAt, known.leavesAt);
}

} // namespace

std::string_view directoryChangeName(DirectoryChange change)
{
    switch (change) {
    case DirectoryChange::Added:
        return "added";
    case DirectoryChange::Changed:
        return "changed";
    case DirectoryChange::Refreshed:
        return "refreshed";
    case DirectoryChange::Stale:
        return "stale";
    case DirectoryChange::Removed:
        return "removed";
    case DirectoryChange::RemovalPending:
        return "removal_pending";
    case DirectoryChange::Unknown:
        return "unknown";
    }
    return "unknown";
}

bool ServerDirectory::isBeforeRemoval(const BackendServer &server, LogPosition position,
                                      const Removal &removal)
{
    if (eraOf(position) <= eraOf(removal.position))
        return position <= removal.position;
    return std::tie(server.startedAtUnixMs, server.sequence)
           <= std::tie(removal.startedAtUnixMs, removal.sequence);
}

DirectoryChange ServerDirectory::update(BackendServer server, LogPosition position)
{
    const auto removed = removals_.find(server.id);
    if (removed != removals_.end()) {
        if (isBeforeRemoval(server, position, removed->second))
            return DirectoryChange::Stale;
        removals_.erase(removed);
    }
    const auto found = entries_.find(server.id);
    if (found == entries_.end()) {
        const std::string id = server.id;
        entries_.emplace(id, Entry{ .server = std::move(server), .position = position });
        return DirectoryChange::Added;
    }
    Entry &entry = found->second;
    if (position <= entry.position || isOlder(server, entry.server))
        return DirectoryChange::Stale;
    const bool restarted = server.startedAtUnixMs > entry.server.startedAtUnixMs;
    const bool unchanged = hasSameRouting(server, entry.server) && !entry.removeAt;
    keepEarlierLeaving(server, entry.server);
    entry.server = std::move(server);
    entry.position = position;
    entry.removeAt.reset();
    if (restarted)
        return DirectoryChange::Added;
    return unchanged ? DirectoryChange::Refreshed : DirectoryChange::Changed;
}

DirectoryChange ServerDirectory::remove(std::string_view id, LogPosition position, TimePoint now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return DirectoryChange::Unknown;
    Entry &entry = found->second;
    if (position <= entry.position)
        return DirectoryChange::Stale;
    const bool isPending = entry.removeAt && now < *entry.removeAt;
    const bool isFromEarlierEra = eraOf(position) > eraOf(entry.position);
    const bool isRelisted = isRelisting(now);
    if (!isRelisted && !isPending && !isFromEarlierEra)
        return removeImmediately(id, position);
    entry.position = position;
    if (!entry.removeAt)
        entry.removeAt = (isRelisted && registryAvailable_ ? *registryRecoveredAt_ : now)
                         + kRelistPeriod;
    return DirectoryChange::RemovalPending;
}

DirectoryChange ServerDirectory::removeImmediately(std::string_view id, LogPosition position)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return DirectoryChange::Unknown;
    // A deferred removal has set the position, so the same position confirms it.
    const Entry &entry = found->second;
    if (position < entry.position || (position == entry.position && !entry.removeAt))
        return DirectoryChange::Stale;
    found->second.position = position;
    erase(found->first);
    return DirectoryChange::Removed;
}

void ServerDirectory::erase(const std::string &id)
{
    const auto found = entries_.find(id);
    if (removals_.size() >= kMaxRememberedRemovals)
        removals_.clear();
    const Entry &entry = found->second;
    removals_.insert_or_assign(id, Removal{ .position = entry.position,
                                            .startedAtUnixMs = entry.server.startedAtUnixMs,
                                            .sequence = entry.server.sequence });
    entries_.erase(found);
}

std::vector<std::string> ServerDirectory::ids() const
{
    std::vector<std::string> result;
    for (const auto &entry : entries_)
        result.push_back(entry.first);
    return result;
}

void ServerDirectory::setRegistryUnavailable()
{
    registryAvailable_ = false;
}

void ServerDirectory::setRegistryAvailable(TimePoint now)
{
    if (registryAvailable_)
        return;
    registryAvailable_ = true;
    registryRecoveredAt_ = now;
    for (auto &[id, entry] : entries_) {
        if (entry.removeAt)
            entry.removeAt = now + kRelistPeriod;
    }
}

void ServerDirectory::endRelistPeriod(TimePoint now)
{
    if (!registryAvailable_)
        return;
    registryRecoveredAt_.reset();
    for (auto &[id, entry] : entries_) {
        if (entry.removeAt)
            entry.removeAt = now;
    }
}

bool ServerDirectory::isRelisting(TimePoint now) const
{
    return !registryAvailable_
           || (registryRecoveredAt_ && now < *registryRecoveredAt_ + kRelistPeriod);
}

std::vector<std::string> ServerDirectory::removeExpired(TimePoint now)
{
    std::vector<std::string> expired;
    if (!registryAvailable_)
        return expired;
    for (const auto &[id, entry] : entries_) {
        if (entry.removeAt && *entry.removeAt <= now)
            expired.push_back(id);
    }
    for (const std::string &id : expired)
        erase(id);
    return expired;
}

std::vector<const BackendServer *> ServerDirectory::readyServers(std::string_view service) const
{
    std::vector<const BackendServer *> ready;
    for (const auto &[id, entry] : entries_) {
        const BackendServer &server = entry.server;
        if (server.service == service && server.state == ServerState::Ready)
            ready.push_back(&server);
    }
    return ready;
}

std::vector<const BackendServer *> ServerDirectory::availableServers(std::string_view service,
                                                                     TimePoint now) const
{
    std::vector<const BackendServer *> available = readyServers(service);
    std::erase_if(available, [&](const BackendServer *server) {
        return !availability_.isAvailable(server->id, server->startedAtUnixMs, now);
    });
    return available;
}

bool ServerDirectory::isAvailable(std::string_view id, TimePoint now) const
{
    const BackendServer *server = find(id);
    return server && server->state == ServerState::Ready
           && availability_.isAvailable(server->id, server->startedAtUnixMs, now);
}

bool ServerDirectory::withdraw(std::string_view id)
{
    const BackendServer *server = find(id);
    return server && availability_.withdraw(server->id, server->startedAtUnixMs);
}

void ServerDirectory::backOff(std::string_view id, TimePoint until, TimePoint now)
{
    if (const BackendServer *server = find(id))
        availability_.backOff(server->id, server->startedAtUnixMs, until, now);
}

std::optional<ServerDirectory::TimePoint> ServerDirectory::firstReturn(std::string_view service,
                                                                       TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const BackendServer *server : readyServers(service)) {
        const auto at = availability_.returnTime(server->id, server->startedAtUnixMs, now);
        if (at && (!first || *at < *first))
            first = at;
    }
    return first;
}

void ServerDirectory::visit(const std::function<void(const BackendServer &)> &function) const
{
    for (const auto &[id, entry] : entries_)
        function(entry.server);
}

const BackendServer *ServerDirectory::find(std::string_view id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second.server;
}

} // namespace auburn::routing
