// ReplayOffsetSearch: where a reader of a claims stream begins.
//
// The log retains far more than the lifetime of a key. A binary search for the first record that
// can still matter takes about 20 reads of one record, where reading everything would keep claims
// waiting for seconds after a change of the owner. The class is pure.
#pragma once

#include "auburn/claims/claimlog.h"
#include "auburn/claims/idempotencykey.h"

#include <cstdint>

namespace auburn {

class ReplayOffsetSearch
{
public:
    // Finds a start that is at most slack records before the first record of the given time or
    // later.
    ReplayOffsetSearch(IdempotencyKey::WallTime cutoff, std::uint64_t slack)
        : cutoff_(cutoff)
        , slack_(slack)
    {}

    // Offset at which one record is to be read next.
    std::uint64_t offset() const { return low_ + (high_ - low_) / 2; }
    // Takes the result of that read.
    void take(const ClaimReadResult &result);
    bool isDone() const { return known_ && high_ - low_ <= slack_; }
    // Where to begin; 0 if nothing can be left out.
    std::uint64_t start() const { return start_; }

private:
    IdempotencyKey::WallTime cutoff_;
    std::uint64_t slack_;
    // The first record of the cutoff or later lies between them.
    std::uint64_t low_ = 0;
    std::uint64_t high_ = 0;
    // Every record before it is older than the cutoff.
    std::uint64_t start_ = 0;
    bool known_ = false;
};

} // namespace auburn
