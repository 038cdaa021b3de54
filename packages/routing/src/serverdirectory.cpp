#include "auburn/routing/serverdirectory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace auburn::routing {

namespace {

// At this number of removed ids all of them are dropped; a deployment replaces far fewer servers in
// a day.
constexpr std::size_t kMaxRememberedRemovals = 10000;

bool isOlder(const BackendServer &left, const BackendServer &right)
{
    return std::tie(left.startedAtUnixMs, left.sequence)
           < std::tie(right.startedAtUnixMs, right.sequence);
}

// As isOlder(), for entries of different eras, whose positions say nothing. A server that announces
// its departure does not become ready again, so of two entries with one sequence number that one is
// the newer.
bool isOlderAcrossEras(const BackendServer &left, const BackendServer &right)
{
    const auto rank = [](const BackendServer &server) {
        return std::tuple(server.startedAtUnixMs, server.sequence,
                          server.state == ServerState::Draining);
    };
    return rank(left) < rank(right);
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
    if (eraOf(position) == eraOf(removal.position))
        return position <= removal.position;
    return std::tie(server.startedAtUnixMs, server.sequence)
           <= std::tie(removal.startedAtUnixMs, removal.sequence);
}

bool ServerDirectory::isStale(const BackendServer &server, LogPosition position, const Entry &entry)
{
    const LogPosition known = entry.removal ? std::max(entry.position, entry.removal->position)
                                            : entry.position;
    if (eraOf(position) == eraOf(known))
        return position <= known || isOlder(server, entry.server);
    return position < known ? !isOlderAcrossEras(entry.server, server)
                            : isOlderAcrossEras(server, entry.server);
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
    if (isStale(server, position, entry))
        return DirectoryChange::Stale;
    const bool restarted = server.startedAtUnixMs > entry.server.startedAtUnixMs;
    const bool unchanged = hasSameRouting(server, entry.server) && !entry.removal;
    keepEarlierLeaving(server, entry.server);
    entry.server = std::move(server);
    entry.position = std::max(entry.position, position);
    entry.removal.reset();
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
    if (!isRelisting(now))
        return removeImmediately(id, position);
    entry.position = position;
    deferRemoval(entry, position, ServerListSource::Registry, now);
    return DirectoryChange::RemovalPending;
}

DirectoryChange ServerDirectory::removeMissing(std::string_view id, LogPosition end,
                                               ServerListSource source, TimePoint now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return DirectoryChange::Unknown;
    Entry &entry = found->second;
    if (end <= entry.position)
        return DirectoryChange::Stale;
    const LogPosition last = end - 1;
    const bool isPending = entry.removal && now < entry.removal->dueAt;
    const bool isFromEarlierEra = eraOf(end) > eraOf(entry.position);
    const bool isDeferred = source == ServerListSource::Registry && isRelisting(now);
    if (!isPending && !isFromEarlierEra && !isDeferred)
        return removeImmediately(id, last);
    deferRemoval(entry, last, source, now);
    return DirectoryChange::RemovalPending;
}

void ServerDirectory::deferRemoval(Entry &entry, LogPosition position, ServerListSource source,
                                   TimePoint now) const
{
    if (entry.removal) {
        entry.removal->position = std::max(entry.removal->position, position);
        return;
    }
    const bool inRelistPeriod = registryAvailable_ && isRelisting(now);
    entry.removal = DeferredRemoval{ .position = position,
                                     .dueAt = (inRelistPeriod ? *registryRecoveredAt_ : now)
                                              + kRelistPeriod,
                                     .source = source };
}

DirectoryChange ServerDirectory::removeImmediately(std::string_view id, LogPosition position)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return DirectoryChange::Unknown;
    if (position <= found->second.position)
        return DirectoryChange::Stale;
    found->second.position = position;
    erase(found->first);
    return DirectoryChange::Removed;
}

void ServerDirectory::keepMissingFromPeers()
{
    for (auto &[id, entry] : entries_) {
        if (entry.removal && entry.removal->source == ServerListSource::Peer)
            entry.removal.reset();
    }
}

void ServerDirectory::erase(const std::string &id)
{
    const auto found = entries_.find(id);
    if (removals_.size() >= kMaxRememberedRemovals)
        removals_.clear();
    const Entry &entry = found->second;
    const LogPosition removalPosition = entry.removal ? entry.removal->position : 0;
    removals_.insert_or_assign(id, Removal{ .position = std::max(entry.position, removalPosition),
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
        if (entry.removal)
            entry.removal->dueAt = now + kRelistPeriod;
    }
}

void ServerDirectory::endRelistPeriod(TimePoint now)
{
    if (!registryAvailable_)
        return;
    registryRecoveredAt_.reset();
    for (auto &[id, entry] : entries_) {
        if (entry.removal)
            entry.removal->dueAt = now;
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
    for (const auto &[id, entry] : entries_) {
        const bool isAwaited = entry.removal
                               && (registryAvailable_
                                   || entry.removal->source == ServerListSource::Peer);
        if (isAwaited && entry.removal->dueAt <= now)
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
