#include "logbootstrap.h"

#include <utility>

namespace auburn {

namespace {

// A change that was not decided yet, as it came from the log; an oversized one is kept as well,
// because the fold must see every record.
proto::OffsetChange heldChange(std::uint64_t offset, const proto::ConfigChange &change)
{
    proto::OffsetChange held;
    held.set_offset(offset);
    *held.mutable_change() = change;
    return held;
}

} // namespace

LogBootstrap::Step LogBootstrap::add(const LogBatch &batch)
{
    if (!started_) {
        started_ = true;
        earliest_ = batch.earliest;
        next_ = batch.earliest;
        // Offset 0 is ignored by every reader, so a log that starts at 1 is complete as well.
        if (earliest_ <= 1)
            fold_.emplace();
    } else if (batch.earliest > next_) {
        return Step::Gap;
    }
    for (const LogRecord &logRecord : batch.records) {
        proto::ConfigRecord record;
        // An unreadable record counts as one without effect.
        if (!record.ParseFromString(logRecord.data))
            record.Clear();
        addRecord(logRecord.offset, record);
        next_ = logRecord.offset + 1;
    }
    if (next_ < batch.next)
        return Step::More;
    return fold_ ? Step::Done : Step::NoBase;
}

void LogBootstrap::addRecord(std::uint64_t offset, const proto::ConfigRecord &record)
{
    if (fold_) {
        fold_->fold(offset, record);
        return;
    }
    if (record.has_change())
        changes_.push_back(heldChange(offset, record.change()));
    if (record.has_snapshot())
        addChunk(record.snapshot());
    if (fold_)
        fold_->advance(offset);
}

void LogBootstrap::addChunk(const proto::ConfigChunk &chunk)
{
    if (chunk.upto_offset() + 1 < earliest_ || chunk.delta())
        return;
    ChunkAssembler &assembler = snapshots_[chunk.snapshot_id()];
    assembler.add(chunk);
    if (!assembler.isComplete())
        return;
    fold_ = ConfigFold::fromChunks(assembler.take());
    if (!fold_)
        return;
    for (const proto::OffsetChange &held : changes_)
        fold_->fold(held.offset(), held.change());
    changes_.clear();
    snapshots_.clear();
}

ConfigFold LogBootstrap::take()
{
    return std::move(*fold_);
}

} // namespace auburn
