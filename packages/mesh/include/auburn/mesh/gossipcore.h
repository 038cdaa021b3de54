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

class CrashMarkTable;
class LeavingMarkTable;
class MemberTable;
class FailureDomainTable;
struct MemberRecord;
struct MemberRow;

// A daemon whose heartbeat has not advanced for this long is declared dead (design, section 2.2).
constexpr std::chrono::milliseconds kFailureTimeout{ 5000 };

// GossipTime is a point in time on two clocks. Durations are measured on the monotonic clock of one
// process. The wall clock orders and expires marks, whose lifetime of minutes is long compared to
// the clock skew between machines. It also supplies the initial heartbeat and lower bounds for new
// incarnations and digest versions.
struct GossipTime
{
    std::chrono::milliseconds monotonic{ 0 };
    // Since the epoch.
    std::chrono::milliseconds wall{ 0 };
};

// GossipOptions holds the identity of this daemon and the tuning parameters of the protocol.
struct GossipOptions
{
    std::string selfId;
    std::string failureDomain;
    std::string region;
    // Peer endpoint of this daemon (tcp://IP:PORT).
    std::string endpoint;
    // Start time of this process in microseconds since the epoch. It must be higher than in the
    // previous run, since members keep the entry with the highest incarnation.
    std::uint64_t incarnation = 0;
    // Peer endpoints from the settings, in this failure domain or others. They are contacted until
    // members are known, and to rejoin after a partition.
    std::vector<std::string> seeds;
    std::uint64_t randomSeed = 0;

    std::chrono::milliseconds roundInterval{ 1000 };
    // Number of pushes per round.
    unsigned fanout = 2;
    // Number of peers that receive pushes. Pushes go to a fixed subset of the peers because the
    // transport heartbeats of each additional open connection cost more than a push.
    unsigned activePeerCount = 4;
    std::chrono::milliseconds failureTimeout = kFailureTimeout;
    // Replaces failureTimeout for a member that any member suspects to have failed.
    std::chrono::milliseconds suspicionTimeout{ 3000 };
    // Members that are dead or have left are removed this long after their last heartbeat.
    std::chrono::milliseconds memberRetention{ 60000 };
    // Interval between probes of a random endpoint that belongs to no live member.
    std::chrono::milliseconds seedProbeInterval{ 5000 };
    // Interval between pushes to a random member, which bypass the fixed peers when links to them
    // fail. At 20 s, live members were declared dead when a quarter of all directed links were
    // down.
    std::chrono::milliseconds randomPeerInterval{ 5000 };

    // Intervals between digest exchanges with each failure domain of the same region and of other
    // regions.
    std::chrono::milliseconds intraRegionInterval{ 1000 };
    std::chrono::milliseconds interRegionInterval{ 5000 };
    // A failure domain is removed if no newer digest of it arrives for this long.
    std::chrono::milliseconds failureDomainRetention{ 3600000 };
    // Number of members per failure domain that exchange digests with other failure domains.
    unsigned relayCount = 2;

    // Minimum interval between two urgent updates, so that a burst of changes is sent in a few
    // messages.
    std::chrono::milliseconds urgentUpdateInterval{ 100 };
    std::chrono::milliseconds leavingMarkLifetime{ 600000 };
    // Upper bound of the staleness of the platform list. The list clears a leaving mark only if the
    // mark is older than this.
    std::chrono::milliseconds platformListLag{ 30000 };
    std::chrono::milliseconds crashMarkLifetime{ 600000 };
    unsigned maxLeavingMarks = 4096;
    unsigned maxCrashMarks = 256;
    unsigned maxMembers = 1024;
    // Maximum size of a gossip message. Data that does not fit follows in later rounds.
    std::size_t maxMessageBytes = 32UL * 1024;
};

// GossipMessage is a message that the caller has to send. If the daemon at the endpoint is not
// known yet, peer is "seed:" followed by the endpoint.
struct GossipMessage
{
    std::string peer;
    std::string endpoint;
    proto::Envelope envelope;
};

// HigherRevision is a configuration revision that is higher than that of this daemon, and the peer
// to pull it from. The peer is the member that has the revision, or a contact of a failure domain
// in which some daemon has it.
struct HigherRevision
{
    std::string peer;
    std::uint64_t revision = 0;
};

// GossipCore implements the two-level gossip protocol for membership and load as a state machine
// without sockets, clocks or threads.
//
// Every call takes the current time, and the caller collects the messages to send. A test or a
// benchmark can therefore run hundreds of members in one thread, with any message loss, delay or
// process pause.
//
// Inside a failure domain, a member pushes a table of versions to a few peers per round. The peer
// replies with every entry of which it has a newer version and requests those that it lacks.
// Membership rows take 9 to 11 bytes, so that a full table fits into one message. Definitions (id
// and endpoint), loads and marks are sent only to a peer that lacks them. Between failure domains,
// relays exchange one digest per failure domain.
class GossipCore
{
public:
    GossipCore(GossipOptions options, GossipTime now);
    ~GossipCore();
    GossipCore(const GossipCore &) = delete;
    GossipCore &operator=(const GossipCore &) = delete;

    // Runs the periodic work that is due at the given time.
    void tick(GossipTime now);
    // Returns the monotonic time at which tick() has to be called next.
    std::chrono::milliseconds nextTick() const;
    // Handles a received message. Kinds other than Gossip and FailureDomainDigests are ignored.
    void receive(const std::string &sender, const proto::Envelope &envelope, GossipTime now);

    void setStatus(MemberStatus status, GossipTime now);
    void setConfigRevision(std::uint64_t revision, GossipTime now);
    // Replaces the loads of the cells that this daemon owns. The next round publishes them if they
    // have changed.
    void setCellLoads(const std::vector<CellLoad> &loads);
    // Applies the platform list: daemons become seeds, and leaving marks of backend servers are set
    // or cleared.
    void setPlatformList(const std::vector<ListedMember> &list, GossipTime now);
    // Sets or clears the leaving mark of a backend server.
    void markLeaving(const std::string &backendServer, bool leaving, GossipTime now);
    // Marks a peer that does not respond as suspected. A live peer refutes the suspicion with its
    // next heartbeat.
    void suspect(const std::string &peer, GossipTime now);
    // Records one crash of a backend server that the request with this fingerprint caused.
    void addCrash(std::uint64_t fingerprint, GossipTime now);
    // Returns the number of crashes in this failure domain that the fingerprint is known to have
    // caused.
    unsigned crashCount(std::uint64_t fingerprint, GossipTime now) const;

    // Returns true if this daemon is one of the relays of its failure domain.
    bool isRelay();
    // Returns the messages that were queued since the last call.
    std::vector<GossipMessage> takeMessages();
    // Returns the peer to pull configuration from, if one was found since the last call.
    std::optional<HigherRevision> takeHigherRevision();
    // Returns the current view, which is the same object as long as nothing has changed.
    std::shared_ptr<const MemberView> view();

    // Table sizes and the own incarnation, for metrics and tests.
    std::size_t memberCount() const;
    std::size_t leavingMarkCount() const;
    std::size_t crashMarkCount() const;
    std::uint64_t incarnation() const;

private:
    // An endpoint through which the daemon can join or rejoin.
    struct Seed
    {
        std::string endpoint;
        // Empty for seeds from settings.
        std::string failureDomain;
        std::string region;
    };

    void advanceTime(GossipTime now);
    void runGossipRound();
    void publishLoads();
    void refreshActivePeers();
    void pushToRandomPeer();
    void probeUnknownEndpoint();
    std::vector<std::string> unknownEndpoints(bool relay) const;
    void startNewIncarnation();

    // Messages inside the failure domain.
    void receiveGossip(const std::string &sender, const proto::Gossip &gossip);
    void push(const MemberRecord &peer);
    void requestKeys(const std::string &sender);
    void probeEndpoint(const std::string &endpoint);
    bool mergeRows(const std::string &sender, const std::vector<MemberRow> &rows,
                   std::vector<std::uint32_t> &unknown);
    void replyToPush(const std::string &sender, const proto::Gossip &push,
                     const std::vector<MemberRow> &rows, const std::vector<std::uint32_t> &unknown,
                     bool senderWasDead);
    void handleReply(const std::string &sender, const proto::Gossip &reply);
    void addNewerRows(const std::vector<MemberRow> &peerRows, proto::Gossip &message) const;
    void addLoad(proto::Gossip &message, const MemberRecord &record) const;
    void reconcileLoads(const std::vector<MemberRow> &peerRows, proto::Gossip &message) const;
    void addRequestedRecords(const proto::Gossip &request, proto::Gossip &message) const;
    void addMarks(proto::Gossip &message, std::uint64_t peerDigest) const;
    std::uint64_t marksDigest() const;
    void mergeMarks(const proto::Gossip &gossip);
    void scheduleUrgentUpdate();
    void sendUrgentUpdate();
    void findHigherRevision(const std::string &sender);

    // Messages between failure domains.
    void receiveFailureDomainDigests(const std::string &sender,
                                     const proto::FailureDomainDigests &digests);
    void replyToRemotePush(const std::string &sender);
    void exchangeWithFailureDomains();
    void pushToFailureDomain(const std::string &failureDomain);
    const proto::FailureDomainDigest &ownDigest();
    proto::FailureDomainDigest buildOwnDigest();

    void enqueueMessage(const std::string &peerId, const std::string &endpoint,
                        proto::Gossip gossip);
    void enqueueMessage(const std::string &peerId, const std::string &endpoint,
                        proto::FailureDomainDigests digests);
    std::string endpointOf(const std::string &peerId) const;
    std::shared_ptr<const MemberView> makeView() const;
    std::vector<std::string> relays();
    std::size_t randomBelow(std::size_t bound) const;

    const GossipOptions options_;
    mutable std::mt19937_64 random_;
    std::unique_ptr<MemberTable> members_;
    std::unique_ptr<LeavingMarkTable> leavingMarks_;
    std::unique_ptr<CrashMarkTable> crashMarks_;
    std::unique_ptr<FailureDomainTable> failureDomains_;

    GossipTime now_;
    std::chrono::milliseconds nextRound_{ 0 };
    std::chrono::milliseconds nextSeedProbe_{ 0 };
    std::chrono::milliseconds nextRandomPeer_{ 0 };
    std::chrono::milliseconds lastUrgentUpdate_{ 0 };
    std::chrono::milliseconds lastIncarnationChange_{ 0 };
    // Time of the next digest exchange, by failure domain.
    std::map<std::string, std::chrono::milliseconds> nextExchange_;
    // Hash of the own contacts that each failure domain last reported, by failure domain.
    std::map<std::string, std::uint32_t> acknowledgedContactsHash_;
    proto::FailureDomainDigest ownDigest_;
    std::chrono::milliseconds ownDigestBuiltAt_{ 0 };

    std::vector<std::string> activePeers_;
    // Index in activePeers_ of the target of the next push, modulo the number of active peers.
    std::size_t nextActivePeer_ = 0;
    std::vector<Seed> listSeeds_;
    // Seeds from the settings that belong to other failure domains: failure domain by endpoint.
    std::map<std::string, std::string> remoteSeeds_;
    std::optional<std::vector<proto::CellDigest>> pendingLoads_;
    std::vector<GossipMessage> outbox_;
    // Marks to send with the next urgent update.
    proto::Gossip urgentMarks_;
    bool urgentUpdatePending_ = false;
    std::optional<HigherRevision> higherRevision_;
    std::uint64_t notifiedRevision_ = 0;
    std::chrono::milliseconds notifiedAt_{ 0 };
    std::shared_ptr<const MemberView> view_;
    std::uint64_t viewVersion_ = 0;
    std::vector<std::string> relays_;
    std::uint64_t relaysVersion_ = 0;
};

} // namespace auburn
