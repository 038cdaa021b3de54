#include "auburn/peers/peertable.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace auburn::peers {

using std::chrono::milliseconds;

namespace {

// Targets of a regular beat in a large fleet: in all, and of these in the own failure domain, in
// other ones of the region and elsewhere.
constexpr std::size_t kFanOut = 6;
constexpr std::array<std::size_t, 3> kFanOutByDistance{ 3, 2, 1 };
// Daemons that a newcomer is told of; the datagram stays under 4 KB.
constexpr std::size_t kIntroductions = 40;
// Mentions in a beat to a daemon of the region; those to others are shorter, since their way is
// dear.
constexpr std::size_t kMentionsInBeat = 14;
// In a small fleet mentions only introduce daemons that were added.
constexpr std::size_t kMentionsInSmallFleet = 1;
// Only heartbeats this fresh are passed on; older ones would keep a dead daemon alive for as long
// as they travel.
constexpr milliseconds kMentionAge{ 600 };
constexpr milliseconds kLiveTime{ 3000 };
// The time between two heartbeats that arrive, at first or second hand, grows with the fleet. A
// request that asks a dead daemon goes on after a short timeout, so a late notice costs little, and
// daemons that disagree about who lives place the requests of one cell twice.
constexpr milliseconds kLiveTimePerPeer{ 60 };
// What a daemon says of its reads of the store holds for this time: three of the beats that it
// sends to its failure domain.
constexpr milliseconds kReaderWordTime{ 2100 };
// A peer that is silent gets only every such beat.
constexpr unsigned kSilentStride = 8;
constexpr std::chrono::minutes kForgetTime{ 10 };

} // namespace

PeerTable::PeerTable(Options options)
    : options_(std::move(options))
{
    static_assert(kFanOutByDistance.size() == kDistances);
}

std::string PeerTable::regionOf(const std::string &failureDomain) const
{
    const auto found = options_.regions.find(failureDomain);
    return found == options_.regions.end() ? failureDomain : found->second;
}

PeerTable::Distance PeerTable::distanceTo(const std::string &failureDomain) const
{
    if (failureDomain == options_.failureDomain)
        return Distance::OwnDomain;
    return regionOf(failureDomain) == regionOf(options_.failureDomain) ? Distance::OwnRegion
                                                                       : Distance::Far;
}

bool PeerTable::add(const std::string &beatAddress, TimePoint now)
{
    if (beatAddress == options_.ownAddress)
        return false;
    return peers_.try_emplace(beatAddress, Peer{ .addedAt = now }).second;
}

void PeerTable::take(Peer &peer, const PeerInfo &info, TimePoint now)
{
    peer.heard = now;
    peer.info = info;
}

void PeerTable::recordHeartbeat(const PeerInfo &peer, TimePoint now)
{
    const auto found = peers_.find(peer.udpAddress);
    if (found == peers_.end())
        return;
    take(found->second, peer, now);
    found->second.heardDirectly = now;
}

void PeerTable::recordRelayedHeartbeat(const PeerInfo &peer, TimePoint now)
{
    const auto found = peers_.find(peer.udpAddress);
    if (found == peers_.end() || peer.heartbeatCounter <= found->second.info.heartbeatCounter)
        return;
    const bool readsStore = found->second.info.readsStore;
    take(found->second, peer, now);
    found->second.info.readsStore = readsStore;
}

std::vector<std::string> PeerTable::removeSilentPeers(TimePoint now)
{
    std::vector<std::string> forgotten;
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (now - std::max(it->second.heard, it->second.addedAt) <= kForgetTime) {
            ++it;
            continue;
        }
        forgotten.push_back(it->first);
        it = peers_.erase(it);
    }
    return forgotten;
}

milliseconds PeerTable::liveTime() const
{
    return std::max(kLiveTime, kLiveTimePerPeer * static_cast<int>(peers_.size()));
}

bool PeerTable::isLive(const Peer &peer, TimePoint now) const
{
    return peer.heard != TimePoint() && now - peer.heard < liveTime();
}

unsigned PeerTable::livePeerCount(TimePoint now) const
{
    return static_cast<unsigned>(
            std::count_if(peers_.begin(), peers_.end(),
                          [&](const auto &entry) { return isLive(entry.second, now); }));
}

std::vector<PeerInfo> PeerTable::livePeersIn(const std::string &failureDomain, TimePoint now) const
{
    std::vector<PeerInfo> result;
    for (const auto &[address, peer] : peers_) {
        if (peer.info.failureDomain == failureDomain && isLive(peer, now))
            result.push_back(peer.info);
    }
    return result;
}

std::vector<PeerInfo> PeerTable::storeReaders(TimePoint now) const
{
    std::vector<PeerInfo> result;
    for (const auto &[address, peer] : peers_) {
        const bool recent = peer.heardDirectly != TimePoint()
                            && now - peer.heardDirectly < kReaderWordTime;
        if (recent && peer.info.readsStore && peer.info.failureDomain == options_.failureDomain)
            result.push_back(peer.info);
    }
    return result;
}

HeartbeatTargets PeerTable::beatTargets(unsigned round, TimePoint now,
                                        std::mt19937_64 &random) const
{
    const bool silentTurn = round % kSilentStride == 0 || round <= kSilentStride;
    std::array<std::vector<const std::string *>, kDistances> due;
    std::size_t count = 0;
    for (const auto &[address, peer] : peers_) {
        if (!silentTurn && !isLive(peer, now))
            continue;
        due[static_cast<std::size_t>(distanceTo(peer.info.failureDomain))].push_back(&address);
        ++count;
    }
    const bool toAll = count <= kFullMeshPeers;
    HeartbeatTargets targets;
    // From far to near: what one group lacks, the nearer ones get.
    std::size_t wanted = 0;
    for (std::size_t distance = kDistances; distance-- > 0;) {
        const auto &group = due[distance];
        wanted += kFanOutByDistance[distance];
        const std::size_t taken = toAll ? group.size() : std::min(group.size(), wanted);
        std::vector<const std::string *> picked;
        std::sample(group.begin(), group.end(), std::back_inserter(picked), taken, random);
        wanted -= std::min(wanted, taken);
        const bool isFar = static_cast<Distance>(distance) == Distance::Far;
        for (const std::string *address : picked)
            (isFar ? targets.otherRegions : targets.sameRegion).push_back(*address);
    }
    return targets;
}

std::vector<std::string> PeerTable::domainTargets(TimePoint now) const
{
    std::vector<std::string> targets;
    for (const auto &[address, peer] : peers_) {
        if (peer.info.failureDomain == options_.failureDomain && isLive(peer, now))
            targets.push_back(address);
    }
    return targets;
}

std::vector<std::string> PeerTable::liveTargets(TimePoint now) const
{
    std::vector<std::string> targets;
    for (const auto &[address, peer] : peers_) {
        if (isLive(peer, now))
            targets.push_back(address);
    }
    return targets;
}

std::vector<PeerInfo> PeerTable::introductions(const std::string &failureDomain, TimePoint now,
                                               std::mt19937_64 &random) const
{
    std::vector<PeerInfo> result;
    for (const auto &[address, peer] : peers_) {
        if (isLive(peer, now))
            result.push_back(peer.info);
    }
    std::shuffle(result.begin(), result.end(), random);
    std::stable_partition(result.begin(), result.end(), [&failureDomain](const PeerInfo &peer) {
        return peer.failureDomain == failureDomain;
    });
    result.resize(std::min(result.size(), kIntroductions));
    return result;
}

std::vector<PeerInfo> PeerTable::mentions(TimePoint now, std::mt19937_64 &random) const
{
    std::vector<const Peer *> fresh;
    for (const auto &[address, peer] : peers_) {
        if (peer.heard != TimePoint() && now - peer.heard < kMentionAge)
            fresh.push_back(&peer);
    }
    std::vector<const Peer *> picked;
    std::sample(fresh.begin(), fresh.end(), std::back_inserter(picked),
                peers_.size() > kFullMeshPeers ? kMentionsInBeat : kMentionsInSmallFleet, random);
    std::vector<PeerInfo> result;
    result.reserve(picked.size());
    for (const Peer *peer : picked)
        result.push_back(peer->info);
    return result;
}

} // namespace auburn::peers
