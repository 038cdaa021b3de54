// ReplayOffsetSearch finds the offset from which a claims stream has to be read, by a binary search
// over record times.
//
// The log retains records for far longer than the lifetime of a key. The search for the first
// relevant record takes about 20 reads of one record, whereas reading the whole stream would delay
// claims for seconds after a change of the owner. The class performs no I/O: the caller reads the
// record at probeOffset() and passes the result to addReadResult() until isDone().
#pragma once

#include "auburn/claims/claimlog.h"
#include "auburn/claims/idempotencykey.h"

#include <cstdint>

namespace auburn {

class ReplayOffsetSearch
{
public:
    // Searches for an offset at most tolerance records before the first record whose time is cutoff
    // or later.
    ReplayOffsetSearch(IdempotencyKey::WallTime cutoff, std::uint64_t tolerance)
        : cutoff_(cutoff)
        , tolerance_(tolerance)
    {}

    // Offset at which the caller must read one record next.
    std::uint64_t probeOffset() const { return low_ + (high_ - low_) / 2; }
    // Narrows the range by the result of that read.
    void addReadResult(const ClaimReadResult &result);
    bool isDone() const { return rangeKnown_ && high_ - low_ <= tolerance_; }
    // Offset to start reading from; 0 if no record can be skipped.
    std::uint64_t startOffset() const { return startOffset_; }

private:
    IdempotencyKey::WallTime cutoff_;
    std::uint64_t tolerance_;
    // Range that contains the offset of the first record whose time is cutoff_ or later.
    std::uint64_t low_ = 0;
    std::uint64_t high_ = 0;
    // All records before this offset are older than cutoff_.
    std::uint64_t startOffset_ = 0;
    // True once the first read has returned the range of retained offsets.
    bool rangeKnown_ = false;
};

} // namespace auburn
