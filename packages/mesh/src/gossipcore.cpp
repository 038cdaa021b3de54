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

// Marks of this age are sent alone at first; the whole table follows if that was not enough.
constexpr milliseconds kRecentMarks{ 10000 };
constexpr int kMarkBatch = 128;
// A revision is announced again to the caller if it was not reached by then.
constexpr milliseconds kRevisionRepeat{ 1000 };
constexpr auto kRelayKey = "relay";
constexpr std::size_t kContactCount = 3;
constexpr std::string_view kSeedPrefix = "seed:";
// Far enough in the past that every rate limit has passed.
constexpr milliseconds kLongAgo{ -3600000 };

std::uint64_t toCount(milliseconds value)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(value.count(), 0));
}

proto::CellDigest digestOf(const CellLoad &load)
{
    proto::CellDigest digest;
    digest.set_service(load.service);
    digest.set_cell(load.cell);
    digest.set_free_slots(load.freeSlots);
    digest.set_total_slots(load.totalSlots);
    // Trailing tiers without requests are left out.
    std::size_t tiers = load.waitingByTier.size();
    while (tiers > 0 && load.waitingByTier[tiers - 1] == 0)
        --tiers;
    for (std::size_t tier = 0; tier < tiers; ++tier)
        digest.add_waiting_by_tier(load.waitingByTier[tier]);
    return digest;
}

CellLoad loadOf(const proto::CellDigest &digest, const std::string &owner)
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

// Heartbeats start at a value derived from the wall clock, so that those of all members are close
// together and their distances take one byte. Nothing else depends on it.
std::uint32_t firstHeartbeat(GossipTime now)
{
    return static_cast<std::uint32_t>(std::chrono::floor<std::chrono::seconds>(now.wall).count());
}

// True if the peer's version of the failure domain is missing or so old that its direct link must
// be cut. Versions advance at least once per second.
bool isOutdated(const proto::FailureDomainDigest &digest, const proto::FailureDomainVersions &peer)
{
    constexpr std::uint64_t kDirectLinkLag = 20;
    return FailureDomainTable::versionIn(peer, digest.failure_domain()) + kDirectLinkLag
           < digest.version();
}

} // namespace

GossipCore::GossipCore(GossipOptions options, GossipTime now)
    : options_(std::move(options))
    , random_(options_.randomSeed)
    , members_(std::make_unique<MemberTable>(
              MemberTable::Limits{ .failureTimeout = options_.failureTimeout,
                                   .suspicionTimeout = options_.suspicionTimeout,
                                   .forgetAfter = options_.forgetAfter,
                                   .maxMembers = options_.maxMembers },
              options_.selfId, options_.incarnation, options_.endpoint, firstHeartbeat(now)))
    , leaving_(std::make_unique<LeavingMarks>(options_.leavingMarkLifetime,
                                              options_.maxLeavingMarks))
    , crashes_(std::make_unique<CrashMarks>(options_.crashMarkLifetime, options_.maxCrashMarks))
    , failureDomains_(std::make_unique<FailureDomainTable>(
              options_.failureDomain, options_.region,
              options_.failureTimeout + 2 * options_.regionPeriod,
              options_.failureTimeout + 2 * options_.interRegionPeriod,
              options_.failureDomainForgetAfter))
    , now_(now)
    , nextSeedContact_(now.monotonic)
    , nextRandomPeer_(now.monotonic + options_.randomPeerPeriod)
    , lastUrgent_(kLongAgo)
    , lastIncarnation_(kLongAgo)
    , ownDigestMade_(kLongAgo)
    , notifiedAt_(kLongAgo)
{
    // Daemons that start together spread their rounds over the period.
    const auto period = static_cast<std::size_t>(options_.roundPeriod.count());
    nextRound_ = now.monotonic + milliseconds(randomBelow(period / 4 + 1));
}

GossipCore::~GossipCore() = default;

std::size_t GossipCore::randomBelow(std::size_t bound) const
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

// ---- Time -------------------------------------------------------------------------------------

// A gap of the failure timeout means that this process did not run: it judges nobody by that time,
// and since the others consider it dead, it returns with a new incarnation.
void GossipCore::advance(GossipTime now)
{
    const milliseconds gap = now.monotonic - now_.monotonic;
    now_ = now;
    if (gap > options_.failureTimeout) {
        members_->skipTime(gap);
        failureDomains_->skipTime(gap);
        takeNewIncarnation();
    }
    members_->expire(now.monotonic);
    failureDomains_->expire(now.monotonic);
}

void GossipCore::tick(GossipTime now)
{
    advance(now);
    if (now.monotonic >= nextRound_) {
        nextRound_ = std::max(nextRound_ + options_.roundPeriod,
                              now.monotonic + options_.roundPeriod / 2);
        runRound();
    }
    sendUrgent();
}

milliseconds GossipCore::nextTick() const
{
    if (urgentPending_)
        return std::min(nextRound_, lastUrgent_ + options_.urgentInterval);
    return nextRound_;
}

void GossipCore::runRound()
{
    leaving_->expire(now_.wall);
    crashes_->expire(now_.wall);
    members_->beat();
    publishLoads();
    refreshActivePeers();
    // In turn, so that no connection is idle for long.
    const std::size_t pushes = std::min<std::size_t>(activePeers_.size(), options_.fanout);
    for (std::size_t i = 0; i < pushes; ++i)
        push(*members_->findId(activePeers_[nextActivePeer_++ % activePeers_.size()]));
    if (activePeers_.empty() || now_.monotonic >= nextSeedContact_)
        contactUnknownEndpoint();
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
        members_->touch();
    }
    pendingLoads_.reset();
}

// The active peers are those at fixed distances around the ring of all live members in key order.
// Every member then has the same number of incoming and outgoing neighbours, where a random choice
// gives some members twice the average load; distances that grow by a constant factor keep the
// number of hops low.
void GossipCore::refreshActivePeers()
{
    std::vector<const MemberRecord *> ring;
    std::size_t own = 0;
    for (const auto &entry : members_->records()) {
        const bool isSelf = &entry.second == &members_->self();
        if (isSelf)
            own = ring.size();
        if (isSelf || members_->isPeer(entry.second))
            ring.push_back(&entry.second);
    }
    activePeers_.clear();
    const double factor = std::pow(static_cast<double>(ring.size()),
                                   1.0 / std::max(options_.activePeers, 1U));
    double reach = 1;
    std::size_t distance = 0;
    while (activePeers_.size() < options_.activePeers && distance + 1 < ring.size()) {
        distance = std::max(distance + 1, static_cast<std::size_t>(reach));
        reach *= factor;
        activePeers_.push_back(ring[(own + distance) % ring.size()]->id);
    }
}

// Exchanges with random members bypass the ring where its links are cut.
void GossipCore::pushToRandomPeer()
{
    nextRandomPeer_ = now_.monotonic + options_.randomPeerPeriod;
    std::vector<std::string> candidates;
    for (const auto &entry : members_->records()) {
        if (members_->isPeer(entry.second))
            candidates.push_back(entry.second.id);
    }
    if (!candidates.empty())
        push(*members_->findId(candidates[randomBelow(candidates.size())]));
}

// Endpoints from settings, from the platform list and of dead members that do not belong to a live
// member: a way to join, and to reunite after a partition.
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
    // One seed named in all settings would otherwise be contacted by the daemons of all failure
    // domains.
    for (const auto &[endpoint, failureDomain] : foreignSeeds_) {
        const FailureDomainTable::Entry *entry = failureDomains_->find(failureDomain);
        if (!relay || (entry != nullptr && entry->reachable))
            known.insert(endpoint);
    }
    std::erase_if(candidates,
                  [&known](const std::string &endpoint) { return known.contains(endpoint); });
    return candidates;
}

void GossipCore::contactUnknownEndpoint()
{
    nextSeedContact_ = now_.monotonic + options_.seedPeriod;
    const std::vector<std::string> candidates = unknownEndpoints(isRelay());
    if (!candidates.empty())
        greet(candidates[randomBelow(candidates.size())]);
}

void GossipCore::takeNewIncarnation()
{
    // Members that disagree about this daemon for longer must not make it change at every message.
    if (now_.monotonic - lastIncarnation_ < 2 * options_.failureTimeout)
        return;
    lastIncarnation_ = now_.monotonic;
    const auto wall = static_cast<std::uint64_t>(
            std::chrono::microseconds(std::max(now_.wall, milliseconds(0))).count());
    members_->renewSelf(wall);
    members_->self().lastProgress = now_.monotonic;
}

// ---- Inside the failure domain
// -------------------------------------------------------------------------

void GossipCore::receive(const std::string &sender, const proto::Envelope &envelope, GossipTime now)
{
    advance(now);
    if (sender == options_.selfId)
        return;
    if (envelope.has_gossip())
        receiveGossip(sender, envelope.gossip());
    else if (envelope.has_failure_domain_digests())
        receiveFailureDomainDigests(sender, envelope.failure_domain_digests());
    sendUrgent();
}

void GossipCore::receiveGossip(const std::string &sender, const proto::Gossip &gossip)
{
    if (gossip.failure_domain() != options_.failureDomain) {
        if (gossip.step() == proto::GOSSIP_STEP_PUSH)
            answerForeignPush(sender);
        return;
    }
    const MemberRecord *senderRecord = members_->findId(sender);
    const std::uint32_t deadKey = senderRecord != nullptr && senderRecord->dead ? senderRecord->key
                                                                                : 0;
    const std::vector<std::uint32_t> ownKeys = members_->sharedKeys();
    const bool keysMissing = gossip.rows().keys().empty() && !gossip.rows().status().empty();
    if (keysMissing && gossip.rows().key_set() != hashOfKeys(ownKeys)) {
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
    MemberRecord *record = members_->findId(sender);
    if (record != nullptr && gossip.rows().key_set() != 0)
        record->keySet = gossip.rows().key_set();
    if (members_->takeUrgent())
        raiseUrgent();
    findHigherRevision(sender);
    if (gossip.step() == proto::GOSSIP_STEP_PUSH)
        answerPush(sender, gossip, rows, unknown, senderWasDead);
    else if (gossip.step() == proto::GOSSIP_STEP_REPLY)
        answerReply(sender, gossip);
}

// Merges all rows and collects the unknown keys; true if the sender's own row is among them.
bool GossipCore::mergeRows(const std::string &sender, const std::vector<MemberRow> &rows,
                           std::vector<std::uint32_t> &unknown)
{
    bool senderSeen = false;
    for (const MemberRow &row : rows) {
        const bool isSelf = row.key == members_->self().key;
        if (isSelf && row.status == MemberStatus::Dead) {
            takeNewIncarnation();
            continue;
        }
        if (isSelf) {
            members_->self().heartbeat = std::max(members_->self().heartbeat, row.heartbeat);
            continue;
        }
        if (!members_->merge(row, now_.monotonic) && row.status != MemberStatus::Dead)
            unknown.push_back(row.key);
        const MemberRecord *record = members_->find(row.key);
        senderSeen = senderSeen || (record != nullptr && record->id == sender);
    }
    return senderSeen;
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
    rows.set_key_set(hashOfKeys(members_->sharedKeys()));
    if (rows.key_set() == peer.keySet)
        rows.clear_keys();
    if (!peer.knowsSelf)
        members_->addDefinition(gossip, members_->self());
    gossip.set_marks_digest(marksDigest());
    *gossip.mutable_failure_domain_versions() = failureDomains_->versions();
    emit(peer.id, peer.endpoint, std::move(gossip));
}

void GossipCore::requestKeys(const std::string &sender)
{
    proto::Gossip answer;
    answer.set_step(proto::GOSSIP_STEP_REPLY);
    answer.set_keys_wanted(true);
    emit(sender, endpointOf(sender), std::move(answer));
}

// Push to an endpoint whose daemon is unknown: only our own row, so that the answer holds the whole
// table.
void GossipCore::greet(const std::string &endpoint)
{
    proto::Gossip gossip;
    *gossip.mutable_rows() = members_->makeRows();
    members_->addRow(*gossip.mutable_rows(), members_->self(), false);
    members_->addDefinition(gossip, members_->self());
    gossip.set_marks_digest(marksDigest());
    emit(std::string(kSeedPrefix) + endpoint, endpoint, std::move(gossip));
}

void GossipCore::answerPush(const std::string &sender, const proto::Gossip &push,
                            const std::vector<MemberRow> &rows,
                            const std::vector<std::uint32_t> &unknown, bool senderWasDead)
{
    proto::Gossip answer;
    answer.set_step(proto::GOSSIP_STEP_REPLY);
    *answer.mutable_rows() = members_->makeRows();
    answer.mutable_rows()->set_key_set(hashOfKeys(members_->sharedKeys()));
    if (senderWasDead)
        members_->addRow(*answer.mutable_rows(), *members_->findId(sender), true);
    addNewerRows(rows, answer);
    compareLoads(rows, answer);
    for (const std::uint32_t key : unknown)
        answer.add_wanted_members(key);
    std::vector<std::uint32_t> wantedFailureDomains;
    for (const proto::FailureDomainDigest *digest :
         failureDomains_->newerThan(push.failure_domain_versions(), &wantedFailureDomains))
        FailureDomainTable::addFor(push.failure_domain_versions(), *digest,
                                   *answer.mutable_failure_domains());
    for (const std::uint32_t key : wantedFailureDomains)
        answer.add_wanted_failure_domains(key);
    if (!wantedFailureDomains.empty())
        *answer.mutable_failure_domain_versions() = failureDomains_->versions();
    answer.set_marks_digest(marksDigest());
    addMarks(answer, push.marks_digest());
    emit(sender, endpointOf(sender), std::move(answer));
}

void GossipCore::addNewerRows(const std::vector<MemberRow> &peerRows, proto::Gossip &answer) const
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
            // Half of the message is left for loads, marks and failure domains.
            definitionBytes += record.id.size() + record.endpoint.size() + 24;
            if (definitionBytes > options_.maxMessageBytes / 2)
                return;
            members_->addDefinition(answer, record);
            if (record.loadHeartbeat > 0)
                addLoad(answer, record);
        }
        const bool newer = found == known.end() || found->second->heartbeat < record.heartbeat
                           || (record.suspected && !found->second->suspected
                               && found->second->heartbeat == record.heartbeat);
        if (newer)
            members_->addRow(*answer.mutable_rows(), record, false);
    }
}

// Loads of a huge number of cells are spread over several exchanges.
void GossipCore::addLoad(proto::Gossip &answer, const MemberRecord &record) const
{
    constexpr std::size_t kBytesPerCell = 64;
    std::size_t cells = record.cells.size();
    for (const proto::MemberLoad &load : answer.loads())
        cells += static_cast<std::size_t>(load.cells_size());
    if (answer.loads().empty() || cells * kBytesPerCell < options_.maxMessageBytes / 4)
        members_->addLoad(answer, record);
}

void GossipCore::compareLoads(const std::vector<MemberRow> &peerRows, proto::Gossip &answer) const
{
    for (const MemberRow &row : peerRows) {
        const MemberRecord *record = members_->find(row.key);
        if (record == nullptr) {
            if (row.loadHeartbeat > 0)
                answer.add_wanted_loads(row.key);
        } else if (record->loadHeartbeat > row.loadHeartbeat) {
            addLoad(answer, *record);
        } else if (record->loadHeartbeat < row.loadHeartbeat) {
            answer.add_wanted_loads(row.key);
        }
    }
}

void GossipCore::answerReply(const std::string &sender, const proto::Gossip &reply)
{
    const auto &wanted = reply.wanted_members();
    MemberRecord *record = members_->findId(sender);
    if (reply.keys_wanted()) {
        // Without a known key set, the keys are included, and a second request is not answered.
        if (record != nullptr && record->keySet != 0) {
            record->keySet = 0;
            push(*record);
        }
        return;
    }
    if (record != nullptr)
        record->knowsSelf = std::find(wanted.begin(), wanted.end(), members_->self().key)
                            == wanted.end();
    proto::Gossip answer;
    answer.set_step(proto::GOSSIP_STEP_FINAL);
    addWanted(reply, answer);
    addMarks(answer, reply.marks_digest());
    const bool isEmpty = answer.members_size() + answer.loads_size() + answer.failure_domains_size()
                                 + answer.leaving_size() + answer.crashes_size()
                         == 0;
    if (!isEmpty)
        emit(sender, endpointOf(sender), std::move(answer));
}

void GossipCore::addWanted(const proto::Gossip &request, proto::Gossip &answer) const
{
    *answer.mutable_rows() = members_->makeRows();
    std::size_t definitionBytes = 0;
    for (const std::uint32_t key : request.wanted_members()) {
        const MemberRecord *record = members_->find(key);
        if (record == nullptr || !MemberTable::isShared(*record))
            continue;
        definitionBytes += record->id.size() + record->endpoint.size() + 24;
        if (definitionBytes > options_.maxMessageBytes / 2)
            break;
        members_->addDefinition(answer, *record);
        members_->addRow(*answer.mutable_rows(), *record, false);
    }
    for (const std::uint32_t key : request.wanted_loads()) {
        const MemberRecord *record = members_->find(key);
        if (record != nullptr && record->loadHeartbeat > 0)
            addLoad(answer, *record);
    }
    for (const std::uint32_t key : request.wanted_failure_domains()) {
        if (const proto::FailureDomainDigest *digest = failureDomains_->findKey(key))
            FailureDomainTable::addFor(request.failure_domain_versions(), *digest,
                                       *answer.mutable_failure_domains());
    }
}

// ---- Marks and other urgent news --------------------------------------------------------------

std::uint64_t GossipCore::marksDigest() const
{
    return leaving_->digest() ^ crashes_->digest();
}

void GossipCore::addMarks(proto::Gossip &message, std::uint64_t peerDigest) const
{
    if (peerDigest == marksDigest())
        return;
    const std::size_t start = randomBelow(options_.maxLeavingMarks);
    const auto crashesFrom = toCount(now_.wall + options_.crashMarkLifetime - kRecentMarks);
    leaving_->addTo(message, toCount(now_.wall - kRecentMarks), kMarkBatch, start);
    crashes_->addTo(message, crashesFrom, kMarkBatch, start);
    // Tables that differ in older marks are repaired by larger parts, in random exchanges.
    const bool hasRecent = message.leaving_size() + message.crashes_size() > 0;
    if (hasRecent && randomBelow(4) != 0)
        return;
    message.clear_leaving();
    message.clear_crashes();
    leaving_->addTo(message, 0, kMarkBatch, start);
    crashes_->addTo(message, 0, kMarkBatch, start);
}

void GossipCore::mergeMarks(const proto::Gossip &gossip)
{
    for (const proto::LeavingMark &mark : gossip.leaving()) {
        if (!leaving_->merge(mark, now_.wall))
            continue;
        *urgentMarks_.add_leaving() = mark;
        members_->touch();
        raiseUrgent();
    }
    for (const proto::CrashMark &mark : gossip.crashes()) {
        if (!crashes_->merge(mark, now_.wall))
            continue;
        *urgentMarks_.add_crashes() = mark;
        raiseUrgent();
    }
}

void GossipCore::raiseUrgent()
{
    urgentPending_ = true;
}

void GossipCore::sendUrgent()
{
    if (!urgentPending_ || now_.monotonic < lastUrgent_ + options_.urgentInterval)
        return;
    urgentPending_ = false;
    lastUrgent_ = now_.monotonic;
    proto::Gossip gossip = std::exchange(urgentMarks_, proto::Gossip());
    gossip.set_step(proto::GOSSIP_STEP_FINAL);
    *gossip.mutable_rows() = members_->makeRows();
    for (const auto &entry : members_->records()) {
        if (entry.second.urgent && MemberTable::isShared(entry.second))
            members_->addRow(*gossip.mutable_rows(), entry.second, false);
    }
    members_->clearUrgent();
    refreshActivePeers();
    for (const std::string &peer : activePeers_)
        emit(peer, endpointOf(peer), gossip);
}

// ---- Between failure domains
// ---------------------------------------------------------------------------

void GossipCore::exchangeWithFailureDomains()
{
    std::map<std::string, std::string> regions;
    for (const Seed &seed : listSeeds_)
        regions.emplace(seed.failureDomain, seed.region);
    for (const auto &[failureDomain, entry] : failureDomains_->entries())
        regions[failureDomain] = entry.digest.region();
    regions.erase(options_.failureDomain);
    // The relays share the exchanges of the failure domain.
    const auto share = static_cast<int>(std::max<std::size_t>(relays().size(), 1));
    for (const auto &[failureDomain, region] : regions) {
        milliseconds &due = failureDomainDue_[failureDomain];
        if (now_.monotonic < due)
            continue;
        const milliseconds period = region == options_.region ? options_.regionPeriod
                                                              : options_.interRegionPeriod;
        // An exchange carries both digests, so one of the two failure domains starts it; the other
        // one does when it hears nothing.
        const FailureDomainTable::Entry *entry = failureDomains_->find(failureDomain);
        const bool isSilent = entry == nullptr || now_.monotonic - entry->lastProgress > 2 * period;
        if (options_.failureDomain > failureDomain && !isSilent)
            continue;
        // Half a round earlier, since this runs once per round only.
        due = now_.monotonic + period * share - options_.roundPeriod / 2;
        pushToFailureDomain(failureDomain);
    }
}

void GossipCore::pushToFailureDomain(const std::string &failureDomain)
{
    std::vector<std::pair<std::string, std::string>> targets;
    if (const FailureDomainTable::Entry *entry = failureDomains_->find(failureDomain)) {
        for (const proto::MemberEntry &contact : entry->digest.contacts())
            targets.emplace_back(contact.id(), contact.endpoint());
        // The first contacts are the relays.
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
    // The contacts travel in the answer to a failure domain that lacks them, and here until it has
    // answered.
    const bool contactsKnown = contactsKnownBy_[failureDomain] == own.contacts_hash();
    if (contactsKnown && isReachable)
        own.clear_contacts();
    *digests.add_failure_domains() = std::move(own);
    emit(peerId, endpoint, std::move(digests));
}

void GossipCore::receiveFailureDomainDigests(const std::string &sender,
                                             const proto::FailureDomainDigests &digests)
{
    for (const proto::FailureDomainDigest &digest : digests.failure_domains())
        failureDomains_->merge(digest, now_.monotonic);
    failureDomains_->noteOwnVersion(
            FailureDomainTable::versionIn(digests.known(), options_.failureDomain));
    if (digests.failure_domains_size() > 0) {
        const std::string &senderFailureDomain =
                digests.failure_domains(digests.failure_domains_size() - 1).failure_domain();
        if (failureDomains_->find(senderFailureDomain) != nullptr)
            contactsKnownBy_[senderFailureDomain] = FailureDomainTable::contactsHashIn(
                    digests.known(), options_.failureDomain);
    }
    if (!digests.endpoint().empty() && digests.failure_domains_size() > 0
        && std::find(options_.seeds.begin(), options_.seeds.end(), digests.endpoint())
                   != options_.seeds.end())
        foreignSeeds_[digests.endpoint()] =
                digests.failure_domains(digests.failure_domains_size() - 1).failure_domain();
    findHigherRevision(sender);
    if (digests.reply())
        return;
    proto::FailureDomainDigests answer;
    answer.set_reply(true);
    for (const proto::FailureDomainDigest *digest :
         failureDomains_->newerThan(digests.known(), nullptr)) {
        // What the sender gets from the failure domain itself is not sent twice.
        if (isOutdated(*digest, digests.known()))
            FailureDomainTable::addFor(digests.known(), *digest, *answer.mutable_failure_domains());
    }
    FailureDomainTable::addFor(digests.known(), ownDigest(), *answer.mutable_failure_domains());
    emit(sender, endpointOf(sender), std::move(answer));
}

void GossipCore::answerForeignPush(const std::string &sender)
{
    proto::FailureDomainDigests answer;
    answer.set_reply(true);
    answer.set_endpoint(options_.endpoint);
    *answer.add_failure_domains() = ownDigest();
    emit(sender, endpointOf(sender), std::move(answer));
}

// The digest is made once per period, since every new version travels to all daemons of the other
// failure domains.
const proto::FailureDomainDigest &GossipCore::ownDigest()
{
    if (now_.monotonic - ownDigestMade_ >= options_.regionPeriod * 9 / 10) {
        ownDigest_ = makeOwnDigest();
        ownDigestMade_ = now_.monotonic;
    }
    return ownDigest_;
}

proto::FailureDomainDigest GossipCore::makeOwnDigest()
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
    digest.set_contacts_hash(FailureDomainTable::hashOf(digest.contacts()));
    return digest;
}

// ---- Configuration revisions ------------------------------------------------------------------

// Prefers the sender, which is known to be reachable, over a member that has the highest revision.
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
    const bool isNews = best.revision > notifiedRevision_
                        || now_.monotonic - notifiedAt_ >= kRevisionRepeat;
    if (best.peer.empty() || !isNews)
        return;
    notifiedRevision_ = best.revision;
    notifiedAt_ = now_.monotonic;
    higherRevision_ = best;
}

// ---- Inputs and outputs -----------------------------------------------------------------------

void GossipCore::setStatus(MemberStatus status, GossipTime now)
{
    advance(now);
    MemberRecord &self = members_->self();
    if (status == MemberStatus::Dead || self.status == status)
        return;
    self.status = status;
    self.urgent = true;
    members_->beat();
    members_->touch();
    raiseUrgent();
    // Not delayed by earlier news: after Left the process may exit at any time.
    lastUrgent_ = kLongAgo;
    sendUrgent();
}

void GossipCore::setConfigRevision(std::uint64_t revision, GossipTime now)
{
    advance(now);
    MemberRecord &self = members_->self();
    // A daemon never moves to a lower revision.
    if (revision <= self.configRevision)
        return;
    self.configRevision = revision;
    self.urgent = true;
    members_->beat();
    members_->touch();
    raiseUrgent();
    sendUrgent();
}

void GossipCore::setCellLoads(const std::vector<CellLoad> &loads)
{
    std::vector<proto::CellDigest> digests;
    digests.reserve(loads.size());
    for (const CellLoad &load : loads)
        digests.push_back(digestOf(load));
    pendingLoads_ = std::move(digests);
}

void GossipCore::setPlatformList(const std::vector<ListedMember> &list, GossipTime now)
{
    advance(now);
    listSeeds_.clear();
    for (const ListedMember &listed : list) {
        if (listed.kind == ListedKind::Daemon) {
            if (!listed.leaving && listed.endpoint != options_.endpoint)
                listSeeds_.push_back(Seed{ .endpoint = listed.endpoint,
                                           .failureDomain = listed.failureDomain,
                                           .region = listed.region });
            continue;
        }
        const std::uint64_t since = leaving_->leavingSince(listed.name);
        const bool lift = since != 0 && !listed.leaving
                          && since + toCount(options_.listLag) < toCount(now.wall);
        if (listed.leaving || lift)
            markLeaving(listed.name, listed.leaving, now);
    }
}

void GossipCore::markLeaving(const std::string &backendServer, bool leaving, GossipTime now)
{
    advance(now);
    if (!leaving_->set(backendServer, leaving, now.wall))
        return;
    members_->touch();
    raiseUrgent();
    proto::LeavingMark &mark = *urgentMarks_.add_leaving();
    mark.set_backend_server(backendServer);
    mark.set_leaving(leaving);
    mark.set_version(leaving_->versionOf(backendServer));
    sendUrgent();
}

void GossipCore::suspect(const std::string &peer, GossipTime now)
{
    advance(now);
    MemberRecord *record = members_->findId(peer);
    if (record == nullptr || record->dead || !members_->isPeer(*record))
        return;
    record->suspected = true;
    record->urgent = true;
    // A live peer answers and thereby refutes the suspicion.
    push(*record);
    raiseUrgent();
    sendUrgent();
}

void GossipCore::addCrash(std::uint64_t fingerprint, GossipTime now)
{
    advance(now);
    const std::uint32_t reporter = MemberTable::keyOf(options_.selfId, 0);
    *urgentMarks_.add_crashes() = crashes_->add(fingerprint, reporter, now.wall);
    raiseUrgent();
    sendUrgent();
}

unsigned GossipCore::crashCount(std::uint64_t fingerprint, GossipTime now) const
{
    return crashes_->crashes(fingerprint, now.wall);
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
        // Before anybody is ready, somebody has to read the configuration.
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
    // If two members publish the same cell, ownership is moving and the newer report counts.
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
        const milliseconds received = isSelf ? now_.monotonic : record.loadReceived;
        for (const proto::CellDigest &cell : record.cells) {
            auto &slot = cells[{ cell.service(), cell.cell() }];
            if (slot.second.owner.empty() || slot.first < received)
                slot = { received, loadOf(cell, record.id) };
        }
    }
    std::sort(result->members.begin(), result->members.end(),
              [](const Member &left, const Member &right) { return left.id < right.id; });
    for (auto &entry : cells)
        result->cells.push_back(std::move(entry.second.second));
    result->failureDomains = failureDomains_->views();
    result->leavingBackendServers = leaving_->leavingBackendServers();
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
    return leaving_->size();
}

std::size_t GossipCore::crashMarkCount() const
{
    return crashes_->size();
}

std::uint64_t GossipCore::incarnation() const
{
    return members_->self().incarnation;
}

std::string GossipCore::endpointOf(const std::string &peerId) const
{
    const MemberRecord *record = members_->findId(peerId);
    return record == nullptr ? std::string() : record->endpoint;
}

void GossipCore::emit(const std::string &peerId, const std::string &endpoint, proto::Gossip gossip)
{
    GossipMessage message{ .peer = peerId, .endpoint = endpoint };
    gossip.set_failure_domain(options_.failureDomain);
    *message.envelope.mutable_gossip() = std::move(gossip);
    outbox_.push_back(std::move(message));
}

void GossipCore::emit(const std::string &peerId, const std::string &endpoint,
                      proto::FailureDomainDigests digests)
{
    *digests.mutable_known() = failureDomains_->versions();
    GossipMessage message{ .peer = peerId, .endpoint = endpoint };
    *message.envelope.mutable_failure_domain_digests() = std::move(digests);
    outbox_.push_back(std::move(message));
}

} // namespace auburn
