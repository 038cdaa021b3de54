#include "auburn/mesh/gossipcore.h"

#include "celldigest.h"
#include "failuredomaintable.h"
#include "marktables.h"
#include "membertable.h"
#include "unsignedmilliseconds.h"

#include <algorithm>
#include <utility>

namespace auburn {

namespace {

using std::chrono::milliseconds;

// The caller is told of a higher revision again if this daemon has not reached it by then.
constexpr milliseconds kRevisionNotifyInterval{ 1000 };
// Initial value of times of last events: so far in the past that no rate limit applies.
constexpr milliseconds kDistantPast{ -3600000 };

// Returns the heartbeat to start with. It is derived from the wall clock so that the heartbeats of
// all members are close together and their distances from the base are encoded in one byte. Nothing
// else depends on it.
std::uint32_t initialHeartbeat(GossipTime now)
{
    return static_cast<std::uint32_t>(std::chrono::floor<std::chrono::seconds>(now.wall).count());
}

} // namespace

GossipCore::GossipCore(GossipOptions options, GossipTime now)
    : options_(std::move(options))
    , random_(options_.randomSeed)
    , members_(std::make_unique<MemberTable>(
              MemberTable::Limits{ .failureTimeout = options_.failureTimeout,
                                   .suspicionTimeout = options_.suspicionTimeout,
                                   .memberRetention = options_.memberRetention,
                                   .maxMembers = options_.maxMembers },
              options_.selfId, options_.incarnation, options_.endpoint, initialHeartbeat(now)))
    , leavingMarks_(std::make_unique<LeavingMarkTable>(options_.leavingMarkLifetime,
                                                       options_.maxLeavingMarks))
    , crashMarks_(
              std::make_unique<CrashMarkTable>(options_.crashMarkLifetime, options_.maxCrashMarks))
    , failureDomains_(std::make_unique<FailureDomainTable>(
              options_.failureDomain, options_.region,
              options_.failureTimeout + 2 * options_.intraRegionInterval,
              options_.failureTimeout + 2 * options_.interRegionInterval,
              options_.failureDomainRetention))
    , now_(now)
    , nextSeedProbe_(now.monotonic)
    , nextRandomPeer_(now.monotonic + options_.randomPeerInterval)
    , lastUrgentUpdate_(kDistantPast)
    , lastIncarnationChange_(kDistantPast)
    , ownDigestBuiltAt_(kDistantPast)
    , notifiedAt_(kDistantPast)
{
    // Random offset of the first round, so that daemons that start together do not run their rounds
    // at the same time.
    const auto period = static_cast<std::size_t>(options_.roundInterval.count());
    nextRound_ = now.monotonic + milliseconds(randomBelow(period / 4 + 1));
}

GossipCore::~GossipCore() = default;

std::size_t GossipCore::randomBelow(std::size_t bound) const
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

// A gap longer than the failure timeout means that this process did not run. That time is excluded
// from failure detection. The other members have declared this daemon dead meanwhile, so it rejoins
// with a new incarnation.
void GossipCore::advanceTime(GossipTime now)
{
    const milliseconds gap = now.monotonic - now_.monotonic;
    now_ = now;
    if (gap > options_.failureTimeout) {
        members_->excludePause(gap);
        failureDomains_->excludePause(gap);
        startNewIncarnation();
    }
    members_->expire(now.monotonic);
    failureDomains_->expire(now.monotonic);
}

void GossipCore::tick(GossipTime now)
{
    advanceTime(now);
    if (now.monotonic >= nextRound_) {
        nextRound_ = std::max(nextRound_ + options_.roundInterval,
                              now.monotonic + options_.roundInterval / 2);
        runGossipRound();
    }
    sendUrgentUpdate();
}

milliseconds GossipCore::nextTick() const
{
    if (urgentUpdatePending_)
        return std::min(nextRound_, lastUrgentUpdate_ + options_.urgentUpdateInterval);
    return nextRound_;
}

void GossipCore::runGossipRound()
{
    leavingMarks_->expire(now_.wall);
    crashMarks_->expire(now_.wall);
    members_->incrementHeartbeat();
    publishLoads();
    refreshActivePeers();
    // Round-robin order, so that no connection is idle for long.
    const std::size_t pushes = std::min<std::size_t>(activePeers_.size(), options_.fanout);
    for (std::size_t i = 0; i < pushes; ++i)
        push(*members_->findById(activePeers_[nextActivePeer_++ % activePeers_.size()]));
    if (activePeers_.empty() || now_.monotonic >= nextSeedProbe_)
        probeUnknownEndpoint();
    if (now_.monotonic >= nextRandomPeer_)
        pushToRandomPeer();
    if (isRelay())
        exchangeWithFailureDomains();
}

void GossipCore::publishLoads()
{
    if (!pendingLoads_)
        return;
    MemberRecord &self = members_->self();
    if (!sameCells(self.cells, *pendingLoads_)) {
        self.cells = std::move(*pendingLoads_);
        self.loadHeartbeat = self.heartbeat;
        members_->incrementVersion();
    }
    pendingLoads_.reset();
}

void GossipCore::startNewIncarnation()
{
    // Rate limit: members that keep reporting this daemon as dead must not cause a new incarnation
    // with every message.
    if (now_.monotonic - lastIncarnationChange_ < 2 * options_.failureTimeout)
        return;
    lastIncarnationChange_ = now_.monotonic;
    const auto wall = static_cast<std::uint64_t>(
            std::chrono::microseconds(std::max(now_.wall, milliseconds(0))).count());
    members_->replaceOwnIncarnation(wall);
    members_->self().lastHeartbeatAt = now_.monotonic;
}

void GossipCore::receive(const std::string &sender, const proto::Envelope &envelope, GossipTime now)
{
    advanceTime(now);
    if (sender == options_.selfId)
        return;
    if (envelope.has_gossip())
        receiveGossip(sender, envelope.gossip());
    else if (envelope.has_failure_domain_digests())
        receiveFailureDomainDigests(sender, envelope.failure_domain_digests());
    sendUrgentUpdate();
}

// Looks for a member with a higher configuration revision. Prefers the sender, which is known to be
// reachable, over the member with the highest revision. If there is no such member, a relay looks
// for a contact of a failure domain in which some daemon has a higher revision.
void GossipCore::findHigherRevision(const std::string &sender)
{
    const std::uint64_t own = members_->self().configRevision;
    HigherRevision best{ .revision = own };
    for (const auto &entry : members_->records()) {
        const MemberRecord &record = entry.second;
        if (!members_->isPeer(record) || record.configRevision <= own)
            continue;
        if (record.id == sender) {
            best = { .peer = record.id, .revision = record.configRevision };
            break;
        }
        if (record.configRevision > best.revision
            || (record.configRevision == best.revision && randomBelow(2) == 0))
            best = { .peer = record.id, .revision = record.configRevision };
    }
    if (best.peer.empty() && isRelay()) {
        for (const auto &entry : failureDomains_->entries()) {
            const proto::FailureDomainDigest &digest = entry.second.digest;
            if (digest.max_config_revision() > best.revision && digest.contacts_size() > 0)
                best = { .peer = digest.contacts(0).id(),
                         .revision = digest.max_config_revision() };
        }
    }
    const bool shouldNotify = best.revision > notifiedRevision_
                              || now_.monotonic - notifiedAt_ >= kRevisionNotifyInterval;
    if (best.peer.empty() || !shouldNotify)
        return;
    notifiedRevision_ = best.revision;
    notifiedAt_ = now_.monotonic;
    higherRevision_ = best;
}

void GossipCore::setStatus(MemberStatus status, GossipTime now)
{
    advanceTime(now);
    MemberRecord &self = members_->self();
    if (status == MemberStatus::Dead || self.status == status)
        return;
    self.status = status;
    self.urgent = true;
    members_->incrementHeartbeat();
    members_->incrementVersion();
    scheduleUrgentUpdate();
    // Sent without rate limit, because the process may exit at any time after Left.
    lastUrgentUpdate_ = kDistantPast;
    sendUrgentUpdate();
}

void GossipCore::setConfigRevision(std::uint64_t revision, GossipTime now)
{
    advanceTime(now);
    MemberRecord &self = members_->self();
    // A daemon never moves to a lower revision.
    if (revision <= self.configRevision)
        return;
    self.configRevision = revision;
    self.urgent = true;
    members_->incrementHeartbeat();
    members_->incrementVersion();
    scheduleUrgentUpdate();
    sendUrgentUpdate();
}

void GossipCore::setCellLoads(const std::vector<CellLoad> &loads)
{
    std::vector<proto::CellDigest> digests;
    digests.reserve(loads.size());
    for (const CellLoad &load : loads)
        digests.push_back(toCellDigest(load));
    pendingLoads_ = std::move(digests);
}

void GossipCore::setPlatformList(const std::vector<ListedMember> &list, GossipTime now)
{
    advanceTime(now);
    listSeeds_.clear();
    for (const ListedMember &listed : list) {
        if (listed.kind == ListedKind::Daemon) {
            if (!listed.leaving && listed.endpoint != options_.endpoint)
                listSeeds_.push_back(Seed{ .endpoint = listed.endpoint,
                                           .failureDomain = listed.failureDomain,
                                           .region = listed.region });
            continue;
        }
        const std::uint64_t since = leavingMarks_->leavingSince(listed.name);
        const bool clearMark = since != 0 && !listed.leaving
                               && since + toUnsignedMilliseconds(options_.platformListLag)
                                          < toUnsignedMilliseconds(now.wall);
        if (listed.leaving || clearMark)
            markLeaving(listed.name, listed.leaving, now);
    }
}

void GossipCore::markLeaving(const std::string &backendServer, bool leaving, GossipTime now)
{
    advanceTime(now);
    if (!leavingMarks_->set(backendServer, leaving, now.wall))
        return;
    members_->incrementVersion();
    scheduleUrgentUpdate();
    proto::LeavingMark &mark = *urgentMarks_.add_leaving();
    mark.set_backend_server(backendServer);
    mark.set_leaving(leaving);
    mark.set_version(leavingMarks_->versionOf(backendServer));
    sendUrgentUpdate();
}

void GossipCore::suspect(const std::string &peer, GossipTime now)
{
    advanceTime(now);
    MemberRecord *record = members_->findById(peer);
    if (record == nullptr || record->dead || !members_->isPeer(*record))
        return;
    record->suspected = true;
    record->urgent = true;
    // A live peer replies and thereby refutes the suspicion.
    push(*record);
    scheduleUrgentUpdate();
    sendUrgentUpdate();
}

void GossipCore::addCrash(std::uint64_t fingerprint, GossipTime now)
{
    advanceTime(now);
    const std::uint32_t reporter = MemberTable::keyOf(options_.selfId, 0);
    *urgentMarks_.add_crashes() = crashMarks_->add(fingerprint, reporter, now.wall);
    scheduleUrgentUpdate();
    sendUrgentUpdate();
}

unsigned GossipCore::crashCount(std::uint64_t fingerprint, GossipTime now) const
{
    return crashMarks_->crashCount(fingerprint, now.wall);
}

std::vector<GossipMessage> GossipCore::takeMessages()
{
    return std::exchange(outbox_, {});
}

std::optional<HigherRevision> GossipCore::takeHigherRevision()
{
    return std::exchange(higherRevision_, std::nullopt);
}

std::size_t GossipCore::memberCount() const
{
    return members_->size();
}

std::size_t GossipCore::leavingMarkCount() const
{
    return leavingMarks_->size();
}

std::size_t GossipCore::crashMarkCount() const
{
    return crashMarks_->size();
}

std::uint64_t GossipCore::incarnation() const
{
    return members_->self().incarnation;
}

std::string GossipCore::endpointOf(const std::string &peerId) const
{
    const MemberRecord *record = members_->findById(peerId);
    return record == nullptr ? std::string() : record->endpoint;
}

void GossipCore::enqueueMessage(const std::string &peerId, const std::string &endpoint,
                                proto::Gossip gossip)
{
    GossipMessage message{ .peer = peerId, .endpoint = endpoint };
    gossip.set_failure_domain(options_.failureDomain);
    *message.envelope.mutable_gossip() = std::move(gossip);
    outbox_.push_back(std::move(message));
}

void GossipCore::enqueueMessage(const std::string &peerId, const std::string &endpoint,
                                proto::FailureDomainDigests digests)
{
    *digests.mutable_known() = failureDomains_->versions();
    GossipMessage message{ .peer = peerId, .endpoint = endpoint };
    *message.envelope.mutable_failure_domain_digests() = std::move(digests);
    outbox_.push_back(std::move(message));
}

} // namespace auburn
