#include "auburn/claims/claimstatemachine.h"

#include <algorithm>

namespace auburn {

namespace {

// States are kept slightly longer than their keys are valid, in case the clock of the log steps
// back.
constexpr std::chrono::minutes kExpiryMargin{ 1 };

} // namespace

ClaimStateMachine::ClaimStateMachine(Options options)
    : options_(options)
{}

std::vector<ClaimDecision> ClaimStateMachine::apply(const ClaimLogRecord &record)
{
    std::vector<ClaimDecision> decisions;
    proto::ClaimBatch batch;
    if (!batch.ParseFromString(record.data))
        return decisions;
    latestTime_ = std::max(latestTime_, record.time);
    removeExpired(latestTime_);
    decisions.reserve(static_cast<std::size_t>(batch.claims_size()));
    for (const proto::ClaimRecord &claim : batch.claims()) {
        decisions.push_back(
                { .attemptId = claim.attempt_id(), .status = applyClaim(claim, latestTime_) });
    }
    for (const proto::ClaimOutcomeRecord &outcome : batch.outcomes())
        applyOutcome(outcome, latestTime_);
    return decisions;
}

void ClaimStateMachine::markRecordsMissingBefore(WallTime time)
{
    unavailableUpTo_ = std::max<WallTime>(unavailableUpTo_, time + kMaxCallerClockSkew);
}

proto::ClaimStatus ClaimStateMachine::applyClaim(const proto::ClaimRecord &claim, WallTime time)
{
    const WallTime keyTime(claim.key_time_ms());
    if (checkIdempotencyKeyTime(keyTime, time) != IdempotencyKeyValidity::Valid)
        return proto::CLAIM_STATUS_KEY_EXPIRED;
    if (keyTime <= unavailableUpTo_)
        return proto::CLAIM_STATUS_LOG_UNAVAILABLE;
    const Hash128 key{ .high = claim.key_hash_high(), .low = claim.key_hash_low() };
    const std::string &attemptId = claim.attempt_id();
    KeyState &state = findOrCreateState(key, keyTime + kIdempotencyKeyLifetime + kExpiryMargin);
    const bool isFirstRecord = !state.attemptIds.contains(attemptId);
    if (!recordAttempt(state, attemptId)) {
        unavailableUpTo_ = std::max(unavailableUpTo_, keyTime);
        return proto::CLAIM_STATUS_LOG_UNAVAILABLE;
    }
    if (isFirstRecord && state.holder.empty()) {
        state.holder = attemptId;
        state.bodyHash = claim.body_hash();
    }
    if (state.completed)
        return state.bodyHash == claim.body_hash() ? proto::CLAIM_STATUS_COMPLETED
                                                   : proto::CLAIM_STATUS_BODY_MISMATCH;
    if (state.holder == attemptId)
        return proto::CLAIM_STATUS_WON;
    const bool bodyDiffers = !state.holder.empty() && state.bodyHash != claim.body_hash();
    return bodyDiffers ? proto::CLAIM_STATUS_BODY_MISMATCH : proto::CLAIM_STATUS_HELD;
}

void ClaimStateMachine::applyOutcome(const proto::ClaimOutcomeRecord &outcome, WallTime time)
{
    const Hash128 key{ .high = outcome.key_hash_high(), .low = outcome.key_hash_low() };
    // The timestamp of the key is not in an outcome, but it is at most kMaxCallerClockSkew ahead of
    // the log's time.
    const WallTime newestValidKeyTime = time + kMaxCallerClockSkew;
    KeyState &state = findOrCreateState(key, newestValidKeyTime + kIdempotencyKeyLifetime
                                                     + kExpiryMargin);
    if (!recordAttempt(state, outcome.attempt_id()))
        unavailableUpTo_ = std::max(unavailableUpTo_, newestValidKeyTime);
    if (state.holder != outcome.attempt_id() || state.completed)
        return;
    if (outcome.outcome() == proto::CLAIM_OUTCOME_COMPLETED)
        state.completed = true;
    else if (outcome.outcome() == proto::CLAIM_OUTCOME_RELEASED)
        state.holder.clear();
}

ClaimStateMachine::KeyState &ClaimStateMachine::findOrCreateState(const Hash128 &key,
                                                                  WallTime expiry)
{
    const auto [found, inserted] = keys_.try_emplace(key);
    if (inserted) {
        found->second.expiry = expiry;
        byExpiry_.emplace(expiry, key);
    }
    return found->second;
}

bool ClaimStateMachine::recordAttempt(KeyState &state, const std::string &attemptId)
{
    if (state.attemptIds.contains(attemptId))
        return true;
    if (attemptCount_ >= options_.maxAttempts)
        return false;
    state.attemptIds.insert(attemptId);
    ++attemptCount_;
    return true;
}

void ClaimStateMachine::removeExpired(WallTime time)
{
    while (!byExpiry_.empty() && byExpiry_.begin()->first < time) {
        const auto found = keys_.find(byExpiry_.begin()->second);
        attemptCount_ -= found->second.attemptIds.size();
        keys_.erase(found);
        byExpiry_.erase(byExpiry_.begin());
    }
}

} // namespace auburn
