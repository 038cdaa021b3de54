#include "membertable.h"

#include "auburn/core/hash.h"

#include <algorithm>

namespace auburn {

namespace {

// Layout of MemberRows.status, see the protocol definition.
constexpr unsigned kStateBits = 7;
constexpr unsigned kSuspectedBit = 8;
constexpr unsigned kLoadBit = 16;
constexpr unsigned kRevisionShift = 5;
constexpr unsigned kDeadState = 7;
// Limits the memory that a faulty peer can make this daemon use.
constexpr std::size_t kMaxNameBytes = 256;
constexpr int kMaxCellsPerMember = 256;
// The row of a member that has left is forwarded for this long, so that all members receive it.
constexpr std::chrono::milliseconds kLeftMemberSharingTime{ 10000 };

unsigned toWireState(MemberStatus status)
{
    switch (status) {
    case MemberStatus::Starting:
        return proto::MEMBER_STATE_STARTING;
    case MemberStatus::Ready:
        return proto::MEMBER_STATE_READY;
    case MemberStatus::Draining:
        return proto::MEMBER_STATE_DRAINING;
    case MemberStatus::Left:
        return proto::MEMBER_STATE_LEFT;
    case MemberStatus::Dead:
        break;
    }
    return kDeadState;
}

MemberStatus fromWireState(unsigned state)
{
    switch (state) {
    case proto::MEMBER_STATE_READY:
        return MemberStatus::Ready;
    case proto::MEMBER_STATE_DRAINING:
        return MemberStatus::Draining;
    case proto::MEMBER_STATE_LEFT:
        return MemberStatus::Left;
    case kDeadState:
        return MemberStatus::Dead;
    default:
        return MemberStatus::Starting;
    }
}

} // namespace

std::vector<MemberRow> decodeRows(const proto::MemberRows &rows,
                                  const std::vector<std::uint32_t> &orderedKeys)
{
    std::vector<MemberRow> result;
    const int count = rows.status_size();
    const bool hasKeys = rows.keys_size() > 0;
    const int keyCount = hasKeys ? rows.keys_size() : static_cast<int>(orderedKeys.size());
    if (rows.heartbeat_distances_size() != count || keyCount != count)
        return result;
    result.reserve(static_cast<std::size_t>(count));
    int loads = 0;
    for (int i = 0; i < count; ++i) {
        const std::uint64_t status = rows.status(i);
        const std::uint32_t base = rows.base_heartbeat();
        MemberRow row{ .key = hasKeys ? rows.keys(i) : orderedKeys[static_cast<std::size_t>(i)],
                       .heartbeat = base - std::min(rows.heartbeat_distances(i), base) };
        row.status = fromWireState(status & kStateBits);
        row.suspected = (status & kSuspectedBit) != 0;
        row.configRevision = rows.base_revision()
                             - std::min<std::uint64_t>(status >> kRevisionShift,
                                                       rows.base_revision());
        if ((status & kLoadBit) != 0) {
            if (loads == rows.load_ages_size())
                return {};
            row.loadHeartbeat = row.heartbeat - std::min(rows.load_ages(loads++), row.heartbeat);
        }
        result.push_back(row);
    }
    return result;
}

std::uint32_t hashKeys(const std::vector<std::uint32_t> &orderedKeys)
{
    const std::string_view bytes(reinterpret_cast<const char *>(orderedKeys.data()),
                                 orderedKeys.size() * sizeof(std::uint32_t));
    return static_cast<std::uint32_t>(stableHash(bytes)) | 1U;
}

MemberTable::MemberTable(Limits limits, const std::string &selfId, std::uint64_t incarnation,
                         const std::string &endpoint, std::uint32_t heartbeat)
    : limits_(limits)
    , selfKey_(keyOf(selfId, incarnation))
{
    records_.emplace(selfKey_, MemberRecord{ .key = selfKey_,
                                             .id = selfId,
                                             .incarnation = incarnation,
                                             .endpoint = endpoint,
                                             .heartbeat = std::max(heartbeat, 1U) });
    keysById_.emplace(selfId, selfKey_);
}

std::uint32_t MemberTable::keyOf(const std::string &id, std::uint64_t incarnation)
{
    return static_cast<std::uint32_t>(stableHash(id, incarnation));
}

MemberRecord *MemberTable::find(std::uint32_t key)
{
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

const MemberRecord *MemberTable::find(std::uint32_t key) const
{
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

MemberRecord *MemberTable::findById(const std::string &id)
{
    const auto found = keysById_.find(id);
    return found == keysById_.end() ? nullptr : &records_.at(found->second);
}

const MemberRecord *MemberTable::findById(const std::string &id) const
{
    const auto found = keysById_.find(id);
    return found == keysById_.end() ? nullptr : &records_.at(found->second);
}

void MemberTable::replaceOwnIncarnation(std::uint64_t incarnation)
{
    MemberRecord record = self();
    record.incarnation = std::max(incarnation, record.incarnation + 1);
    while (records_.contains(keyOf(record.id, record.incarnation)))
        ++record.incarnation;
    record.key = keyOf(record.id, record.incarnation);
    ++record.heartbeat;
    record.loadHeartbeat = record.cells.empty() ? 0 : record.heartbeat;
    records_.erase(selfKey_);
    selfKey_ = record.key;
    keysById_[record.id] = selfKey_;
    records_.emplace(selfKey_, std::move(record));
    for (auto &entry : records_)
        entry.second.knowsSelf = false;
    incrementVersion();
}

bool MemberTable::define(const proto::MemberEntry &entry, std::chrono::milliseconds now)
{
    if (entry.id().empty() || entry.id().size() > kMaxNameBytes || entry.endpoint().empty()
        || entry.endpoint().size() > kMaxNameBytes || entry.id() == self().id)
        return false;
    const std::uint32_t key = keyOf(entry.id(), entry.incarnation());
    if (records_.contains(key))
        return false;
    if (const MemberRecord *known = findById(entry.id())) {
        if (known->incarnation >= entry.incarnation())
            return false;
        remove(known->key);
    }
    if (records_.size() >= limits_.maxMembers)
        return false;
    MemberRecord record{ .key = key,
                         .id = entry.id(),
                         .incarnation = entry.incarnation(),
                         .endpoint = entry.endpoint() };
    record.lastHeartbeatAt = now;
    records_.emplace(key, std::move(record));
    keysById_[entry.id()] = key;
    incrementVersion();
    return true;
}

bool MemberTable::mergeRow(const MemberRow &row, std::chrono::milliseconds now)
{
    MemberRecord *record = find(row.key);
    if (record == nullptr)
        return false;
    if (row.status == MemberStatus::Dead || record->key == selfKey_)
        return true;
    if (row.heartbeat <= record->heartbeat) {
        if (row.heartbeat == record->heartbeat && row.suspected && !record->dead)
            record->suspected = true;
        return true;
    }
    if (record->status != row.status || record->dead
        || record->configRevision != row.configRevision)
        incrementVersion();
    if (record->status != row.status) {
        record->urgent = true;
        hasUrgentChanges_ = true;
        if (row.status == MemberStatus::Left)
            record->leftAt = now;
    }
    record->heartbeat = row.heartbeat;
    record->status = row.status;
    record->configRevision = row.configRevision;
    record->suspected = row.suspected;
    record->dead = false;
    record->confirmed = true;
    record->lastHeartbeatAt = now;
    return true;
}

void MemberTable::mergeLoad(const proto::MemberLoad &load, std::chrono::milliseconds now)
{
    MemberRecord *record = find(load.key());
    if (record == nullptr || record->key == selfKey_ || load.heartbeat() <= record->loadHeartbeat
        || load.cells_size() > kMaxCellsPerMember)
        return;
    record->loadHeartbeat = load.heartbeat();
    record->loadReceivedAt = now;
    record->cells.assign(load.cells().begin(), load.cells().end());
    incrementVersion();
}

void MemberTable::expire(std::chrono::milliseconds now)
{
    std::vector<std::uint32_t> expired;
    for (auto &[key, record] : records_) {
        if (key == selfKey_)
            continue;
        const std::chrono::milliseconds sinceHeartbeat = now - record.lastHeartbeatAt;
        const auto timeout = record.suspected ? limits_.suspicionTimeout : limits_.failureTimeout;
        if (!record.dead && record.status != MemberStatus::Left && sinceHeartbeat > timeout) {
            record.dead = true;
            record.suspected = false;
            incrementVersion();
        }
        if (record.status == MemberStatus::Left && now - record.leftAt > kLeftMemberSharingTime)
            record.confirmed = false;
        if (sinceHeartbeat > limits_.memberRetention)
            expired.push_back(key);
    }
    for (const std::uint32_t key : expired)
        remove(key);
}

void MemberTable::excludePause(std::chrono::milliseconds gap)
{
    for (auto &entry : records_) {
        MemberRecord &record = entry.second;
        record.lastHeartbeatAt += gap;
        record.leftAt += gap;
        if (record.key != selfKey_)
            record.confirmed = false;
    }
}

bool MemberTable::isShared(const MemberRecord &record)
{
    return record.confirmed && !record.dead && record.heartbeat > 0;
}

bool MemberTable::isPeer(const MemberRecord &record) const
{
    return record.key != selfKey_ && !record.dead && record.status != MemberStatus::Left;
}

void MemberTable::addRow(proto::MemberRows &rows, const MemberRecord &record,
                         bool deadForPeer) const
{
    const std::uint64_t distance = rows.base_revision()
                                   - std::min(record.configRevision, rows.base_revision());
    std::uint64_t status = deadForPeer ? kDeadState : toWireState(record.status);
    status |= distance << kRevisionShift;
    if (record.suspected)
        status |= kSuspectedBit;
    if (record.loadHeartbeat > 0 && record.loadHeartbeat <= record.heartbeat) {
        status |= kLoadBit;
        rows.add_load_ages(record.heartbeat - record.loadHeartbeat);
    }
    rows.add_keys(record.key);
    rows.add_heartbeat_distances(rows.base_heartbeat()
                                 - std::min(record.heartbeat, rows.base_heartbeat()));
    rows.add_status(status);
}

void MemberTable::addDefinition(proto::Gossip &gossip, const MemberRecord &record) const
{
    proto::MemberEntry &entry = *gossip.add_members();
    entry.set_id(record.id);
    entry.set_incarnation(record.incarnation);
    entry.set_endpoint(record.endpoint);
}

void MemberTable::addLoad(proto::Gossip &gossip, const MemberRecord &record) const
{
    proto::MemberLoad &load = *gossip.add_loads();
    load.set_key(record.key);
    load.set_heartbeat(record.loadHeartbeat);
    load.mutable_cells()->Assign(record.cells.begin(), record.cells.end());
}

proto::MemberRows MemberTable::makeRows() const
{
    std::uint64_t revision = 0;
    std::uint32_t heartbeat = 0;
    for (const auto &entry : records_) {
        revision = std::max(revision, entry.second.configRevision);
        heartbeat = std::max(heartbeat, entry.second.heartbeat);
    }
    proto::MemberRows rows;
    rows.set_base_revision(revision);
    rows.set_base_heartbeat(heartbeat);
    return rows;
}

std::vector<std::uint32_t> MemberTable::sharedKeys() const
{
    std::vector<std::uint32_t> keys;
    keys.reserve(records_.size());
    for (const auto &[key, record] : records_) {
        if (isShared(record))
            keys.push_back(key);
    }
    return keys;
}

bool MemberTable::consumeUrgentFlag()
{
    return std::exchange(hasUrgentChanges_, false);
}

void MemberTable::clearUrgentFlags()
{
    for (auto &entry : records_)
        entry.second.urgent = false;
}

void MemberTable::remove(std::uint32_t key)
{
    const auto found = records_.find(key);
    const auto byId = keysById_.find(found->second.id);
    if (byId != keysById_.end() && byId->second == key)
        keysById_.erase(byId);
    records_.erase(found);
    incrementVersion();
}

} // namespace auburn
