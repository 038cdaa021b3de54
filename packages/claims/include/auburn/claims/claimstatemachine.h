// ClaimStateMachine decides which attempt holds each idempotency key by applying the records of one
// claims stream in log order.
//
// The first claim of a key wins. An attempt id counts only at its first record, so a claim that was
// lost or released never wins through a later copy of its batch. A release may even precede its
// claim, when a paused owner appends the claim late. All times are taken from the log, so every
// reader computes the same result. The class performs no I/O and reads no clock.
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

// Result of one claim record.
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
        // Maximum number of attempt ids that are remembered. When it is reached, a claim with a new
        // attempt id is refused, and all keys with a timestamp up to that of the refused claim,
        // known or not, are reported as unavailable until they have expired, because forgetting an
        // attempt could let two attempts win. If an outcome has the new attempt id, this applies to
        // all keys that may have been claimed by then. At 200 claims/s (1% of the peak) and two
        // partitions, 17 minutes of claims are 102,000 ids of about 200 bytes each.
        std::size_t maxAttempts = 400000;
    };

    explicit ClaimStateMachine(Options options);

    // Applies one record and returns the decision for each claim in it. A record that is not a
    // claim batch has no effect.
    std::vector<ClaimDecision> apply(const ClaimLogRecord &record);

    // Reports that records before the given time are missing. Every key that may have been claimed
    // before it is reported as unavailable until it has expired.
    void markRecordsMissingBefore(WallTime time);

    // Number of keys and attempt ids in memory.
    std::size_t keyCount() const { return keys_.size(); }
    std::size_t attemptCount() const { return attemptCount_; }

private:
    // Claim state of one idempotency key.
    struct KeyState
    {
        // Id of the attempt that holds the key; empty if none does.
        std::string holder;
        // Hash of the request body of the key's last holder.
        std::uint64_t bodyHash = 0;
        bool completed = false;
        // Attempts of the key that have a record in the log.
        std::set<std::string> attemptIds;
        // Log time after which the state is removed.
        WallTime expiry{ 0 };
    };

    // The key is a hash already, so its low half is used as it is.
    struct KeyHasher
    {
        std::size_t operator()(const Hash128 &key) const { return key.low; }
    };

    using KeyMap = std::unordered_map<Hash128, KeyState, KeyHasher>;

    proto::ClaimStatus applyClaim(const proto::ClaimRecord &claim, WallTime time);
    void applyOutcome(const proto::ClaimOutcomeRecord &outcome, WallTime time);
    // Returns the state of a key. A new state gets the given expiry.
    KeyState &findOrCreateState(const Hash128 &key, WallTime expiry);
    // Remembers an attempt. Returns false if it is new and maxAttempts has been reached.
    bool recordAttempt(KeyState &state, const std::string &attemptId);
    // Removes the states that expire before the given time.
    void removeExpired(WallTime time);

    Options options_;
    KeyMap keys_;
    std::multimap<WallTime, Hash128> byExpiry_;
    std::size_t attemptCount_ = 0;
    // Records of keys with a timestamp up to this one may be missing from memory; such keys are
    // reported as unavailable.
    WallTime unavailableUpTo_{ -1 };
    // Latest record time so far.
    WallTime latestTime_{ 0 };
};

} // namespace auburn
