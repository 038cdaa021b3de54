// ClaimStateMachine: who holds which key, computed from the records of one claims stream in log
// order.
//
// The first claim of a key wins. A claim id counts once, at its first record: a claim that has lost
// or was released never wins through a later copy of its batch. A release may even precede its
// claim, when a paused owner appends the claim late. All times are those of the log, so every
// reader computes the same result. The class is pure.
#pragma once

#include "auburn/claims/claimlog.h"
#include "auburn/claims/idempotencykey.h"

#include "auburn.pb.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburn {

struct ClaimDecision
{
    std::string attemptId;
    proto::ClaimStatus status = proto::CLAIM_STATUS_UNSPECIFIED;
};

class ClaimStateMachine
{
public:
    using WallTime = IdempotencyKey::WallTime;

    struct Options
    {
        // Claim ids that are remembered. Beyond them, keys made so far are answered as unavailable
        // until they have expired: forgetting a claim could let two attempts win. At 200 claims/s
        // (1% of the peak) and two partitions, 17 minutes of claims are 102,000 ids, about 200
        // bytes each.
        std::size_t maxAttempts = 400000;
    };

    explicit ClaimStateMachine(Options options);

    // Folds one record and returns the decision for each claim in it. A record that is no claim
    // batch has no effect.
    std::vector<ClaimDecision> apply(const ClaimLogRecord &record);

    // Notes that records before the given time are missing: every key that may have been claimed
    // there is answered as unavailable until it has expired.
    void markRecordsMissingBefore(WallTime time);

    // Keys and claim ids in memory.
    std::size_t keyCount() const { return keys_.size(); }
    std::size_t attemptCount() const { return attempts_; }

private:
    struct KeyState
    {
        // The attempt that holds the key; empty if it was released.
        std::string holder;
        std::uint64_t bodyHash = 0;
        bool completed = false;
        std::set<std::string> seen;
        WallTime expires{ 0 };
    };

    struct HashOfKey
    {
        std::size_t operator()(const Hash128 &key) const { return key.low; }
    };

    using KeyMap = std::unordered_map<Hash128, KeyState, HashOfKey>;

    proto::ClaimStatus applyClaim(const proto::ClaimRecord &claim, WallTime time);
    void applyOutcome(const proto::ClaimOutcomeRecord &outcome, WallTime time);
    KeyState &stateOf(const Hash128 &key, WallTime expires);
    bool see(KeyState &state, const std::string &attemptId);
    void expire(WallTime time);

    Options options_;
    KeyMap keys_;
    std::multimap<WallTime, Hash128> byExpiry_;
    std::size_t attempts_ = 0;
    // Keys made up to this time may have records that are not in memory.
    WallTime missingUpTo_{ -1 };
    WallTime latest_{ 0 };
};

} // namespace auburn
