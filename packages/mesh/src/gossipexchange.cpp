// Messages of GossipCore inside its failure domain: push, reply, final message and urgent updates.
#include "auburn/mesh/gossipcore.h"

#include "auburn/core/hash.h"
#include "failuredomaintable.h"
#include "gossipkeys.h"
#include "marktables.h"
#include "membertable.h"
#include "unsignedmilliseconds.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace auburn {

namespace {

using std::chrono::milliseconds;

// If the mark tables differ, marks up to this age are sent first. Older marks follow if the tables
// still differ.
constexpr milliseconds kRecentMarkAge{ 10000 };
constexpr int kMaxMarksPerMessage = 128;

} // namespace

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

} // namespace auburn
