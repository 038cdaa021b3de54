#include "snapshottracker.h"

#include <algorithm>

namespace auburn {

namespace {

// Unfinished snapshots that are tracked at a time; far more than relays that write at once.
constexpr std::size_t kMaxPartials = 64;

} // namespace

void SnapshotTracker::addChunk(std::chrono::milliseconds time, const proto::ConfigChunk &chunk)
{
    lastChunkRead_ = std::chrono::steady_clock::now();
    if (chunk.index() >= chunk.count())
        return;
    if (partials_.size() >= kMaxPartials && !partials_.contains(chunk.snapshot_id()))
        partials_.clear();
    Partial &partial = partials_[chunk.snapshot_id()];
    if (partial.seen.empty())
        partial.firstTime = time;
    partial.seen.insert(chunk.index());
    if (partial.seen.size() < chunk.count())
        return;
    proto::SnapshotMark mark;
    mark.set_upto_offset(chunk.upto_offset());
    mark.set_time_ms(static_cast<std::uint64_t>(partial.firstTime.count()));
    partials_.erase(chunk.snapshot_id());
    adopt(mark);
}

void SnapshotTracker::adopt(const proto::SnapshotMark &mark)
{
    if (mark.upto_offset() >= newest_.upto_offset())
        newest_ = mark;
}

} // namespace auburn
