#include "marktables.h"

#include "auburn/core/hash.h"
#include "unsignedmilliseconds.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>
#include <tuple>

namespace auburn {

namespace {

constexpr std::size_t kMaxBackendServerName = 256;
constexpr unsigned kMaxCrashCount = 1000;

std::uint64_t hashWords(const std::array<std::uint64_t, 4> &words)
{
    return stableHash(
            std::string_view(reinterpret_cast<const char *>(words.data()), sizeof(words)));
}

// Visits all entries, beginning at index start modulo the size and wrapping around at the end.
template<typename Map, typename Visitor>
void forEachFrom(const Map &map, std::size_t start, Visitor visit)
{
    if (map.empty())
        return;
    const auto first = std::next(map.begin(), static_cast<std::ptrdiff_t>(start % map.size()));
    for (auto entry = first; entry != map.end(); ++entry)
        visit(entry->first, entry->second);
    for (auto entry = map.begin(); entry != first; ++entry)
        visit(entry->first, entry->second);
}

} // namespace

LeavingMarkTable::LeavingMarkTable(std::chrono::milliseconds lifetime, std::size_t limit)
    : lifetime_(lifetime)
    , limit_(limit)
{}

std::uint64_t LeavingMarkTable::hashMark(const std::string &backendServer, const Mark &mark)
{
    return stableHash(backendServer, 2 * mark.version + (mark.leaving ? 1 : 0));
}

bool LeavingMarkTable::store(const std::string &backendServer, Mark mark)
{
    const auto found = marks_.find(backendServer);
    if (found != marks_.end())
        erase(found);
    // A full table evicts cleared marks first, then the oldest. The order is the same for all
    // members; otherwise full tables would evict each other's marks endlessly.
    if (marks_.size() >= limit_) {
        const auto rank = [](const std::string &name, const Mark &ranked) {
            return std::tuple(ranked.leaving, ranked.version, name);
        };
        const auto lowest = std::min_element(
                marks_.begin(), marks_.end(), [&rank](const auto &left, const auto &right) {
                    return rank(left.first, left.second) < rank(right.first, right.second);
                });
        if (rank(backendServer, mark) < rank(lowest->first, lowest->second))
            return false;
        erase(lowest);
    }
    digest_ ^= hashMark(backendServer, mark);
    marks_.emplace(backendServer, mark);
    return true;
}

void LeavingMarkTable::erase(std::map<std::string, Mark>::iterator position)
{
    digest_ ^= hashMark(position->first, position->second);
    marks_.erase(position);
}

bool LeavingMarkTable::set(const std::string &backendServer, bool leaving,
                           std::chrono::milliseconds wall)
{
    const auto found = marks_.find(backendServer);
    const bool known = found != marks_.end();
    const bool changed = known ? found->second.leaving != leaving : leaving;
    const bool renew = known && found->second.leaving
                       && found->second.version + toUnsignedMilliseconds(lifetime_ / 2)
                                  < toUnsignedMilliseconds(wall);
    if (!changed && !renew)
        return false;
    const std::uint64_t next = known ? found->second.version + 1 : 0;
    store(backendServer,
          Mark{ .version = std::max(toUnsignedMilliseconds(wall), next), .leaving = leaving });
    return changed;
}

bool LeavingMarkTable::merge(const proto::LeavingMark &mark, std::chrono::milliseconds wall)
{
    const std::uint64_t lifetime = toUnsignedMilliseconds(lifetime_);
    if (mark.backend_server().empty() || mark.backend_server().size() > kMaxBackendServerName
        || mark.version() + lifetime < toUnsignedMilliseconds(wall)
        || mark.version() > toUnsignedMilliseconds(wall) + lifetime)
        return false;
    const auto found = marks_.find(mark.backend_server());
    const Mark incoming{ .version = mark.version(), .leaving = mark.leaving() };
    if (found != marks_.end()) {
        const Mark &known = found->second;
        if (std::pair(incoming.version, incoming.leaving)
            <= std::pair(known.version, known.leaving))
            return false;
    }
    return store(mark.backend_server(), incoming);
}

void LeavingMarkTable::expire(std::chrono::milliseconds wall)
{
    for (auto entry = marks_.begin(); entry != marks_.end();) {
        const auto current = entry++;
        if (current->second.version + toUnsignedMilliseconds(lifetime_)
            < toUnsignedMilliseconds(wall))
            erase(current);
    }
}

std::uint64_t LeavingMarkTable::leavingSince(const std::string &backendServer) const
{
    const auto found = marks_.find(backendServer);
    return found != marks_.end() && found->second.leaving ? found->second.version : 0;
}

std::uint64_t LeavingMarkTable::versionOf(const std::string &backendServer) const
{
    const auto found = marks_.find(backendServer);
    return found == marks_.end() ? 0 : found->second.version;
}

std::set<std::string> LeavingMarkTable::leavingBackendServers() const
{
    std::set<std::string> backendServers;
    for (const auto &[backendServer, mark] : marks_) {
        if (mark.leaving)
            backendServers.insert(backendServer);
    }
    return backendServers;
}

void LeavingMarkTable::addTo(proto::Gossip &gossip, std::uint64_t fromVersion, int limit,
                             std::size_t start) const
{
    forEachFrom(marks_, start, [&](const std::string &backendServer, const Mark &mark) {
        if (mark.version < fromVersion || limit-- <= 0)
            return;
        proto::LeavingMark &added = *gossip.add_leaving();
        added.set_backend_server(backendServer);
        added.set_version(mark.version);
        added.set_leaving(mark.leaving);
    });
}

CrashMarkTable::CrashMarkTable(std::chrono::milliseconds lifetime, std::size_t limit)
    : lifetime_(lifetime)
    , limit_(limit)
{}

std::uint64_t CrashMarkTable::hashMark(const Key &key, const Mark &mark)
{
    return hashWords({ key.first, key.second, mark.crashes, mark.expiresAt });
}

bool CrashMarkTable::store(const Key &key, Mark mark)
{
    const auto found = marks_.find(key);
    if (found != marks_.end())
        erase(found);
    // A full table evicts the mark that expires first. As for leaving marks, the order is the same
    // for all members.
    if (marks_.size() >= limit_) {
        const auto rank = [](const Key &ranked, const Mark &of) {
            return std::pair(of.expiresAt, ranked);
        };
        const auto lowest = std::min_element(
                marks_.begin(), marks_.end(), [&rank](const auto &left, const auto &right) {
                    return rank(left.first, left.second) < rank(right.first, right.second);
                });
        if (rank(key, mark) < rank(lowest->first, lowest->second))
            return false;
        erase(lowest);
    }
    digest_ ^= hashMark(key, mark);
    marks_.emplace(key, mark);
    return true;
}

void CrashMarkTable::erase(std::map<Key, Mark>::iterator position)
{
    digest_ ^= hashMark(position->first, position->second);
    marks_.erase(position);
}

proto::CrashMark CrashMarkTable::toProto(const Key &key, const Mark &mark)
{
    proto::CrashMark message;
    message.set_fingerprint(key.first);
    message.set_reporter(key.second);
    message.set_crashes(mark.crashes);
    message.set_expires_at_ms(mark.expiresAt);
    return message;
}

proto::CrashMark CrashMarkTable::add(std::uint64_t fingerprint, std::uint32_t reporter,
                                     std::chrono::milliseconds wall)
{
    const Key key(fingerprint, reporter);
    const auto found = marks_.find(key);
    Mark mark = found == marks_.end() ? Mark{} : found->second;
    ++mark.crashes;
    mark.expiresAt = std::max(mark.expiresAt, toUnsignedMilliseconds(wall + lifetime_));
    store(key, mark);
    return toProto(key, mark);
}

bool CrashMarkTable::merge(const proto::CrashMark &mark, std::chrono::milliseconds wall)
{
    if (mark.expires_at_ms() < toUnsignedMilliseconds(wall)
        || mark.expires_at_ms() > toUnsignedMilliseconds(wall + 2 * lifetime_))
        return false;
    const Key key(mark.fingerprint(), mark.reporter());
    const auto found = marks_.find(key);
    const Mark known = found == marks_.end() ? Mark{} : found->second;
    const Mark merged{ .crashes = std::max(known.crashes, std::min(mark.crashes(), kMaxCrashCount)),
                       .expiresAt = std::max<std::uint64_t>(known.expiresAt,
                                                            mark.expires_at_ms()) };
    if (merged.crashes == known.crashes && merged.expiresAt == known.expiresAt)
        return false;
    return store(key, merged);
}

void CrashMarkTable::expire(std::chrono::milliseconds wall)
{
    for (auto entry = marks_.begin(); entry != marks_.end();) {
        const auto current = entry++;
        if (current->second.expiresAt < toUnsignedMilliseconds(wall))
            erase(current);
    }
}

unsigned CrashMarkTable::crashCount(std::uint64_t fingerprint, std::chrono::milliseconds wall) const
{
    unsigned total = 0;
    for (auto entry = marks_.lower_bound(Key(fingerprint, 0));
         entry != marks_.end() && entry->first.first == fingerprint; ++entry) {
        if (entry->second.expiresAt >= toUnsignedMilliseconds(wall))
            total += entry->second.crashes;
    }
    return total;
}

void CrashMarkTable::addTo(proto::Gossip &gossip, std::uint64_t fromExpiry, int limit,
                           std::size_t start) const
{
    forEachFrom(marks_, start, [&](const Key &key, const Mark &mark) {
        if (mark.expiresAt >= fromExpiry && limit-- > 0)
            *gossip.add_crashes() = toProto(key, mark);
    });
}

} // namespace auburn
