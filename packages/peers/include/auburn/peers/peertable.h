// PeerTable tracks the other daemons that this one knows, which of them are live, and which receive
// the next heartbeat.
//
// In a small fleet every heartbeat goes to every daemon. In a large one it goes to a few daemons
// and relays recent heartbeats of some others, so that each daemon learns soon enough that another
// one is live without hearing from it directly. The heartbeat counter rises with every heartbeat
// that its daemon sends, so relaying an old heartbeat cannot make a dead daemon look live.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace auburn::peers {

// Up to this number of other daemons, every heartbeat goes to all of them and includes the load at
// each server.
inline constexpr std::size_t kFullMeshPeers = 12;

// What a daemon states about itself in its heartbeats.
struct PeerInfo
{
    std::string vm;
    std::string udpAddress;
    std::string failureDomain;
    // CPU share in thousandths of a core.
    unsigned cpuMillis = 0;
    // False while the daemon shuts down.
    bool serving = false;
    // The daemon reads the store and the store answers. Known only from the daemon's own
    // heartbeats, not from relayed ones.
    bool readsStore = false;
    // Incremented with every heartbeat; a restarted daemon begins with a higher value.
    std::uint64_t heartbeatCounter = 0;
};

// UDP addresses of the recipients of a heartbeat, in the sender's region and in other regions.
struct HeartbeatTargets
{
    std::vector<std::string> sameRegion;
    std::vector<std::string> otherRegions;
};

// Maximum number of relayed heartbeats in a message to another region.
inline constexpr std::size_t kMaxRelayedToOtherRegions = 5;

class PeerTable
{
public:
    using Clock = std::chrono::steady_clock;
    using TimePoint = Clock::time_point;

    struct Options
    {
        std::string ownAddress;
        std::string failureDomain;
        // Maps each failure domain to its region; one that is missing is a region of its own.
        std::map<std::string, std::string> regions;
    };

    explicit PeerTable(Options options);

    // Returns false if the address is known or is this daemon's own.
    bool add(const std::string &udpAddress, TimePoint now);
    // Records a heartbeat received from the peer itself.
    void recordHeartbeat(const PeerInfo &peer, TimePoint now);
    // Records a heartbeat relayed by another daemon; ignored unless its counter is higher than the
    // known one.
    void recordRelayedHeartbeat(const PeerInfo &peer, TimePoint now);
    // Removes daemons that have been silent for a long time and returns their addresses.
    std::vector<std::string> removeSilentPeers(TimePoint now);

    std::size_t size() const { return peers_.size(); }
    unsigned livePeerCount(TimePoint now) const;
    bool isLargeFleet(TimePoint now) const { return livePeerCount(now) > kFullMeshPeers; }
    std::vector<PeerInfo> livePeers(TimePoint now) const;
    std::vector<PeerInfo> livePeersIn(const std::string &failureDomain, TimePoint now) const;

    // Returns the daemons of this failure domain that recently announced, in their own heartbeats,
    // that they read the store.
    std::vector<PeerInfo> storeReaders(TimePoint now) const;

    // Returns the recipients of the regular heartbeat of this round. In a small fleet these are all
    // daemons. In a large one they are a few random ones, most of them nearby, because liveness
    // matters most to the daemons of the same failure domain and traffic to other regions is
    // expensive. Daemons that are silent or were never heard from are included only in some rounds.
    HeartbeatTargets heartbeatTargets(unsigned round, TimePoint now, std::mt19937_64 &random) const;
    // Returns the live daemons of this failure domain.
    std::vector<std::string> domainTargets(TimePoint now) const;
    std::vector<std::string> liveTargets(TimePoint now) const;
    // Returns a random sample of daemons with recent heartbeats to relay; in a small fleet only
    // one, which introduces daemons that were added.
    std::vector<PeerInfo> relayedHeartbeats(TimePoint now, std::mt19937_64 &random) const;
    // Returns live daemons for a daemon that has just started, those of its failure domain first.
    std::vector<PeerInfo> bootstrapPeers(const std::string &failureDomain, TimePoint now,
                                         std::mt19937_64 &random) const;

private:
    struct Peer
    {
        // Time of the newest direct or relayed heartbeat; the clock's epoch if there was none.
        TimePoint lastHeartbeatAt;
        TimePoint lastDirectHeartbeatAt;
        TimePoint addedAt;
        PeerInfo info;
    };

    void updatePeer(Peer &peer, const PeerInfo &info, TimePoint now);
    bool isLive(const Peer &peer, TimePoint now) const;
    std::chrono::milliseconds liveTimeout() const;

    // Network distance of a failure domain.
    enum class Distance {
        OwnDomain,
        OwnRegion,
        OtherRegion,
    };
    static constexpr std::size_t kDistances = 3;

    Distance distanceTo(const std::string &failureDomain) const;
    std::string regionOf(const std::string &failureDomain) const;

    const Options options_;
    std::map<std::string, Peer> peers_;
};

} // namespace auburn::peers
