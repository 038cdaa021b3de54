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

// MemberRecord holds everything that this daemon knows of one member.
struct MemberRecord
{
    std::uint32_t key = 0;
    std::string id;
    std::uint64_t incarnation = 0;
    std::string endpoint;
    std::uint32_t heartbeat = 0;
    // As declared by the member. Never Dead: failure is detected locally and stored in dead.
    MemberStatus status = MemberStatus::Starting;
    std::uint64_t configRevision = 0;
    // Heartbeat of the member when it published the load in cells; 0 if no load is known.
    std::uint32_t loadHeartbeat = 0;
    std::vector<proto::CellDigest> cells;

    // Local monotonic times. lastHeartbeatAt is the time at which the heartbeat last increased.
    std::chrono::milliseconds lastHeartbeatAt{ 0 };
    std::chrono::milliseconds loadReceivedAt{ 0 };
    std::chrono::milliseconds leftAt{ 0 };
    bool dead = false;
    bool suspected = false;
    // False from the end of a pause of this daemon until the member's heartbeat increases again.
    // Unconfirmed rows are not forwarded, so that members that failed during the pause do not
    // reappear at other daemons. Also false for members that left some time ago.
    bool confirmed = true;
    // True if the peer's last reply did not request the definition of this daemon, so that pushes
    // to the peer omit it.
    bool knowsSelf = false;
    // Hash of the keys that the peer shares; 0 if unknown.
    std::uint32_t keySetHash = 0;
    // The row changed and belongs to the next urgent update.
    bool urgent = false;
};

// MemberRow is one decoded row of a gossip message.
struct MemberRow
{
    std::uint32_t key = 0;
    std::uint32_t heartbeat = 0;
    MemberStatus status = MemberStatus::Starting;
    bool suspected = false;
    std::uint64_t configRevision = 0;
    // 0 if the sender knows no load of the member.
    std::uint32_t loadHeartbeat = 0;
};

// Decodes the parallel arrays of a message. Returns an empty vector if their lengths do not match.
// If the message has no keys, its rows belong to orderedKeys, in their order.
std::vector<MemberRow> decodeRows(const proto::MemberRows &rows,
                                  const std::vector<std::uint32_t> &orderedKeys);

// Returns the hash of a key set in ascending order, which is never 0.
std::uint32_t hashKeys(const std::vector<std::uint32_t> &orderedKeys);

// MemberTable holds the members of the own failure domain and detects their failures.
//
// A member is identified by a key, the hash of its id and incarnation. Only the member itself
// changes its row, and it increments the heartbeat with each change, so the row with the higher
// heartbeat is the newer one. Failure detection depends only on the local time since the heartbeat
// last increased.
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

    // Increments the heartbeat of this daemon.
    void incrementHeartbeat() { ++self().heartbeat; }
    // Gives this daemon a new incarnation, which is higher than the current one.
    void replaceOwnIncarnation(std::uint64_t incarnation);
    // Adds a member, replacing a lower incarnation of it. Returns true if the member was added.
    bool define(const proto::MemberEntry &entry, std::chrono::milliseconds now);
    // Stores the row if it is newer than the known one. Returns true if the row's key is known.
    bool mergeRow(const MemberRow &row, std::chrono::milliseconds now);
    // Stores the load of a known member if it is newer than the known one.
    void mergeLoad(const proto::MemberLoad &load, std::chrono::milliseconds now);
    // Declares members dead whose heartbeat has not increased within the timeout, and removes those
    // whose retention time has passed.
    void expire(std::chrono::milliseconds now);
    // Excludes a time during which this daemon did not run from all timeouts.
    void excludePause(std::chrono::milliseconds gap);

    // Returns true if the member's row is forwarded to other members.
    static bool isShared(const MemberRecord &record);
    // Returns true if the record is another member that messages can be sent to.
    bool isPeer(const MemberRecord &record) const;

    // Appends the row of a member. If deadForPeer is true, the row reports the member as dead,
    // which tells the receiving peer that it was declared dead.
    void addRow(proto::MemberRows &rows, const MemberRecord &record, bool deadForPeer) const;
    void addDefinition(proto::Gossip &gossip, const MemberRecord &record) const;
    void addLoad(proto::Gossip &gossip, const MemberRecord &record) const;
    // Creates an empty table of rows with the highest revision and heartbeat as base values.
    proto::MemberRows makeRows() const;
    // Returns the keys of all shared records in ascending order.
    std::vector<std::uint32_t> sharedKeys() const;

    // Incremented by every change that is visible in a view.
    std::uint64_t version() const { return version_; }
    void incrementVersion() { ++version_; }
    // Returns true if the status of any member has changed since the last call.
    bool consumeUrgentFlag();
    // Clears MemberRecord::urgent of all records.
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
