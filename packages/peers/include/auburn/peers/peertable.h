// PeerTable: the other daemons that this one knows, which of them live, and to whom a beat goes.
//
// In a small fleet every beat goes to every daemon. In a large one it goes to a few, and carries
// fresh heartbeats of some other daemons, so that each daemon learns soon enough that another
// one lives without hearing from it. A heartbeat is a number that its daemon raises with every
// beat: one that does not rise any more cannot make a dead daemon look alive.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace auburn::peers {

// Up to this number of other daemons every beat goes to all of them, with the load at each server.
inline constexpr std::size_t kFullMeshPeers = 12;

// What a daemon tells of itself.
struct PeerInfo
{
    std::string vm;
    std::string udpAddress;
    std::string failureDomain;
    // Share of a core, in thousandths.
    unsigned cpuMillis = 0;
    // Not stopping.
    bool serving = false;
    // The daemon reads the store, and the store answers it; known only at first hand.
    bool readsStore = false;
    // Raised with every beat; a daemon that was started again begins higher.
    std::uint64_t heartbeatCounter = 0;
};

// Addresses for a beat: daemons of the sender's region, and of other regions.
struct HeartbeatTargets
{
    std::vector<std::string> sameRegion;
    std::vector<std::string> otherRegions;
};

// A beat to another region carries at most so many mentions.
inline constexpr std::size_t kMentionsInFarBeat = 5;

class PeerTable
{
public:
    using Clock = std::chrono::steady_clock;
    using TimePoint = Clock::time_point;

    struct Options
    {
        std::string ownAddress;
        std::string failureDomain;
        // Region of each failure domain; one that is missing is a region of its own.
        std::map<std::string, std::string> regions;
    };

    explicit PeerTable(Options options);

    // False if the address is known or this daemon's own.
    bool add(const std::string &beatAddress, TimePoint now);
    // A beat of the peer has arrived.
    void recordHeartbeat(const PeerInfo &peer, TimePoint now);
    // Another daemon has told of the peer; counts only if its heartbeat is newer.
    void recordRelayedHeartbeat(const PeerInfo &peer, TimePoint now);
    // Forgets daemons that have been silent for long; their addresses.
    std::vector<std::string> removeSilentPeers(TimePoint now);

    std::size_t size() const { return peers_.size(); }
    unsigned livePeerCount(TimePoint now) const;
    bool isLargeFleet(TimePoint now) const { return livePeerCount(now) > kFullMeshPeers; }
    std::vector<PeerInfo> livePeersIn(const std::string &failureDomain, TimePoint now) const;

    // Daemons of this failure domain that said a moment ago, themselves, that they read the store.
    std::vector<PeerInfo> storeReaders(TimePoint now) const;

    // Addresses for the regular beat of this round: all in a small fleet, else a few at random,
    // most of them near, since who lives in a failure domain decides there and the way to other
    // regions is dear. Daemons that were never heard or are silent get their turn now and then.
    HeartbeatTargets beatTargets(unsigned round, TimePoint now, std::mt19937_64 &random) const;
    // Live daemons of this failure domain.
    std::vector<std::string> domainTargets(TimePoint now) const;
    std::vector<std::string> liveTargets(TimePoint now) const;
    // Daemons with a fresh heartbeat to tell others of, at random; in a small fleet only one, which
    // introduces daemons that were added.
    std::vector<PeerInfo> mentions(TimePoint now, std::mt19937_64 &random) const;
    // Live daemons for a newcomer, those of its failure domain first.
    std::vector<PeerInfo> introductions(const std::string &failureDomain, TimePoint now,
                                        std::mt19937_64 &random) const;

private:
    struct Peer
    {
        // Of the newest heartbeat; epoch if none is known.
        TimePoint heard;
        TimePoint heardDirectly;
        TimePoint addedAt;
        PeerInfo info;
    };

    void take(Peer &peer, const PeerInfo &info, TimePoint now);
    bool isLive(const Peer &peer, TimePoint now) const;
    std::chrono::milliseconds liveTime() const;

    // How far away a failure domain is.
    enum class Distance {
        OwnDomain,
        OwnRegion,
        Far,
    };
    static constexpr std::size_t kDistances = 3;

    Distance distanceTo(const std::string &failureDomain) const;
    std::string regionOf(const std::string &failureDomain) const;

    const Options options_;
    std::map<std::string, Peer> peers_;
};

} // namespace auburn::peers
