#include "auburn/claims/claimstatemachine.h"

#include <algorithm>

namespace auburn {

namespace {

// Keys are kept a little longer than they are valid, in case the log's clock steps back.
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
    latest_ = std::max(latest_, record.time);
    expire(latest_);
    decisions.reserve(static_cast<std::size_t>(batch.claims_size()));
    for (const proto::ClaimRecord &claim : batch.claims()) {
        decisions.push_back(
                { .attemptId = claim.attempt_id(), .status = applyClaim(claim, latest_) });
    }
    for (const proto::ClaimOutcomeRecord &outcome : batch.outcomes())
        applyOutcome(outcome, latest_);
    return decisions;
}

void ClaimStateMachine::markRecordsMissingBefore(WallTime time)
{
    missingUpTo_ = std::max<WallTime>(missingUpTo_, time + kMaxClientClockSkew);
}

proto::ClaimStatus ClaimStateMachine::applyClaim(const proto::ClaimRecord &claim, WallTime time)
{
    const WallTime keyTime(claim.key_time_ms());
    if (checkIdempotencyKeyTime(keyTime, time) != IdempotencyKeyValidity::Valid)
        return proto::CLAIM_STATUS_KEY_EXPIRED;
    if (keyTime <= missingUpTo_)
        return proto::CLAIM_STATUS_LOG_UNAVAILABLE;
    const Hash128 key{ .high = claim.key_hash_high(), .low = claim.key_hash_low() };
    const std::string &attempt = claim.attempt_id();
    KeyState &state = stateOf(key, keyTime + kIdempotencyKeyLifetime + kExpiryMargin);
    const bool first = !state.seen.contains(attempt);
    if (!see(state, attempt)) {
        missingUpTo_ = std::max(missingUpTo_, keyTime);
        return proto::CLAIM_STATUS_LOG_UNAVAILABLE;
    }
    if (first && state.holder.empty()) {
        state.holder = attempt;
        state.bodyHash = claim.body_hash();
    }
    if (state.completed)
        return state.bodyHash == claim.body_hash() ? proto::CLAIM_STATUS_COMPLETED
                                                   : proto::CLAIM_STATUS_BODY_MISMATCH;
    if (state.holder == attempt)
        return proto::CLAIM_STATUS_WON;
    const bool otherBody = !state.holder.empty() && state.bodyHash != claim.body_hash();
    return otherBody ? proto::CLAIM_STATUS_BODY_MISMATCH : proto::CLAIM_STATUS_HELD;
}

void ClaimStateMachine::applyOutcome(const proto::ClaimOutcomeRecord &outcome, WallTime time)
{
    const Hash128 key{ .high = outcome.key_hash_high(), .low = outcome.key_hash_low() };
    // A key that is unknown was made at most kMaxClientClockSkew after now.
    const WallTime newest = time + kMaxClientClockSkew;
    KeyState &state = stateOf(key, newest + kIdempotencyKeyLifetime + kExpiryMargin);
    if (!see(state, outcome.attempt_id()))
        missingUpTo_ = std::max(missingUpTo_, newest);
    if (state.holder != outcome.attempt_id() || state.completed)
        return;
    if (outcome.outcome() == proto::CLAIM_OUTCOME_COMPLETED)
        state.completed = true;
    else if (outcome.outcome() == proto::CLAIM_OUTCOME_RELEASED)
        state.holder.clear();
}

ClaimStateMachine::KeyState &ClaimStateMachine::stateOf(const Hash128 &key, WallTime expires)
{
    const auto [found, inserted] = keys_.try_emplace(key);
    if (inserted) {
        found->second.expires = expires;
        byExpiry_.emplace(expires, key);
    }
    return found->second;
}

// False if the attempt is new and there is no room to remember it.
bool ClaimStateMachine::see(KeyState &state, const std::string &attemptId)
{
    if (state.seen.contains(attemptId))
        return true;
    if (attempts_ >= options_.maxAttempts)
        return false;
    state.seen.insert(attemptId);
    ++attempts_;
    return true;
}

void ClaimStateMachine::expire(WallTime time)
{
    while (!byExpiry_.empty() && byExpiry_.begin()->first < time) {
        const auto found = keys_.find(byExpiry_.begin()->second);
        attempts_ -= found->second.seen.size();
        keys_.erase(found);
        byExpiry_.erase(byExpiry_.begin());
    }
}

} // namespace auburn
