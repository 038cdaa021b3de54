#include "auburn/peers/peertable.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace auburn::peers {

using std::chrono::milliseconds;

namespace {

// Targets of a regular heartbeat in a large fleet: the total, and the numbers in the sender's
// failure domain, in other failure domains of its region and in other regions.
constexpr std::size_t kFanOut = 6;
constexpr std::array<std::size_t, 3> kFanOutByDistance{ 3, 2, 1 };
// Number of peers that a new daemon receives; the datagram stays below 4 KB.
constexpr std::size_t kMaxBootstrapPeers = 40;
// Relayed heartbeats in one message within the region; messages to other regions carry fewer,
// because that traffic is expensive.
constexpr std::size_t kMaxRelayedHeartbeats = 14;
// In a small fleet relayed heartbeats only introduce daemons that were added.
constexpr std::size_t kMaxRelayedInSmallFleet = 1;
// Only heartbeats this recent are relayed; older ones would keep a dead daemon alive for as long as
// they travel.
constexpr milliseconds kMaxRelayedAge{ 600 };
// A peer is live for at least this time after its newest heartbeat.
constexpr milliseconds kLiveTimeout{ 3000 };
// This time multiplied by the number of known peers replaces kLiveTimeout if it is longer, because
// the interval between two heartbeats that arrive, directly or relayed, grows with the fleet.
// Detecting a dead daemon late costs little, because a request to it falls back after a short
// timeout. Daemons that disagree about which daemons are live, however, place the requests of one
// cell twice.
constexpr milliseconds kLiveTimeoutPerPeer{ 60 };
// A daemon's statement that it reads the store is valid for this time: three of the heartbeats that
// it sends to its failure domain.
constexpr milliseconds kReaderStateLifetime{ 2100 };
// After as many rounds as this, silent peers are included only in one of this many regular
// heartbeats.
constexpr unsigned kSilentPeerInterval = 8;
// A peer is removed after it has been silent for this time.
constexpr std::chrono::minutes kSilentPeerRetention{ 10 };

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
                                                                       : Distance::OtherRegion;
}

bool PeerTable::add(const std::string &udpAddress, TimePoint now)
{
    if (udpAddress == options_.ownAddress)
        return false;
    return peers_.try_emplace(udpAddress, Peer{ .addedAt = now }).second;
}

void PeerTable::updatePeer(Peer &peer, const PeerInfo &info, TimePoint now)
{
    peer.lastHeartbeatAt = now;
    peer.info = info;
}

void PeerTable::recordHeartbeat(const PeerInfo &peer, TimePoint now)
{
    const auto found = peers_.find(peer.udpAddress);
    if (found == peers_.end())
        return;
    updatePeer(found->second, peer, now);
    found->second.lastDirectHeartbeatAt = now;
}

void PeerTable::recordRelayedHeartbeat(const PeerInfo &peer, TimePoint now)
{
    const auto found = peers_.find(peer.udpAddress);
    if (found == peers_.end() || peer.heartbeatCounter <= found->second.info.heartbeatCounter)
        return;
    const bool readsStore = found->second.info.readsStore;
    updatePeer(found->second, peer, now);
    found->second.info.readsStore = readsStore;
}

std::vector<std::string> PeerTable::removeSilentPeers(TimePoint now)
{
    std::vector<std::string> removed;
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (now - std::max(it->second.lastHeartbeatAt, it->second.addedAt)
            <= kSilentPeerRetention) {
            ++it;
            continue;
        }
        removed.push_back(it->first);
        it = peers_.erase(it);
    }
    return removed;
}

milliseconds PeerTable::liveTimeout() const
{
    return std::max(kLiveTimeout, kLiveTimeoutPerPeer * static_cast<int>(peers_.size()));
}

bool PeerTable::isLive(const Peer &peer, TimePoint now) const
{
    return peer.lastHeartbeatAt != TimePoint() && now - peer.lastHeartbeatAt < liveTimeout();
}

unsigned PeerTable::livePeerCount(TimePoint now) const
{
    return static_cast<unsigned>(
            std::count_if(peers_.begin(), peers_.end(),
                          [&](const auto &entry) { return isLive(entry.second, now); }));
}

std::vector<PeerInfo> PeerTable::livePeers(TimePoint now) const
{
    std::vector<PeerInfo> result;
    for (const auto &[address, peer] : peers_) {
        if (isLive(peer, now))
            result.push_back(peer.info);
    }
    return result;
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
        const bool recent = peer.lastDirectHeartbeatAt != TimePoint()
                            && now - peer.lastDirectHeartbeatAt < kReaderStateLifetime;
        if (recent && peer.info.readsStore && peer.info.failureDomain == options_.failureDomain)
            result.push_back(peer.info);
    }
    return result;
}

HeartbeatTargets PeerTable::heartbeatTargets(unsigned round, TimePoint now,
                                             std::mt19937_64 &random) const
{
    const bool includeSilent = round % kSilentPeerInterval == 0 || round <= kSilentPeerInterval;
    std::array<std::vector<const std::string *>, kDistances> due;
    std::size_t count = 0;
    for (const auto &[address, peer] : peers_) {
        if (!includeSilent && !isLive(peer, now))
            continue;
        due[static_cast<std::size_t>(distanceTo(peer.info.failureDomain))].push_back(&address);
        ++count;
    }
    const bool toAll = count <= kFullMeshPeers;
    HeartbeatTargets targets;
    // From the farthest to the nearest group: targets that one group lacks are taken from the
    // nearer ones.
    std::size_t wanted = 0;
    for (std::size_t distance = kDistances; distance-- > 0;) {
        const auto &group = due[distance];
        wanted += kFanOutByDistance[distance];
        const std::size_t taken = toAll ? group.size() : std::min(group.size(), wanted);
        std::vector<const std::string *> picked;
        std::sample(group.begin(), group.end(), std::back_inserter(picked), taken, random);
        wanted -= std::min(wanted, taken);
        const bool isFar = static_cast<Distance>(distance) == Distance::OtherRegion;
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

std::vector<PeerInfo> PeerTable::bootstrapPeers(const std::string &failureDomain, TimePoint now,
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
    result.resize(std::min(result.size(), kMaxBootstrapPeers));
    return result;
}

std::vector<PeerInfo> PeerTable::relayedHeartbeats(TimePoint now, std::mt19937_64 &random) const
{
    std::vector<const Peer *> fresh;
    for (const auto &[address, peer] : peers_) {
        if (peer.lastHeartbeatAt != TimePoint() && now - peer.lastHeartbeatAt < kMaxRelayedAge)
            fresh.push_back(&peer);
    }
    std::vector<const Peer *> picked;
    std::sample(fresh.begin(), fresh.end(), std::back_inserter(picked),
                peers_.size() > kFullMeshPeers ? kMaxRelayedHeartbeats : kMaxRelayedInSmallFleet,
                random);
    std::vector<PeerInfo> result;
    result.reserve(picked.size());
    for (const Peer *peer : picked)
        result.push_back(peer->info);
    return result;
}

} // namespace auburn::peers
