// ConfigFold: folds the records of the configuration stream, in offset order, into the current
// items.
//
// Every reader must reach the same state from the same records, whether it read all of them or
// started from a snapshot. The rules here, the limits of itemrules.h and kRecentChangeIds are
// therefore part of the log's format: daemons with different rules would disagree on which changes
// were accepted.
#pragma once

#include "auburn/config/changehistory.h"
#include "auburn/config/configstate.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace auburn {

class ItemTable;

// Ids of the last changes that are remembered to recognise a repeated record: a day and a half at
// 2,800 changes a day. A publisher repeats an append for some seconds only.
constexpr std::size_t kRecentChangeIds = 4096;

// Changes that are held to respond to pulls with changes instead of the whole state.
constexpr std::size_t kHeldChanges = 2048;

// Not thread-safe.
class ConfigFold
{
public:
    // The state without any record. A record at offset 0 is ignored by every reader, because
    // revision 0 denotes the absence of an item or of all records.
    ConfigFold();
    ~ConfigFold();
    ConfigFold(ConfigFold &&other) noexcept;
    ConfigFold &operator=(ConfigFold &&other) noexcept;

    // The state held by a complete set of snapshot chunks in index order; empty, with lastError()
    // set, if they are inconsistent.
    static std::optional<ConfigFold> fromChunks(const std::vector<proto::ConfigChunk> &chunks);

    // Offset of the last folded record, 0 if there was none.
    std::uint64_t revision() const { return revision_; }

    // Folds the change at an offset; offsets up to revision() are ignored. Empty if the change had
    // been folded before or is ignored.
    std::optional<FoldedChange> fold(std::uint64_t offset, const proto::ConfigChange &change);

    // Folds a record of any kind; snapshots and unreadable records only advance the revision.
    std::optional<FoldedChange> fold(std::uint64_t offset, const proto::ConfigRecord &record);

    // Accounts for records up to an offset that hold no change.
    void advance(std::uint64_t offset);

    // The current state; cheap if nothing was folded since the last call.
    std::shared_ptr<const ConfigState> state() const;

    // The whole state in chunks of about maxBytes each; at least one.
    std::vector<proto::ConfigChunk> chunks(const std::string &snapshotId,
                                           std::size_t maxBytes) const;

    // The changes after a revision in chunks of about maxBytes each; empty if some of them are no
    // longer held.
    std::optional<std::vector<proto::ConfigChunk>> deltaChunks(std::uint64_t afterRevision,
                                                               const std::string &id,
                                                               std::size_t maxBytes) const;

    // Folds the changes of a complete set of delta chunks; false, with lastError() set, if they do
    // not continue this state. Appends each outcome to folded.
    bool foldDelta(const std::vector<proto::ConfigChunk> &chunks,
                   std::vector<FoldedChange> &folded);

    // Accepted and rejected changes, oldest first; bounded.
    const ChangeHistory &history() const { return history_; }

    // Puts the history of an earlier fold of the same stream in front of this one's.
    void inheritHistory(const ConfigFold &earlier);

private:
    bool remember(const std::string &changeId);
    void hold(std::uint64_t offset, const proto::ConfigChange &change);
    FoldedChange decide(std::uint64_t offset, const proto::ConfigChange &change);
    void apply(std::uint64_t offset, const proto::ConfigChange &change);

    std::unique_ptr<ItemTable> items_;
    std::uint64_t revision_ = 0;
    std::deque<std::string> recentIds_;
    std::unordered_set<std::string> recentIdSet_;
    std::deque<proto::OffsetChange> heldChanges_;
    // Every change after this offset is in heldChanges_.
    std::uint64_t heldAfter_ = 0;
    ChangeHistory history_;
    mutable std::shared_ptr<const ConfigState> state_;
};

} // namespace auburn
