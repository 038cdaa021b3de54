#include "auburn/routing/crashregistry.h"

#include <algorithm>

namespace auburn::routing {

namespace {

// Entries without a new crash expire after this time.
constexpr std::chrono::seconds kCrashLifetime{ 60 };
// At this number of entries, those that have reached half of their lifetime are dropped.
constexpr std::size_t kMaxEntries = 4096;

} // namespace

CrashRegistry::Entry &CrashRegistry::entry(std::uint64_t fingerprint, TimePoint now)
{
    if (entries_.size() >= kMaxEntries) {
        std::erase_if(entries_, [now](const auto &item) {
            return now - item.second.last > kCrashLifetime / 2;
        });
    }
    Entry &found = entries_[fingerprint];
    if (now - found.last > kCrashLifetime)
        found = Entry{};
    found.last = now;
    return found;
}

void CrashRegistry::addCrash(std::uint64_t fingerprint, TimePoint now)
{
    ++entry(fingerprint, now).own;
}

void CrashRegistry::mergePeer(const std::string &peer, CrashCount count, TimePoint now)
{
    const auto found = entries_.find(count.fingerprint);
    const bool known = found != entries_.end() && found->second.peers.contains(peer)
                       && found->second.peers.at(peer) >= count.crashes;
    if (!known)
        entry(count.fingerprint, now).peers[peer] = count.crashes;
}

unsigned CrashRegistry::crashes(std::uint64_t fingerprint, TimePoint now) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || now - found->second.last > kCrashLifetime)
        return 0;
    unsigned total = found->second.own;
    for (const auto &[peer, count] : found->second.peers)
        total += count;
    return total;
}

std::vector<CrashCount> CrashRegistry::ownCounts(std::size_t limit, TimePoint now) const
{
    std::vector<std::pair<TimePoint, CrashCount>> recent;
    for (const auto &[fingerprint, item] : entries_) {
        if (item.own > 0 && now - item.last <= kCrashLifetime)
            recent.push_back({ item.last, { .fingerprint = fingerprint, .crashes = item.own } });
    }
    std::sort(recent.begin(), recent.end(),
              [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<CrashCount> counts;
    for (const auto &item : recent) {
        if (counts.size() == limit)
            break;
        counts.push_back(item.second);
    }
    return counts;
}

} // namespace auburn::routing
