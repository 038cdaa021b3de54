#include "auburn/claims/claimstatemachine.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

namespace auburn {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr milliseconds kStart = std::chrono::hours(500000);

// A claim or an outcome in a batch.
struct BatchItem
{
    bool isClaim = true;
    unsigned key = 0;
    std::string attempt;
    std::uint64_t body = 0;
    milliseconds keyTime{ 0 };
    proto::ClaimOutcome outcome = proto::CLAIM_OUTCOME_UNSPECIFIED;
};

ClaimLogRecord makeRecord(const std::vector<BatchItem> &items, milliseconds time)
{
    proto::ClaimBatch batch;
    for (const BatchItem &item : items) {
        if (item.isClaim) {
            proto::ClaimRecord *claim = batch.add_claims();
            claim->set_key_hash_low(item.key);
            claim->set_attempt_id(item.attempt);
            claim->set_body_hash(item.body);
            claim->set_key_time_ms(static_cast<std::uint64_t>(item.keyTime.count()));
        } else {
            proto::ClaimOutcomeRecord *outcome = batch.add_outcomes();
            outcome->set_key_hash_low(item.key);
            outcome->set_attempt_id(item.attempt);
            outcome->set_outcome(item.outcome);
        }
    }
    return ClaimLogRecord{ .time = time, .data = batch.SerializeAsString() };
}

BatchItem makeClaim(const std::string &attempt, milliseconds keyTime = kStart,
                    std::uint64_t body = 1, unsigned key = 7)
{
    return BatchItem{ .key = key, .attempt = attempt, .body = body, .keyTime = keyTime };
}

BatchItem makeOutcome(const std::string &attempt, proto::ClaimOutcome outcome, unsigned key = 7)
{
    return BatchItem{ .isClaim = false, .key = key, .attempt = attempt, .outcome = outcome };
}

// Reference implementation: decides every claim from the complete history of its key.
class ReferenceModel
{
public:
    struct HistoryEntry
    {
        BatchItem item;
        bool isFirstRecord = false;
    };

    proto::ClaimStatus claim(const BatchItem &item, milliseconds time)
    {
        if (time - item.keyTime > kIdempotencyKeyLifetime
            || item.keyTime - time > kMaxCallerClockSkew)
            return proto::CLAIM_STATUS_KEY_EXPIRED;
        const bool first = std::none_of(
                history.begin(), history.end(), [&](const HistoryEntry &entry) {
                    return entry.item.key == item.key && entry.item.attempt == item.attempt;
                });
        history.push_back({ .item = item, .isFirstRecord = first });
        const HistoryEntry *holder = nullptr;
        bool completed = false;
        for (const HistoryEntry &entry : history) {
            if (entry.item.key != item.key)
                continue;
            const bool isHolder = holder && holder->item.attempt == entry.item.attempt;
            if (entry.item.isClaim && entry.isFirstRecord && !holder)
                holder = &entry;
            else if (!entry.item.isClaim && isHolder && !completed)
                applyOutcome(entry.item.outcome, holder, completed);
        }
        if (!completed && holder && holder->item.attempt == item.attempt)
            return proto::CLAIM_STATUS_WON;
        if (holder && holder->item.body != item.body)
            return proto::CLAIM_STATUS_BODY_MISMATCH;
        return completed ? proto::CLAIM_STATUS_COMPLETED : proto::CLAIM_STATUS_HELD;
    }

    std::vector<HistoryEntry> history;

private:
    static void applyOutcome(proto::ClaimOutcome outcome, const HistoryEntry *&holder,
                             bool &completed)
    {
        completed = outcome == proto::CLAIM_OUTCOME_COMPLETED;
        if (outcome == proto::CLAIM_OUTCOME_RELEASED)
            holder = nullptr;
    }
};

struct StateMachineFixture
{
    proto::ClaimStatus claim(const BatchItem &item, milliseconds time = kStart)
    {
        return stateMachine.apply(makeRecord({ item }, time)).at(0).status;
    }

    ClaimStateMachine stateMachine{ ClaimStateMachine::Options{} };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(claimstatemachine, StateMachineFixture)

// Guards against a second winner of a key when records are reordered, batches are duplicated,
// releases precede their claims, and keys expire.
BOOST_AUTO_TEST_CASE(apply_randomLogs_matchesReferenceModel)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937 random(seed);
            const auto randomBelow = [&](unsigned bound) {
                return static_cast<unsigned>(random() % bound);
            };
            ClaimStateMachine tested{ ClaimStateMachine::Options{} };
            ReferenceModel reference;
            std::vector<std::vector<BatchItem>> batches;
            milliseconds time = kStart;
            for (int step = 0; step < 150; ++step) {
                time += std::chrono::seconds(randomBelow(30));
                std::vector<BatchItem> batch;
                for (unsigned i = 0; i <= randomBelow(3); ++i) {
                    const unsigned key = randomBelow(4) + 4 * (static_cast<unsigned>(step) / 50);
                    const std::string attempt = std::to_string(key) + '-'
                                                + std::to_string(randomBelow(6));
                    const milliseconds keyTime = kStart + minutes(10) * (step / 50);
                    if (randomBelow(3) > 0)
                        batch.push_back(
                                makeClaim(attempt, keyTime, randomBelow(8) == 0 ? 2 : 1, key));
                    else
                        batch.push_back(makeOutcome(attempt,
                                                    randomBelow(4) == 0
                                                            ? proto::CLAIM_OUTCOME_COMPLETED
                                                            : proto::CLAIM_OUTCOME_RELEASED,
                                                    key));
                }
                batches.push_back(batch);
                if (randomBelow(4) == 0)
                    batch = batches[randomBelow(static_cast<unsigned>(batches.size()))];
                // The state machine applies the claims of a batch before its outcomes.
                std::stable_partition(batch.begin(), batch.end(),
                                      [](const BatchItem &item) { return item.isClaim; });
                const auto decisions = tested.apply(makeRecord(batch, time));
                std::size_t index = 0;
                for (const BatchItem &item : batch) {
                    if (item.isClaim)
                        BOOST_REQUIRE_EQUAL(decisions.at(index++).status,
                                            reference.claim(item, time));
                    else
                        reference.history.push_back({ .item = item });
                }
            }
        }
    }
}

// Guards against a released or lost claim that wins through a late copy of its batch.
BOOST_AUTO_TEST_CASE(apply_duplicateOfReleasedOrLostClaim_doesNotAcquireKey)
{
    BOOST_TEST(claim(makeClaim("a")) == proto::CLAIM_STATUS_WON);
    BOOST_TEST(claim(makeClaim("b")) == proto::CLAIM_STATUS_HELD);
    stateMachine.apply(makeRecord({ makeOutcome("a", proto::CLAIM_OUTCOME_RELEASED) }, kStart));
    BOOST_TEST(claim(makeClaim("a")) == proto::CLAIM_STATUS_HELD);
    BOOST_TEST(claim(makeClaim("b")) == proto::CLAIM_STATUS_HELD);
    BOOST_TEST(claim(makeClaim("c")) == proto::CLAIM_STATUS_WON);
}

// Guards against a key that stays held because a paused owner appends a claim after its release.
BOOST_AUTO_TEST_CASE(apply_releaseBeforeClaim_claimNeverWins)
{
    stateMachine.apply(makeRecord({ makeOutcome("a", proto::CLAIM_OUTCOME_RELEASED) }, kStart));
    BOOST_TEST(claim(makeClaim("a")) == proto::CLAIM_STATUS_HELD);
    BOOST_TEST(claim(makeClaim("b")) == proto::CLAIM_STATUS_WON);
}

// Guards against unbounded memory use, and against a second execution of a key whose state was
// removed.
BOOST_AUTO_TEST_CASE(apply_keyExpired_isRemovedAndRefused)
{
    claim(makeClaim("a"));
    const milliseconds later = kStart + kIdempotencyKeyLifetime + minutes(2);
    BOOST_TEST(claim(makeClaim("b"), later) == proto::CLAIM_STATUS_KEY_EXPIRED);
    BOOST_TEST(stateMachine.keyCount() == 0U);
    BOOST_TEST(stateMachine.attemptCount() == 0U);
}

// Guards against a second winner after attempts could not be remembered because the limit was
// reached.
BOOST_AUTO_TEST_CASE(apply_attemptLimitReached_existingKeysAreUnavailableUntilExpired)
{
    ClaimStateMachine small{ ClaimStateMachine::Options{ .maxAttempts = 2 } };
    const auto applyClaim = [&](const BatchItem &item, milliseconds time) {
        return small.apply(makeRecord({ item }, time)).at(0).status;
    };
    applyClaim(makeClaim("a", kStart, 1, 1), kStart);
    applyClaim(makeClaim("b", kStart, 1, 2), kStart);
    BOOST_TEST(applyClaim(makeClaim("c", kStart, 1, 3), kStart)
               == proto::CLAIM_STATUS_LOG_UNAVAILABLE);
    BOOST_TEST(applyClaim(makeClaim("d", kStart, 1, 3), kStart)
               == proto::CLAIM_STATUS_LOG_UNAVAILABLE);
    BOOST_TEST(applyClaim(makeClaim("e", kStart, 1, 1), kStart)
               == proto::CLAIM_STATUS_LOG_UNAVAILABLE);
    const milliseconds later = kStart + kIdempotencyKeyLifetime + minutes(2);
    BOOST_TEST(applyClaim(makeClaim("f", later, 1, 4), later) == proto::CLAIM_STATUS_WON);
}

// Guards against a reader that has missed records and lets a claimed key win again.
BOOST_AUTO_TEST_CASE(markRecordsMissingBefore_keysUpToThatTime_areUnavailable)
{
    stateMachine.markRecordsMissingBefore(kStart);
    const milliseconds ahead = kStart + kMaxCallerClockSkew;
    BOOST_TEST(claim(makeClaim("a", ahead)) == proto::CLAIM_STATUS_LOG_UNAVAILABLE);
    BOOST_TEST(claim(makeClaim("b", ahead + milliseconds(1), 1, 8), kStart + minutes(1))
               == proto::CLAIM_STATUS_WON);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
