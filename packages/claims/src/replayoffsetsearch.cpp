#include "replayoffsetsearch.h"

#include <algorithm>

namespace auburn {

void ReplayOffsetSearch::addReadResult(const ClaimReadResult &result)
{
    if (!rangeKnown_) {
        rangeKnown_ = true;
        low_ = result.earliest;
        high_ = std::max(result.earliest, result.next);
        return;
    }
    // The log may remove records beyond low_ while the search runs.
    low_ = std::min(high_, std::max(low_, result.earliest));
    if (result.records.empty()) {
        high_ = low_;
        return;
    }
    const ClaimLogRecord &record = result.records.front();
    if (record.time >= cutoff_) {
        high_ = std::max(low_, std::min(high_, record.offset));
        return;
    }
    low_ = std::min(high_, record.offset + 1);
    startOffset_ = low_;
}

} // namespace auburn
