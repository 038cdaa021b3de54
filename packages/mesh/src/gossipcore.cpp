#include "auburn/mesh/gossipcore.h"

#include "auburn/core/hash.h"
#include "failuredomaintable.h"
#include "marktables.h"
#include "membertable.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace auburn {

namespace {

using std::chrono::milliseconds;

// If the mark tables differ, marks up to this age are sent first. Older marks follow if the tables
// still differ.
constexpr milliseconds kRecentMarkAge{ 10000 };
constexpr int kMaxMarksPerMessage = 128;
// The caller is told of a higher revision again if this daemon has not reached it by then.
constexpr milliseconds kRevisionNotifyInterval{ 1000 };
// Rendezvous key that ranks the members as relays.
constexpr auto kRelayKey = "relay";
// Number of members that a failure domain's digest lists as contacts.
constexpr std::size_t kContactCount = 3;
constexpr std::string_view kSeedPrefix = "seed:";
// Initial value of times of last events: so far in the past that no rate limit applies.
constexpr milliseconds kDistantPast{ -3600000 };

std::uint64_t toUnsignedMilliseconds(milliseconds value)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(value.count(), 0));
}

proto::CellDigest toCellDigest(const CellLoad &load)
{
    proto::CellDigest digest;
    digest.set_service(load.service);
    digest.set_cell(load.cell);
    digest.set_free_slots(load.freeSlots);
    digest.set_total_slots(load.totalSlots);
    // Trailing tiers without waiting requests are omitted.
    std::size_t tiers = load.waitingByTier.size();
    while (tiers > 0 && load.waitingByTier[tiers - 1] == 0)
        --tiers;
    for (std::size_t tier = 0; tier < tiers; ++tier)
        digest.add_waiting_by_tier(load.waitingByTier[tier]);
    return digest;
}

CellLoad toCellLoad(const proto::CellDigest &digest, const std::string &owner)
{
    CellLoad load{ .service = digest.service(),
                   .cell = digest.cell(),
                   .owner = owner,
                   .freeSlots = digest.free_slots(),
                   .totalSlots = digest.total_slots() };
    load.waitingByTier.assign(digest.waiting_by_tier().begin(), digest.waiting_by_tier().end());
    return load;
}

bool sameCells(const std::vector<proto::CellDigest> &left,
               const std::vector<proto::CellDigest> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const proto::CellDigest &a, const proto::CellDigest &b) {
                          return a.SerializeAsString() == b.SerializeAsString();
                      });
}

void addWaiting(std::vector<unsigned> &sum, const std::vector<unsigned> &waiting)
{
    if (sum.size() < waiting.size())
        sum.resize(waiting.size());
    for (std::size_t tier = 0; tier < waiting.size(); ++tier)
        sum[tier] += waiting[tier];
}

// Returns the heartbeat to start with. It is derived from the wall clock so that the heartbeats of
// all members are close together and their distances from the base are encoded in one byte. Nothing
// else depends on it.
std::uint32_t initialHeartbeat(GossipTime now)
{
    return static_cast<std::uint32_t>(std::chrono::floor<std::chrono::seconds>(now.wall).count());
}

// Returns true if the peer's version of the failure domain is missing or so old that the direct
// link between the two must have failed. Versions increase at least once per second.
bool isOutdated(const proto::FailureDomainDigest &digest, const proto::FailureDomainVersions &peer)
{
    constexpr std::uint64_t kDirectLinkLag = 20;
    return FailureDomainTable::findVersion(peer, digest.failure_domain()) + kDirectLinkLag
           < digest.version();
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

// Selects the active peers at fixed distances on the ring of all live members in key order. Every
// member then has the same number of incoming and outgoing neighbours, whereas a random choice
// gives some members twice the average load. Distances that grow by a constant factor keep the
// number of hops low.
void GossipCore::refreshActivePeers()
{
    std::vector<const MemberRecord *> ring;
    std::size_t ownIndex = 0;
    for (const auto &entry : members_->records()) {
        const bool isSelf = &entry.second == &members_->self();
        if (isSelf)
            ownIndex = ring.size();
        if (isSelf || members_->isPeer(entry.second))
            ring.push_back(&entry.second);
    }
    activePeers_.clear();
    const double factor = std::pow(static_cast<double>(ring.size()),
                                   1.0 / std::max(options_.activePeerCount, 1U));
    double nextDistance = 1;
    std::size_t distance = 0;
    while (activePeers_.size() < options_.activePeerCount && distance + 1 < ring.size()) {
        distance = std::max(distance + 1, static_cast<std::size_t>(nextDistance));
        nextDistance *= factor;
        activePeers_.push_back(ring[(ownIndex + distance) % ring.size()]->id);
    }
}

// Pushes to a random member, which bypasses the ring when its links fail.
void GossipCore::pushToRandomPeer()
{
    nextRandomPeer_ = now_.monotonic + options_.randomPeerInterval;
    std::vector<std::string> candidates;
    for (const auto &entry : members_->records()) {
        if (members_->isPeer(entry.second))
            candidates.push_back(entry.second.id);
    }
    if (!candidates.empty())
        push(*members_->findById(candidates[randomBelow(candidates.size())]));
}

// Returns the endpoints from the settings, from the platform list and of dead members that do not
// belong to a live member. Probing them lets the daemon join, and merges partitions after they
// heal.
std::vector<std::string> GossipCore::unknownEndpoints(bool relay) const
{
    std::unordered_set<std::string> known{ options_.endpoint };
    std::vector<std::string> candidates = options_.seeds;
    for (const Seed &seed : listSeeds_) {
        if (seed.failureDomain == options_.failureDomain)
            candidates.push_back(seed.endpoint);
    }
    for (const auto &entry : members_->records()) {
        const MemberRecord &record = entry.second;
        if (members_->isPeer(record))
            known.insert(record.endpoint);
        else if (record.status != MemberStatus::Left)
            candidates.push_back(record.endpoint);
    }
    for (const auto &entry : failureDomains_->entries()) {
        for (const proto::MemberEntry &contact : entry.second.digest.contacts())
            known.insert(contact.endpoint());
    }
    // Only relays probe seeds of other failure domains, and only while that domain is unreachable.
    // A seed listed in all settings would otherwise be probed by the daemons of all failure
    // domains.
    for (const auto &[endpoint, failureDomain] : remoteSeeds_) {
        const FailureDomainTable::Entry *entry = failureDomains_->find(failureDomain);
        if (!relay || (entry != nullptr && entry->reachable))
            known.insert(endpoint);
    }
    std::erase_if(candidates,
                  [&known](const std::string &endpoint) { return known.contains(endpoint); });
    return candidates;
}

void GossipCore::probeUnknownEndpoint()
{
    nextSeedProbe_ = now_.monotonic + options_.seedProbeInterval;
    const std::vector<std::string> candidates = unknownEndpoints(isRelay());
    if (!candidates.empty())
        probeEndpoint(candidates[randomBelow(candidates.size())]);
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

void GossipCore::receiveGossip(const std::string &sender, const proto::Gossip &gossip)
{
    if (gossip.failure_domain() != options_.failureDomain) {
        if (gossip.step() == proto::GOSSIP_STEP_PUSH)
            replyToRemotePush(sender);
        return;
    }
    const MemberRecord *senderRecord = members_->findById(sender);
    const std::uint32_t deadKey = senderRecord != nullptr && senderRecord->dead ? senderRecord->key
                                                                                : 0;
    const std::vector<std::uint32_t> ownKeys = members_->sharedKeys();
    const bool keysMissing = gossip.rows().keys().empty() && !gossip.rows().status().empty();
    if (keysMissing && gossip.rows().key_set() != hashKeys(ownKeys)) {
        requestKeys(sender);
        return;
    }
    for (const proto::MemberEntry &entry : gossip.members())
        members_->define(entry, now_.monotonic);
    const std::vector<MemberRow> rows = decodeRows(gossip.rows(), ownKeys);
    std::vector<std::uint32_t> unknown;
    const bool senderWasDead = mergeRows(sender, rows, unknown) && deadKey != 0
                               && members_->find(deadKey) != nullptr;
    for (const proto::MemberLoad &load : gossip.loads())
        members_->mergeLoad(load, now_.monotonic);
    for (const proto::FailureDomainDigest &digest : gossip.failure_domains())
        failureDomains_->merge(digest, now_.monotonic);
    mergeMarks(gossip);
    MemberRecord *record = members_->findById(sender);
    if (record != nullptr && gossip.rows().key_set() != 0)
        record->keySetHash = gossip.rows().key_set();
    if (members_->consumeUrgentFlag())
        scheduleUrgentUpdate();
    findHigherRevision(sender);
    if (gossip.step() == proto::GOSSIP_STEP_PUSH)
        replyToPush(sender, gossip, rows, unknown, senderWasDead);
    else if (gossip.step() == proto::GOSSIP_STEP_REPLY)
        handleReply(sender, gossip);
}

// Merges all rows and collects the unknown keys. Returns true if the sender's own row is among
// them.
bool GossipCore::mergeRows(const std::string &sender, const std::vector<MemberRow> &rows,
                           std::vector<std::uint32_t> &unknown)
{
    bool senderRowFound = false;
    for (const MemberRow &row : rows) {
        const bool isSelf = row.key == members_->self().key;
        if (isSelf && row.status == MemberStatus::Dead) {
            startNewIncarnation();
            continue;
        }
        if (isSelf) {
            members_->self().heartbeat = std::max(members_->self().heartbeat, row.heartbeat);
            continue;
        }
        if (!members_->mergeRow(row, now_.monotonic) && row.status != MemberStatus::Dead)
            unknown.push_back(row.key);
        const MemberRecord *record = members_->find(row.key);
        senderRowFound = senderRowFound || (record != nullptr && record->id == sender);
    }
    return senderRowFound;
}

void GossipCore::push(const MemberRecord &peer)
{
    proto::Gossip gossip;
    proto::MemberRows &rows = *gossip.mutable_rows();
    rows = members_->makeRows();
    for (const auto &entry : members_->records()) {
        if (MemberTable::isShared(entry.second))
            members_->addRow(rows, entry.second, false);
    }
    rows.set_key_set(hashKeys(members_->sharedKeys()));
    if (rows.key_set() == peer.keySetHash)
        rows.clear_keys();
    if (!peer.knowsSelf)
        members_->addDefinition(gossip, members_->self());
    gossip.set_marks_digest(marksDigest());
    *gossip.mutable_failure_domain_versions() = failureDomains_->versions();
    enqueueMessage(peer.id, peer.endpoint, std::move(gossip));
}

void GossipCore::requestKeys(const std::string &sender)
{
    proto::Gossip reply;
    reply.set_step(proto::GOSSIP_STEP_REPLY);
    reply.set_keys_wanted(true);
    enqueueMessage(sender, endpointOf(sender), std::move(reply));
}

// Pushes to an endpoint whose daemon is unknown. The message holds only the row of this daemon, so
// the reply contains the whole table.
void GossipCore::probeEndpoint(const std::string &endpoint)
{
    proto::Gossip gossip;
    *gossip.mutable_rows() = members_->makeRows();
    members_->addRow(*gossip.mutable_rows(), members_->self(), false);
    members_->addDefinition(gossip, members_->self());
    gossip.set_marks_digest(marksDigest());
    enqueueMessage(std::string(kSeedPrefix) + endpoint, endpoint, std::move(gossip));
}

void GossipCore::replyToPush(const std::string &sender, const proto::Gossip &push,
                             const std::vector<MemberRow> &rows,
                             const std::vector<std::uint32_t> &unknown, bool senderWasDead)
{
    proto::Gossip reply;
    reply.set_step(proto::GOSSIP_STEP_REPLY);
    *reply.mutable_rows() = members_->makeRows();
    reply.mutable_rows()->set_key_set(hashKeys(members_->sharedKeys()));
    if (senderWasDead)
        members_->addRow(*reply.mutable_rows(), *members_->findById(sender), true);
    addNewerRows(rows, reply);
    reconcileLoads(rows, reply);
    for (const std::uint32_t key : unknown)
        reply.add_wanted_members(key);
    std::vector<std::uint32_t> wantedFailureDomains;
    for (const proto::FailureDomainDigest *digest :
         failureDomains_->findNewerDigests(push.failure_domain_versions(), &wantedFailureDomains))
        FailureDomainTable::appendDigest(push.failure_domain_versions(), *digest,
                                         *reply.mutable_failure_domains());
    for (const std::uint32_t key : wantedFailureDomains)
        reply.add_wanted_failure_domains(key);
    if (!wantedFailureDomains.empty())
        *reply.mutable_failure_domain_versions() = failureDomains_->versions();
    reply.set_marks_digest(marksDigest());
    addMarks(reply, push.marks_digest());
    enqueueMessage(sender, endpointOf(sender), std::move(reply));
}

void GossipCore::addNewerRows(const std::vector<MemberRow> &peerRows, proto::Gossip &message) const
{
    std::unordered_map<std::uint32_t, const MemberRow *> known;
    for (const MemberRow &row : peerRows)
        known.emplace(row.key, &row);
    std::size_t definitionBytes = 0;
    for (const auto &[key, record] : members_->records()) {
        if (!MemberTable::isShared(record))
            continue;
        const auto found = known.find(key);
        if (found == known.end()) {
            // Definitions may take half of the message; the rest is for loads, marks and failure
            // domains.
            definitionBytes += record.id.size() + record.endpoint.size() + 24;
            if (definitionBytes > options_.maxMessageBytes / 2)
                return;
            members_->addDefinition(message, record);
            if (record.loadHeartbeat > 0)
                addLoad(message, record);
        }
        const bool newer = found == known.end() || found->second->heartbeat < record.heartbeat
                           || (record.suspected && !found->second->suspected
                               && found->second->heartbeat == record.heartbeat);
        if (newer)
            members_->addRow(*message.mutable_rows(), record, false);
    }
}

// Adds the load unless the loads already fill a quarter of the message. The loads of a large number
// of cells are thus spread over several exchanges.
void GossipCore::addLoad(proto::Gossip &message, const MemberRecord &record) const
{
    constexpr std::size_t kBytesPerCell = 64;
    std::size_t cells = record.cells.size();
    for (const proto::MemberLoad &load : message.loads())
        cells += static_cast<std::size_t>(load.cells_size());
    if (message.loads().empty() || cells * kBytesPerCell < options_.maxMessageBytes / 4)
        members_->addLoad(message, record);
}

void GossipCore::reconcileLoads(const std::vector<MemberRow> &peerRows,
                                proto::Gossip &message) const
{
    for (const MemberRow &row : peerRows) {
        const MemberRecord *record = members_->find(row.key);
        if (record == nullptr) {
            if (row.loadHeartbeat > 0)
                message.add_wanted_loads(row.key);
        } else if (record->loadHeartbeat > row.loadHeartbeat) {
            addLoad(message, *record);
        } else if (record->loadHeartbeat < row.loadHeartbeat) {
            message.add_wanted_loads(row.key);
        }
    }
}

void GossipCore::handleReply(const std::string &sender, const proto::Gossip &reply)
{
    const auto &wanted = reply.wanted_members();
    MemberRecord *record = members_->findById(sender);
    if (reply.keys_wanted()) {
        // Clearing the hash makes push() include the keys. A further request is ignored, since a
        // push that included the keys needs no repetition.
        if (record != nullptr && record->keySetHash != 0) {
            record->keySetHash = 0;
            push(*record);
        }
        return;
    }
    if (record != nullptr)
        record->knowsSelf = std::find(wanted.begin(), wanted.end(), members_->self().key)
                            == wanted.end();
    proto::Gossip finalMessage;
    finalMessage.set_step(proto::GOSSIP_STEP_FINAL);
    addRequestedRecords(reply, finalMessage);
    addMarks(finalMessage, reply.marks_digest());
    const bool isEmpty = finalMessage.members_size() + finalMessage.loads_size()
                                 + finalMessage.failure_domains_size() + finalMessage.leaving_size()
                                 + finalMessage.crashes_size()
                         == 0;
    if (!isEmpty)
        enqueueMessage(sender, endpointOf(sender), std::move(finalMessage));
}

void GossipCore::addRequestedRecords(const proto::Gossip &request, proto::Gossip &message) const
{
    *message.mutable_rows() = members_->makeRows();
    std::size_t definitionBytes = 0;
    for (const std::uint32_t key : request.wanted_members()) {
        const MemberRecord *record = members_->find(key);
        if (record == nullptr || !MemberTable::isShared(*record))
            continue;
        definitionBytes += record->id.size() + record->endpoint.size() + 24;
        if (definitionBytes > options_.maxMessageBytes / 2)
            break;
        members_->addDefinition(message, *record);
        members_->addRow(*message.mutable_rows(), *record, false);
    }
    for (const std::uint32_t key : request.wanted_loads()) {
        const MemberRecord *record = members_->find(key);
        if (record != nullptr && record->loadHeartbeat > 0)
            addLoad(message, *record);
    }
    for (const std::uint32_t key : request.wanted_failure_domains()) {
        if (const proto::FailureDomainDigest *digest = failureDomains_->findByKey(key))
            FailureDomainTable::appendDigest(request.failure_domain_versions(), *digest,
                                             *message.mutable_failure_domains());
    }
}

std::uint64_t GossipCore::marksDigest() const
{
    return leavingMarks_->digest() ^ crashMarks_->digest();
}

void GossipCore::addMarks(proto::Gossip &message, std::uint64_t peerDigest) const
{
    if (peerDigest == marksDigest())
        return;
    const std::size_t start = randomBelow(options_.maxLeavingMarks);
    const auto crashesFrom = toUnsignedMilliseconds(now_.wall + options_.crashMarkLifetime
                                                    - kRecentMarkAge);
    leavingMarks_->addTo(message, toUnsignedMilliseconds(now_.wall - kRecentMarkAge),
                         kMaxMarksPerMessage, start);
    crashMarks_->addTo(message, crashesFrom, kMaxMarksPerMessage, start);
    // Differences in older marks are repaired by sending marks of any age. This happens if there
    // are no recent marks, otherwise in a quarter of the exchanges.
    const bool hasRecent = message.leaving_size() + message.crashes_size() > 0;
    if (hasRecent && randomBelow(4) != 0)
        return;
    message.clear_leaving();
    message.clear_crashes();
    leavingMarks_->addTo(message, 0, kMaxMarksPerMessage, start);
    crashMarks_->addTo(message, 0, kMaxMarksPerMessage, start);
}

void GossipCore::mergeMarks(const proto::Gossip &gossip)
{
    for (const proto::LeavingMark &mark : gossip.leaving()) {
        if (!leavingMarks_->merge(mark, now_.wall))
            continue;
        *urgentMarks_.add_leaving() = mark;
        members_->incrementVersion();
        scheduleUrgentUpdate();
    }
    for (const proto::CrashMark &mark : gossip.crashes()) {
        if (!crashMarks_->merge(mark, now_.wall))
            continue;
        *urgentMarks_.add_crashes() = mark;
        scheduleUrgentUpdate();
    }
}

void GossipCore::scheduleUrgentUpdate()
{
    urgentUpdatePending_ = true;
}

void GossipCore::sendUrgentUpdate()
{
    if (!urgentUpdatePending_ || now_.monotonic < lastUrgentUpdate_ + options_.urgentUpdateInterval)
        return;
    urgentUpdatePending_ = false;
    lastUrgentUpdate_ = now_.monotonic;
    proto::Gossip gossip = std::exchange(urgentMarks_, proto::Gossip());
    gossip.set_step(proto::GOSSIP_STEP_FINAL);
    *gossip.mutable_rows() = members_->makeRows();
    for (const auto &entry : members_->records()) {
        if (entry.second.urgent && MemberTable::isShared(entry.second))
            members_->addRow(*gossip.mutable_rows(), entry.second, false);
    }
    members_->clearUrgentFlags();
    refreshActivePeers();
    for (const std::string &peer : activePeers_)
        enqueueMessage(peer, endpointOf(peer), gossip);
}

void GossipCore::exchangeWithFailureDomains()
{
    std::map<std::string, std::string> regions;
    for (const Seed &seed : listSeeds_)
        regions.emplace(seed.failureDomain, seed.region);
    for (const auto &[failureDomain, entry] : failureDomains_->entries())
        regions[failureDomain] = entry.digest.region();
    regions.erase(options_.failureDomain);
    // The relays divide the exchanges among themselves, so each waits proportionally longer.
    const auto relayCount = static_cast<int>(std::max<std::size_t>(relays().size(), 1));
    for (const auto &[failureDomain, region] : regions) {
        milliseconds &due = nextExchange_[failureDomain];
        if (now_.monotonic < due)
            continue;
        const milliseconds period = region == options_.region ? options_.intraRegionInterval
                                                              : options_.interRegionInterval;
        // An exchange carries the digests of both failure domains, so the one with the lower name
        // starts it. The other one starts it only if no newer digest has arrived for two periods.
        const FailureDomainTable::Entry *entry = failureDomains_->find(failureDomain);
        const bool isStale = entry == nullptr || now_.monotonic - entry->lastDigestAt > 2 * period;
        if (options_.failureDomain > failureDomain && !isStale)
            continue;
        // Half a round earlier, because this function runs only once per round.
        due = now_.monotonic + period * relayCount - options_.roundInterval / 2;
        pushToFailureDomain(failureDomain);
    }
}

void GossipCore::pushToFailureDomain(const std::string &failureDomain)
{
    std::vector<std::pair<std::string, std::string>> targets;
    if (const FailureDomainTable::Entry *entry = failureDomains_->find(failureDomain)) {
        for (const proto::MemberEntry &contact : entry->digest.contacts())
            targets.emplace_back(contact.id(), contact.endpoint());
        // The first contacts are the relays; the others are used only if the relays do not respond.
        if (entry->reachable && targets.size() > options_.relayCount)
            targets.resize(options_.relayCount);
    }
    const bool isReachable = !targets.empty() && failureDomains_->find(failureDomain)->reachable;
    for (const Seed &seed : listSeeds_) {
        if (seed.failureDomain == failureDomain && !isReachable)
            targets.emplace_back(std::string(kSeedPrefix) + seed.endpoint, seed.endpoint);
    }
    if (targets.empty())
        return;
    const auto &[peerId, endpoint] = targets[randomBelow(targets.size())];
    proto::FailureDomainDigests digests;
    proto::FailureDomainDigest own = ownDigest();
    // The reply to a failure domain includes the contacts if it lacks them. A push includes them
    // only until that failure domain has replied.
    const bool contactsKnown = acknowledgedContactsHash_[failureDomain] == own.contacts_hash();
    if (contactsKnown && isReachable)
        own.clear_contacts();
    *digests.add_failure_domains() = std::move(own);
    enqueueMessage(peerId, endpoint, std::move(digests));
}

void GossipCore::receiveFailureDomainDigests(const std::string &sender,
                                             const proto::FailureDomainDigests &digests)
{
    for (const proto::FailureDomainDigest &digest : digests.failure_domains())
        failureDomains_->merge(digest, now_.monotonic);
    failureDomains_->observeOwnVersion(
            FailureDomainTable::findVersion(digests.known(), options_.failureDomain));
    if (digests.failure_domains_size() > 0) {
        const std::string &senderFailureDomain =
                digests.failure_domains(digests.failure_domains_size() - 1).failure_domain();
        if (failureDomains_->find(senderFailureDomain) != nullptr)
            acknowledgedContactsHash_[senderFailureDomain] = FailureDomainTable::findContactsHash(
                    digests.known(), options_.failureDomain);
    }
    if (!digests.endpoint().empty() && digests.failure_domains_size() > 0
        && std::find(options_.seeds.begin(), options_.seeds.end(), digests.endpoint())
                   != options_.seeds.end())
        remoteSeeds_[digests.endpoint()] =
                digests.failure_domains(digests.failure_domains_size() - 1).failure_domain();
    findHigherRevision(sender);
    if (digests.reply())
        return;
    proto::FailureDomainDigests reply;
    reply.set_reply(true);
    for (const proto::FailureDomainDigest *digest :
         failureDomains_->findNewerDigests(digests.known(), nullptr)) {
        // Up-to-date digests are omitted: the sender receives them directly from their failure
        // domain.
        if (isOutdated(*digest, digests.known()))
            FailureDomainTable::appendDigest(digests.known(), *digest,
                                             *reply.mutable_failure_domains());
    }
    FailureDomainTable::appendDigest(digests.known(), ownDigest(),
                                     *reply.mutable_failure_domains());
    enqueueMessage(sender, endpointOf(sender), std::move(reply));
}

void GossipCore::replyToRemotePush(const std::string &sender)
{
    proto::FailureDomainDigests reply;
    reply.set_reply(true);
    reply.set_endpoint(options_.endpoint);
    *reply.add_failure_domains() = ownDigest();
    enqueueMessage(sender, endpointOf(sender), std::move(reply));
}

// Returns the digest of the own failure domain. It is rebuilt at most about once per
// intraRegionInterval, because every new version is propagated to all daemons of the other failure
// domains.
const proto::FailureDomainDigest &GossipCore::ownDigest()
{
    if (now_.monotonic - ownDigestBuiltAt_ >= options_.intraRegionInterval * 9 / 10) {
        ownDigest_ = buildOwnDigest();
        ownDigestBuiltAt_ = now_.monotonic;
    }
    return ownDigest_;
}

proto::FailureDomainDigest GossipCore::buildOwnDigest()
{
    const std::shared_ptr<const MemberView> current = view();
    proto::FailureDomainDigest digest;
    digest.set_failure_domain(options_.failureDomain);
    digest.set_region(options_.region);
    digest.set_version(failureDomains_->nextOwnVersion(now_.wall));
    std::map<std::string, FailureDomainServiceLoad> services;
    for (const CellLoad &cell : current->cells) {
        FailureDomainServiceLoad &sum = services[cell.service];
        sum.freeSlots += cell.freeSlots;
        sum.totalSlots += cell.totalSlots;
        addWaiting(sum.waitingByTier, cell.waitingByTier);
    }
    for (const auto &[name, sum] : services) {
        proto::ServiceDigest &service = *digest.add_services();
        service.set_service(name);
        service.set_free_slots(sum.freeSlots);
        service.set_total_slots(sum.totalSlots);
        service.mutable_waiting_by_tier()->Add(sum.waitingByTier.begin(), sum.waitingByTier.end());
    }
    std::optional<std::uint64_t> lowest;
    for (const Member &member : current->members) {
        if (member.status != MemberStatus::Ready)
            continue;
        lowest = std::min(lowest.value_or(member.configRevision), member.configRevision);
        digest.set_max_config_revision(
                std::max<std::uint64_t>(digest.max_config_revision(), member.configRevision));
        digest.set_live_daemons(digest.live_daemons() + 1);
    }
    digest.set_min_config_revision(lowest.value_or(0));
    std::vector<std::string> contacts = current->rankedOwners(kRelayKey);
    contacts.resize(std::min(contacts.size(), kContactCount));
    for (const std::string &id : contacts) {
        proto::MemberEntry &contact = *digest.add_contacts();
        contact.set_id(id);
        contact.set_endpoint(endpointOf(id));
    }
    digest.set_contacts_hash(FailureDomainTable::hashContacts(digest.contacts()));
    return digest;
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

std::vector<std::string> GossipCore::relays()
{
    const std::uint64_t version = members_->version();
    if (relaysVersion_ == version)
        return relays_;
    relaysVersion_ = version;
    MemberView candidates;
    for (const auto &entry : members_->records()) {
        const MemberRecord &record = entry.second;
        if (!record.dead)
            candidates.members.push_back(Member{ .id = record.id, .status = record.status });
    }
    relays_ = candidates.rankedOwners(kRelayKey);
    if (relays_.empty()) {
        // Until a member is ready, starting members act as relays: the configuration has to be read
        // before any member can become ready.
        for (Member &member : candidates.members) {
            if (member.status == MemberStatus::Starting)
                member.status = MemberStatus::Ready;
        }
        relays_ = candidates.rankedOwners(kRelayKey);
    }
    relays_.resize(std::min<std::size_t>(relays_.size(), options_.relayCount));
    return relays_;
}

bool GossipCore::isRelay()
{
    const std::vector<std::string> current = relays();
    return std::find(current.begin(), current.end(), options_.selfId) != current.end();
}

std::shared_ptr<const MemberView> GossipCore::view()
{
    const std::uint64_t version = members_->version() + failureDomains_->version();
    if (!view_ || viewVersion_ != version) {
        view_ = makeView();
        viewVersion_ = version;
    }
    return view_;
}

std::shared_ptr<const MemberView> GossipCore::makeView() const
{
    auto result = std::make_shared<MemberView>();
    result->selfId = options_.selfId;
    result->failureDomain = options_.failureDomain;
    result->region = options_.region;
    // If two members publish the same cell, its ownership is changing and the newer load is used.
    std::map<std::pair<std::string, unsigned>, std::pair<milliseconds, CellLoad>> cells;
    for (const auto &entry : members_->records()) {
        const MemberRecord &record = entry.second;
        result->members.push_back(
                Member{ .id = record.id,
                        .endpoint = record.endpoint,
                        .status = record.dead ? MemberStatus::Dead : record.status,
                        .incarnation = record.incarnation,
                        .configRevision = record.configRevision });
        if (record.dead || record.status == MemberStatus::Left)
            continue;
        const bool isSelf = record.id == options_.selfId;
        const milliseconds received = isSelf ? now_.monotonic : record.loadReceivedAt;
        for (const proto::CellDigest &cell : record.cells) {
            auto &newest = cells[{ cell.service(), cell.cell() }];
            if (newest.second.owner.empty() || newest.first < received)
                newest = { received, toCellLoad(cell, record.id) };
        }
    }
    std::sort(result->members.begin(), result->members.end(),
              [](const Member &left, const Member &right) { return left.id < right.id; });
    for (auto &entry : cells)
        result->cells.push_back(std::move(entry.second.second));
    result->failureDomains = failureDomains_->views();
    result->leavingBackendServers = leavingMarks_->leavingBackendServers();
    return result;
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
