// GossipCore: the two-level gossip protocol as a state machine without sockets, clocks or threads.
//
// Every call takes the time; messages to send are collected and taken by the caller. A test or a
// bench can therefore run hundreds of members in one thread, with any loss, delay or freeze.
//
// Inside a failure domain, a member pushes a table of versions to a few peers per round. The peer
// replies with everything of which it has a newer version and asks for what it lacks. Membership
// rows are 9 to 11 bytes, so that a full table fits one message; definitions (id, endpoint), loads
// and marks travel only to a peer that lacks them. Between failure domains, relays exchange one
// digest per failure domain.
#pragma once

#include "auburn.pb.h"
#include "auburn/mesh/listedmember.h"
#include "auburn/mesh/memberview.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace auburn {

class CrashMarks;
class LeavingMarks;
class MemberTable;
class FailureDomainTable;
struct MemberRecord;
struct MemberRow;

// A daemon that misses heartbeats for this long is considered dead (design, section 2.2).
constexpr std::chrono::milliseconds kFailureTimeout{ 5000 };

// A point in time. Durations are measured on the monotonic clock of one process; the wall clock
// only orders marks, whose lifetime of minutes hides the skew between machines.
struct GossipTime
{
    std::chrono::milliseconds monotonic{ 0 };
    // Since the epoch.
    std::chrono::milliseconds wall{ 0 };
};

struct GossipOptions
{
    std::string selfId;
    std::string failureDomain;
    std::string region;
    // Peer endpoint of this daemon (tcp://IP:PORT).
    std::string endpoint;
    // Start time in microseconds since the epoch; must be higher than in the previous run.
    std::uint64_t incarnation = 0;
    // Peer endpoints from settings, of this failure domain or others; used until members are known
    // and to rejoin after a partition.
    std::vector<std::string> seeds;
    std::uint64_t randomSeed = 0;

    std::chrono::milliseconds roundPeriod{ 1000 };
    // Pushes per round.
    unsigned fanout = 2;
    // Pushes go to a fixed subset of the peers, because each additional open connection costs more
    // in heartbeats than a push.
    unsigned activePeers = 4;
    std::chrono::milliseconds failureTimeout = kFailureTimeout;
    // Replaces failureTimeout for a member that somebody suspects.
    std::chrono::milliseconds suspicionTimeout{ 3000 };
    // Dead and left members are removed after this time.
    std::chrono::milliseconds forgetAfter{ 60000 };
    // Interval at which an endpoint that is not known to be alive is contacted.
    std::chrono::milliseconds seedPeriod{ 5000 };
    // Interval of exchanges with a random member, which bypass the fixed peers where their links
    // are cut. At 20 s, members were falsely declared dead with a quarter of all directed links
    // cut.
    std::chrono::milliseconds randomPeerPeriod{ 5000 };

    // Digest exchange with each failure domain of the region, and of other regions.
    std::chrono::milliseconds regionPeriod{ 1000 };
    std::chrono::milliseconds interRegionPeriod{ 5000 };
    // A failure domain that was not heard of for this long is removed.
    std::chrono::milliseconds failureDomainForgetAfter{ 3600000 };
    unsigned relayCount = 2;

    // Shortest interval between two messages about urgent news, so that a burst shares messages.
    std::chrono::milliseconds urgentInterval{ 100 };
    std::chrono::milliseconds leavingMarkLifetime{ 600000 };
    // The platform list lags; it lifts a mark only if the mark is older than this.
    std::chrono::milliseconds listLag{ 30000 };
    std::chrono::milliseconds crashMarkLifetime{ 600000 };
    unsigned maxLeavingMarks = 4096;
    unsigned maxCrashMarks = 256;
    unsigned maxMembers = 1024;
    // Limit of one gossip message; what does not fit follows in later rounds.
    std::size_t maxMessageBytes = 32UL * 1024;
};

// A message to send. For an endpoint whose daemon is not known yet, peer is "seed:" + endpoint.
struct GossipMessage
{
    std::string peer;
    std::string endpoint;
    proto::Envelope envelope;
};

// A daemon that has a higher configuration revision than this one.
struct HigherRevision
{
    std::string peer;
    std::uint64_t revision = 0;
};

class GossipCore
{
public:
    GossipCore(GossipOptions options, GossipTime now);
    ~GossipCore();
    GossipCore(const GossipCore &) = delete;
    GossipCore &operator=(const GossipCore &) = delete;

    // Does the work that is due.
    void tick(GossipTime now);
    // Monotonic time at which tick() has something to do.
    std::chrono::milliseconds nextTick() const;
    // Handles a message; kinds other than Gossip and FailureDomainDigests are ignored.
    void receive(const std::string &sender, const proto::Envelope &envelope, GossipTime now);

    void setStatus(MemberStatus status, GossipTime now);
    void setConfigRevision(std::uint64_t revision, GossipTime now);
    // Loads of the cells that this daemon owns; published with the next round if changed.
    void setCellLoads(const std::vector<CellLoad> &loads);
    // The platform list. Daemons become seeds; backend servers' leaving marks are set and lifted.
    void setPlatformList(const std::vector<ListedMember> &list, GossipTime now);
    // Sets or lifts one backend server's leaving mark.
    void markLeaving(const std::string &backendServer, bool leaving, GossipTime now);
    // Reports that a peer does not answer; a live peer refutes it by its next heartbeats.
    void suspect(const std::string &peer, GossipTime now);
    // Counts one crash of a backend server caused by the request with this fingerprint.
    void addCrash(std::uint64_t fingerprint, GossipTime now);
    // Known crashes caused by the fingerprint in this failure domain.
    unsigned crashCount(std::uint64_t fingerprint, GossipTime now) const;

    // True if this daemon is one of the failure domain's relays.
    bool isRelay();
    // Messages collected since the last call.
    std::vector<GossipMessage> takeMessages();
    // The peer to pull configuration from, if one was found since the last call.
    std::optional<HigherRevision> takeHigherRevision();
    // The current view; the same object as long as nothing has changed.
    std::shared_ptr<const MemberView> view();

    // Sizes for metrics and tests.
    std::size_t memberCount() const;
    std::size_t leavingMarkCount() const;
    std::size_t crashMarkCount() const;
    std::uint64_t incarnation() const;

private:
    struct Seed
    {
        std::string endpoint;
        // Empty for seeds from settings.
        std::string failureDomain;
        std::string region;
    };

    void advance(GossipTime now);
    void runRound();
    void publishLoads();
    void refreshActivePeers();
    void pushToRandomPeer();
    void contactUnknownEndpoint();
    std::vector<std::string> unknownEndpoints(bool relay) const;
    void takeNewIncarnation();

    // Messages inside the failure domain.
    void receiveGossip(const std::string &sender, const proto::Gossip &gossip);
    void push(const MemberRecord &peer);
    void requestKeys(const std::string &sender);
    void greet(const std::string &endpoint);
    bool mergeRows(const std::string &sender, const std::vector<MemberRow> &rows,
                   std::vector<std::uint32_t> &unknown);
    void answerPush(const std::string &sender, const proto::Gossip &push,
                    const std::vector<MemberRow> &rows, const std::vector<std::uint32_t> &unknown,
                    bool senderWasDead);
    void answerReply(const std::string &sender, const proto::Gossip &reply);
    void addNewerRows(const std::vector<MemberRow> &peerRows, proto::Gossip &answer) const;
    void addLoad(proto::Gossip &answer, const MemberRecord &record) const;
    void compareLoads(const std::vector<MemberRow> &peerRows, proto::Gossip &answer) const;
    void addWanted(const proto::Gossip &request, proto::Gossip &answer) const;
    void addMarks(proto::Gossip &message, std::uint64_t peerDigest) const;
    std::uint64_t marksDigest() const;
    void mergeMarks(const proto::Gossip &gossip);
    void raiseUrgent();
    void sendUrgent();
    void findHigherRevision(const std::string &sender);

    // Messages between failure domains.
    void receiveFailureDomainDigests(const std::string &sender,
                                     const proto::FailureDomainDigests &digests);
    void answerForeignPush(const std::string &sender);
    void exchangeWithFailureDomains();
    void pushToFailureDomain(const std::string &failureDomain);
    const proto::FailureDomainDigest &ownDigest();
    proto::FailureDomainDigest makeOwnDigest();

    void emit(const std::string &peerId, const std::string &endpoint, proto::Gossip gossip);
    void emit(const std::string &peerId, const std::string &endpoint,
              proto::FailureDomainDigests digests);
    std::string endpointOf(const std::string &peerId) const;
    std::shared_ptr<const MemberView> makeView() const;
    std::vector<std::string> relays();
    std::size_t randomBelow(std::size_t bound) const;

    const GossipOptions options_;
    mutable std::mt19937_64 random_;
    std::unique_ptr<MemberTable> members_;
    std::unique_ptr<LeavingMarks> leaving_;
    std::unique_ptr<CrashMarks> crashes_;
    std::unique_ptr<FailureDomainTable> failureDomains_;

    GossipTime now_;
    std::chrono::milliseconds nextRound_{ 0 };
    std::chrono::milliseconds nextSeedContact_{ 0 };
    std::chrono::milliseconds nextRandomPeer_{ 0 };
    std::chrono::milliseconds lastUrgent_{ 0 };
    std::chrono::milliseconds lastIncarnation_{ 0 };
    // Next exchange with each other failure domain.
    std::map<std::string, std::chrono::milliseconds> failureDomainDue_;
    // Hash of our contacts that each failure domain has last shown to know.
    std::map<std::string, std::uint32_t> contactsKnownBy_;
    proto::FailureDomainDigest ownDigest_;
    std::chrono::milliseconds ownDigestMade_{ 0 };

    std::vector<std::string> activePeers_;
    // Position in activePeers_ of the next push.
    std::size_t nextActivePeer_ = 0;
    std::vector<Seed> listSeeds_;
    // Seeds from settings that turned out to belong to other failure domains, with their place.
    std::map<std::string, std::string> foreignSeeds_;
    std::optional<std::vector<proto::CellDigest>> pendingLoads_;
    std::vector<GossipMessage> outbox_;
    // Marks to pass on at once.
    proto::Gossip urgentMarks_;
    bool urgentPending_ = false;
    std::optional<HigherRevision> higherRevision_;
    std::uint64_t notifiedRevision_ = 0;
    std::chrono::milliseconds notifiedAt_{ 0 };
    std::shared_ptr<const MemberView> view_;
    std::uint64_t viewVersion_ = 0;
    std::vector<std::string> relays_;
    std::uint64_t relaysVersion_ = 0;
};

} // namespace auburn
