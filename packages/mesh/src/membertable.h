// MemberTable: the members of one failure domain as one daemon knows them.
//
// A member is identified by a key, the hash of its id and incarnation. Only the member itself
// changes its row, and raises the heartbeat with each change; the row with the higher heartbeat is
// the newer one. Failure detection looks at local time since the last higher heartbeat only.
#pragma once

#include "auburn.pb.h"
#include "auburn/mesh/memberview.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace auburn {

struct MemberRecord
{
    std::uint32_t key = 0;
    std::string id;
    std::uint64_t incarnation = 0;
    std::string endpoint;
    std::uint32_t heartbeat = 0;
    // As declared by the member; death is a local judgement and kept apart.
    MemberStatus status = MemberStatus::Starting;
    std::uint64_t configRevision = 0;
    // Heartbeat at which the held load was published; 0 if none is held.
    std::uint32_t loadHeartbeat = 0;
    std::vector<proto::CellDigest> cells;

    std::chrono::milliseconds lastHeartbeatAt{ 0 };
    std::chrono::milliseconds loadReceivedAt{ 0 };
    std::chrono::milliseconds leftAt{ 0 };
    bool dead = false;
    bool suspected = false;
    // False after this daemon was paused, until the member makes progress again; unconfirmed rows
    // are not passed on, so that members that died meanwhile do not reappear elsewhere.
    bool confirmed = true;
    // The peer has shown a row of ours, so it needs no definition of us.
    bool knowsSelf = false;
    // Hash of the keys that the peer shares, 0 if unknown.
    std::uint32_t keySetHash = 0;
    // The status changed recently and is passed on at once.
    bool urgent = false;
};

// One row of a message, decoded.
struct MemberRow
{
    std::uint32_t key = 0;
    std::uint32_t heartbeat = 0;
    MemberStatus status = MemberStatus::Starting;
    bool suspected = false;
    std::uint64_t configRevision = 0;
    // 0 if the sender holds no load of the member.
    std::uint32_t loadHeartbeat = 0;
};

// Decodes the parallel arrays; empty if their lengths do not match. Rows without keys are taken in
// the order of the given keys.
std::vector<MemberRow> decodeRows(const proto::MemberRows &rows,
                                  const std::vector<std::uint32_t> &orderedKeys);

// Hash of a key set in ascending order; never 0.
std::uint32_t hashKeys(const std::vector<std::uint32_t> &orderedKeys);

class MemberTable
{
public:
    using Visitor = std::function<void(const MemberRecord &)>;

    struct Limits
    {
        std::chrono::milliseconds failureTimeout{ 0 };
        std::chrono::milliseconds suspicionTimeout{ 0 };
        std::chrono::milliseconds memberRetention{ 0 };
        unsigned maxMembers = 0;
    };

    MemberTable(Limits limits, const std::string &selfId, std::uint64_t incarnation,
                const std::string &endpoint, std::uint32_t heartbeat);

    static std::uint32_t keyOf(const std::string &id, std::uint64_t incarnation);

    MemberRecord &self() { return records_.at(selfKey_); }
    const MemberRecord &self() const { return records_.at(selfKey_); }
    MemberRecord *find(std::uint32_t key);
    const MemberRecord *find(std::uint32_t key) const;
    MemberRecord *findById(const std::string &id);
    const MemberRecord *findById(const std::string &id) const;
    const std::map<std::uint32_t, MemberRecord> &records() const { return records_; }
    std::size_t size() const { return records_.size(); }

    // Raises this daemon's own heartbeat.
    void incrementHeartbeat() { ++self().heartbeat; }
    // Replaces this daemon's incarnation by a higher one.
    void replaceOwnIncarnation(std::uint64_t incarnation);
    // Accepts a definition unless a newer incarnation is known; true if it is new.
    bool define(const proto::MemberEntry &entry, std::chrono::milliseconds now);
    // Takes over a newer row; true if the row's key is known.
    bool mergeRow(const MemberRow &row, std::chrono::milliseconds now);
    // Takes over a newer load of a known member.
    void mergeLoad(const proto::MemberLoad &load, std::chrono::milliseconds now);
    // Judges the members by the time since their last progress; removes those to forget.
    void expire(std::chrono::milliseconds now);
    // This daemon did not run for the given time: judges nobody by it.
    void excludePause(std::chrono::milliseconds gap);

    // True if the member's row is passed on to others.
    static bool isShared(const MemberRecord &record);
    // A peer that messages can be sent to.
    bool isPeer(const MemberRecord &record) const;

    // Appends a row; deadForPeer tells the peer that it was considered dead.
    void addRow(proto::MemberRows &rows, const MemberRecord &record, bool deadForPeer) const;
    void addDefinition(proto::Gossip &gossip, const MemberRecord &record) const;
    void addLoad(proto::Gossip &gossip, const MemberRecord &record) const;
    // A message part without rows, with the highest revision and heartbeat as its bases.
    proto::MemberRows makeRows() const;
    // Keys of all shared records, ascending.
    std::vector<std::uint32_t> sharedKeys() const;

    // Raised by every change that a view shows.
    std::uint64_t version() const { return version_; }
    void incrementVersion() { ++version_; }
    bool consumeUrgentFlag();
    void clearUrgentFlags();

private:
    void remove(std::uint32_t key);

    const Limits limits_;
    std::uint32_t selfKey_ = 0;
    std::map<std::uint32_t, MemberRecord> records_;
    std::unordered_map<std::string, std::uint32_t> keysById_;
    std::uint64_t version_ = 1;
    bool hasUrgentChanges_ = false;
};

} // namespace auburn
