#include "auburn/config/configfold.h"

#include "auburn/core/lasterror.h"
#include "itemrules.h"
#include "itemtable.h"

#include <algorithm>
#include <utility>

namespace auburn {

namespace {

constexpr std::size_t kShownLength = 128;

std::string shortened(const std::string &text)
{
    return text.substr(0, kShownLength);
}

FoldedChange describe(std::uint64_t offset, const proto::ConfigChange &change)
{
    ItemKey key = keyOfChange(change).value_or(ItemKey{});
    key.name = shortened(key.name);
    return FoldedChange{ .offset = offset,
                         .changeId = shortened(change.change_id()),
                         .operatorName = shortened(change.operator_name()),
                         .time = std::chrono::milliseconds(change.time_ms()),
                         .key = std::move(key),
                         .removal = change.remove(),
                         .item = change.item(),
                         .baseRevision = change.base_revision() };
}

FoldedChange rejected(FoldedChange outcome, ChangeStatus status, std::string reason)
{
    outcome.status = status;
    outcome.reason = std::move(reason);
    return outcome;
}

std::string conflictReason(std::uint64_t base, std::uint64_t current)
{
    if (current == 0)
        return "the item does not exist, the change is based on revision " + std::to_string(base);
    if (base == 0)
        return "the item already exists at revision " + std::to_string(current);
    return "the item is at revision " + std::to_string(current)
           + ", the change is based on revision " + std::to_string(base);
}

// Spreads messages over chunks of bounded size.
class ChunkSplitter
{
public:
    ChunkSplitter(std::size_t maxBytes, proto::ConfigChunk header)
        : maxBytes_(maxBytes)
        , header_(std::move(header))
        , chunks_(1, header_)
    {}

    // The chunk for a part of the given size.
    proto::ConfigChunk &chunkFor(std::size_t bytes)
    {
        if (used_ > 0 && used_ + bytes > maxBytes_) {
            chunks_.push_back(header_);
            used_ = 0;
        }
        used_ += bytes;
        return chunks_.back();
    }

    std::vector<proto::ConfigChunk> take()
    {
        const auto count = static_cast<std::uint32_t>(chunks_.size());
        for (std::uint32_t i = 0; i < count; ++i) {
            chunks_[i].set_index(i);
            chunks_[i].set_count(count);
        }
        return std::move(chunks_);
    }

private:
    std::size_t maxBytes_;
    proto::ConfigChunk header_;
    std::vector<proto::ConfigChunk> chunks_;
    std::size_t used_ = 0;
};

bool isCompleteSet(const std::vector<proto::ConfigChunk> &chunks, bool delta)
{
    for (std::size_t i = 0; i < chunks.size(); ++i) {
        const proto::ConfigChunk &chunk = chunks[i];
        const bool fits = chunk.snapshot_id() == chunks[0].snapshot_id()
                          && chunk.upto_offset() == chunks[0].upto_offset() && chunk.index() == i
                          && chunk.count() == chunks.size() && chunk.delta() == delta;
        if (!fits) {
            setLastError("chunks of a configuration state do not belong together");
            return false;
        }
    }
    if (chunks.empty())
        setLastError("no chunk of a configuration state");
    return !chunks.empty();
}

} // namespace

ConfigFold::ConfigFold()
    : items_(std::make_unique<ItemTable>())
{}

ConfigFold::~ConfigFold() = default;
ConfigFold::ConfigFold(ConfigFold &&other) noexcept = default;
ConfigFold &ConfigFold::operator=(ConfigFold &&other) noexcept = default;

std::optional<ConfigFold> ConfigFold::fromChunks(const std::vector<proto::ConfigChunk> &chunks)
{
    if (!isCompleteSet(chunks, false))
        return std::nullopt;
    ConfigFold fold;
    for (const proto::ConfigChunk &chunk : chunks) {
        for (const proto::ConfigItem &message : chunk.items()) {
            auto item = itemFromProto(message);
            if (!item)
                return std::nullopt;
            fold.items_->put(std::move(*item));
        }
        for (const std::string &id : chunk.recent_change_ids())
            fold.remember(id);
    }
    fold.revision_ = chunks[0].upto_offset();
    fold.heldAfter_ = fold.revision_;
    return fold;
}

std::optional<FoldedChange> ConfigFold::fold(std::uint64_t offset,
                                             const proto::ConfigChange &change)
{
    if (offset <= revision_)
        return std::nullopt;
    revision_ = offset;
    if (isCountable(change)) {
        if (!remember(change.change_id()))
            return std::nullopt;
        hold(offset, change);
    }
    FoldedChange outcome = decide(offset, change);
    if (outcome.status == ChangeStatus::Accepted)
        apply(offset, change);
    history_.add(outcome);
    return outcome;
}

std::optional<FoldedChange> ConfigFold::fold(std::uint64_t offset,
                                             const proto::ConfigRecord &record)
{
    if (record.has_change())
        return fold(offset, record.change());
    advance(offset);
    return std::nullopt;
}

void ConfigFold::advance(std::uint64_t offset)
{
    revision_ = std::max(revision_, offset);
}

bool ConfigFold::remember(const std::string &changeId)
{
    if (!recentIdSet_.insert(changeId).second)
        return false;
    recentIds_.push_back(changeId);
    if (recentIds_.size() > kRecentChangeIds) {
        recentIdSet_.erase(recentIds_.front());
        recentIds_.pop_front();
    }
    return true;
}

void ConfigFold::hold(std::uint64_t offset, const proto::ConfigChange &change)
{
    proto::OffsetChange held;
    held.set_offset(offset);
    *held.mutable_change() = change;
    heldChanges_.push_back(std::move(held));
    if (heldChanges_.size() > kHeldChanges) {
        heldAfter_ = heldChanges_.front().offset();
        heldChanges_.pop_front();
    }
}

FoldedChange ConfigFold::decide(std::uint64_t offset, const proto::ConfigChange &change)
{
    FoldedChange outcome = describe(offset, change);
    if (auto fault = shapeFault(change))
        return rejected(std::move(outcome), ChangeStatus::Invalid, std::move(*fault));
    const Item *item = items_->find(outcome.key);
    const std::uint64_t current = item ? item->revision : 0;
    if (change.base_revision() != current) {
        return rejected(std::move(outcome), ChangeStatus::Conflict,
                        conflictReason(change.base_revision(), current));
    }
    if (change.remove() && !item)
        return rejected(std::move(outcome), ChangeStatus::Invalid, "the item does not exist");
    auto fault = change.remove() ? items_->eraseFault(outcome.key)
                                 : items_->putFault(itemFromProto(change.item())->value);
    if (fault)
        return rejected(std::move(outcome), ChangeStatus::Invalid, std::move(*fault));
    return outcome;
}

void ConfigFold::apply(std::uint64_t offset, const proto::ConfigChange &change)
{
    if (change.remove()) {
        items_->erase(*keyOfChange(change));
        return;
    }
    Item item = *itemFromProto(change.item());
    item.revision = offset;
    items_->put(std::move(item));
}

std::shared_ptr<const ConfigState> ConfigFold::state() const
{
    if (!state_ || state_->revision() != revision_)
        state_ = items_->snapshot(revision_);
    return state_;
}

std::vector<proto::ConfigChunk> ConfigFold::chunks(const std::string &snapshotId,
                                                   std::size_t maxBytes) const
{
    proto::ConfigChunk header;
    header.set_snapshot_id(snapshotId);
    header.set_upto_offset(revision_);
    ChunkSplitter splitter(maxBytes, header);
    items_->visitAll([&splitter](const ItemPtr &item) {
        proto::ConfigItem message = itemToProto(*item);
        *splitter.chunkFor(message.ByteSizeLong()).add_items() = std::move(message);
    });
    for (const std::string &id : recentIds_)
        splitter.chunkFor(id.size()).add_recent_change_ids(id);
    return splitter.take();
}

std::optional<std::vector<proto::ConfigChunk>> ConfigFold::deltaChunks(std::uint64_t afterRevision,
                                                                       const std::string &id,
                                                                       std::size_t maxBytes) const
{
    if (afterRevision < heldAfter_ || afterRevision > revision_)
        return std::nullopt;
    proto::ConfigChunk header;
    header.set_snapshot_id(id);
    header.set_upto_offset(revision_);
    header.set_delta(true);
    header.set_after_offset(afterRevision);
    ChunkSplitter splitter(maxBytes, header);
    const auto first = std::upper_bound(
            heldChanges_.begin(), heldChanges_.end(), afterRevision,
            [](std::uint64_t offset, const auto &held) { return offset < held.offset(); });
    for (auto held = first; held != heldChanges_.end(); ++held)
        *splitter.chunkFor(held->ByteSizeLong()).add_changes() = *held;
    return splitter.take();
}

bool ConfigFold::foldDelta(const std::vector<proto::ConfigChunk> &chunks,
                           std::vector<FoldedChange> &folded)
{
    if (!isCompleteSet(chunks, true))
        return false;
    if (chunks[0].after_offset() > revision_) {
        setLastError("changes of a peer start after this daemon's revision");
        return false;
    }
    for (const proto::ConfigChunk &chunk : chunks) {
        for (const proto::OffsetChange &held : chunk.changes()) {
            if (auto outcome = fold(held.offset(), held.change()))
                folded.push_back(std::move(*outcome));
        }
    }
    advance(chunks[0].upto_offset());
    return true;
}

void ConfigFold::inheritHistory(const ConfigFold &earlier)
{
    ChangeHistory merged;
    const auto &own = history_.entries();
    for (const FoldedChange &change : earlier.history_.entries()) {
        if (own.empty() || change.offset < own.front().offset)
            merged.add(change);
    }
    for (const FoldedChange &change : own)
        merged.add(change);
    history_ = std::move(merged);
}

} // namespace auburn
