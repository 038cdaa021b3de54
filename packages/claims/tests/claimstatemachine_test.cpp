#include "auburn/claims/claimstatemachine.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

namespace auburn {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr milliseconds kStart = std::chrono::hours(500000);

struct Item
{
    bool isClaim = true;
    unsigned key = 0;
    std::string attempt;
    std::uint64_t body = 0;
    milliseconds keyTime{ 0 };
    proto::ClaimOutcome outcome = proto::CLAIM_OUTCOME_UNSPECIFIED;
};

ClaimLogRecord recordOf(const std::vector<Item> &items, milliseconds time)
{
    proto::ClaimBatch batch;
    for (const Item &item : items) {
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

Item claimOf(const std::string &attempt, milliseconds keyTime = kStart, std::uint64_t body = 1,
             unsigned key = 7)
{
    return Item{ .key = key, .attempt = attempt, .body = body, .keyTime = keyTime };
}

Item outcomeOf(const std::string &attempt, proto::ClaimOutcome outcome, unsigned key = 7)
{
    return Item{ .isClaim = false, .key = key, .attempt = attempt, .outcome = outcome };
}

// Decides every claim from the whole history of its key, which it never forgets.
class NaiveArbiter
{
public:
    struct Past
    {
        Item item;
        bool counts = false;
    };

    proto::ClaimStatus claim(const Item &item, milliseconds time)
    {
        if (time - item.keyTime > kIdempotencyKeyLifetime
            || item.keyTime - time > kMaxClientClockSkew)
            return proto::CLAIM_STATUS_KEY_EXPIRED;
        const bool first = std::none_of(history.begin(), history.end(), [&](const Past &past) {
            return past.item.key == item.key && past.item.attempt == item.attempt;
        });
        history.push_back({ .item = item, .counts = first });
        const Past *holder = nullptr;
        bool completed = false;
        for (const Past &past : history) {
            if (past.item.key != item.key)
                continue;
            const bool ofHolder = holder && holder->item.attempt == past.item.attempt;
            if (past.item.isClaim && past.counts && !holder)
                holder = &past;
            else if (!past.item.isClaim && ofHolder && !completed)
                end(past.item.outcome, holder, completed);
        }
        if (!completed && holder && holder->item.attempt == item.attempt)
            return proto::CLAIM_STATUS_WON;
        if (holder && holder->item.body != item.body)
            return proto::CLAIM_STATUS_BODY_MISMATCH;
        return completed ? proto::CLAIM_STATUS_COMPLETED : proto::CLAIM_STATUS_HELD;
    }

    std::vector<Past> history;

private:
    static void end(proto::ClaimOutcome outcome, const Past *&holder, bool &completed)
    {
        completed = outcome == proto::CLAIM_OUTCOME_COMPLETED;
        if (outcome == proto::CLAIM_OUTCOME_RELEASED)
            holder = nullptr;
    }
};

struct StateMachineFixture
{
    proto::ClaimStatus claim(const Item &item, milliseconds time = kStart)
    {
        return fold.apply(recordOf({ item }, time)).at(0).status;
    }

    ClaimStateMachine fold{ ClaimStateMachine::Options{} };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(claimstatemachine, StateMachineFixture)

// Guards against any second winner: records come in any order, batches come twice, releases come
// before their claims, keys expire.
BOOST_AUTO_TEST_CASE(apply_randomLogs_equalNaiveArbiter)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937 random(seed);
            const auto below = [&](unsigned bound) {
                return static_cast<unsigned>(random() % bound);
            };
            ClaimStateMachine tested{ ClaimStateMachine::Options{} };
            NaiveArbiter naive;
            std::vector<std::vector<Item>> batches;
            milliseconds time = kStart;
            for (int step = 0; step < 150; ++step) {
                time += std::chrono::seconds(below(30));
                std::vector<Item> batch;
                for (unsigned i = 0; i <= below(3); ++i) {
                    const unsigned key = below(4) + 4 * (static_cast<unsigned>(step) / 50);
                    const std::string attempt = std::to_string(key) + '-'
                                                + std::to_string(below(6));
                    const milliseconds keyTime = kStart + minutes(10) * (step / 50);
                    if (below(3) > 0)
                        batch.push_back(claimOf(attempt, keyTime, below(8) == 0 ? 2 : 1, key));
                    else
                        batch.push_back(outcomeOf(attempt,
                                                  below(4) == 0 ? proto::CLAIM_OUTCOME_COMPLETED
                                                                : proto::CLAIM_OUTCOME_RELEASED,
                                                  key));
                }
                batches.push_back(batch);
                if (below(4) == 0)
                    batch = batches[below(static_cast<unsigned>(batches.size()))];
                // The fold takes a batch's claims before its outcomes.
                std::stable_partition(batch.begin(), batch.end(),
                                      [](const Item &item) { return item.isClaim; });
                const auto decisions = tested.apply(recordOf(batch, time));
                std::size_t index = 0;
                for (const Item &item : batch) {
                    if (item.isClaim)
                        BOOST_REQUIRE_EQUAL(decisions.at(index++).status, naive.claim(item, time));
                    else
                        naive.history.push_back({ .item = item });
                }
            }
        }
    }
}

// Guards against a released or lost claim that comes back with a late copy of its batch.
BOOST_AUTO_TEST_CASE(apply_copyOfReleasedOrLostClaim_doesNotHoldTheKey)
{
    BOOST_TEST(claim(claimOf("a")) == proto::CLAIM_STATUS_WON);
    BOOST_TEST(claim(claimOf("b")) == proto::CLAIM_STATUS_HELD);
    fold.apply(recordOf({ outcomeOf("a", proto::CLAIM_OUTCOME_RELEASED) }, kStart));
    BOOST_TEST(claim(claimOf("a")) == proto::CLAIM_STATUS_HELD);
    BOOST_TEST(claim(claimOf("b")) == proto::CLAIM_STATUS_HELD);
    BOOST_TEST(claim(claimOf("c")) == proto::CLAIM_STATUS_WON);
}

// Guards against a key that stays held because a paused owner appends a claim after its release.
BOOST_AUTO_TEST_CASE(apply_releaseBeforeClaim_claimNeverWins)
{
    fold.apply(recordOf({ outcomeOf("a", proto::CLAIM_OUTCOME_RELEASED) }, kStart));
    BOOST_TEST(claim(claimOf("a")) == proto::CLAIM_STATUS_HELD);
    BOOST_TEST(claim(claimOf("b")) == proto::CLAIM_STATUS_WON);
}

// Guards against unbounded memory, and against a second run of a key that has been forgotten.
BOOST_AUTO_TEST_CASE(apply_keyExpired_isForgottenAndRefused)
{
    claim(claimOf("a"));
    const milliseconds later = kStart + kIdempotencyKeyLifetime + minutes(2);
    BOOST_TEST(claim(claimOf("b"), later) == proto::CLAIM_STATUS_KEY_EXPIRED);
    BOOST_TEST(fold.keyCount() == 0U);
    BOOST_TEST(fold.attemptCount() == 0U);
}

// Guards against a second winner after claims could not be remembered for lack of room.
BOOST_AUTO_TEST_CASE(apply_noRoom_keysMadeSoFarAreUnavailableUntilExpired)
{
    ClaimStateMachine small{ ClaimStateMachine::Options{ .maxAttempts = 2 } };
    const auto decide = [&](const Item &item, milliseconds time) {
        return small.apply(recordOf({ item }, time)).at(0).status;
    };
    decide(claimOf("a", kStart, 1, 1), kStart);
    decide(claimOf("b", kStart, 1, 2), kStart);
    BOOST_TEST(decide(claimOf("c", kStart, 1, 3), kStart) == proto::CLAIM_STATUS_LOG_UNAVAILABLE);
    BOOST_TEST(decide(claimOf("d", kStart, 1, 3), kStart) == proto::CLAIM_STATUS_LOG_UNAVAILABLE);
    BOOST_TEST(decide(claimOf("e", kStart, 1, 1), kStart) == proto::CLAIM_STATUS_LOG_UNAVAILABLE);
    const milliseconds later = kStart + kIdempotencyKeyLifetime + minutes(2);
    BOOST_TEST(decide(claimOf("f", later, 1, 4), later) == proto::CLAIM_STATUS_WON);
}

// Guards against a reader that missed records and lets a claimed key win again.
BOOST_AUTO_TEST_CASE(markRecordsMissingBefore_keysOfThatTime_areUnavailable)
{
    fold.markRecordsMissingBefore(kStart);
    const milliseconds ahead = kStart + kMaxClientClockSkew;
    BOOST_TEST(claim(claimOf("a", ahead)) == proto::CLAIM_STATUS_LOG_UNAVAILABLE);
    BOOST_TEST(claim(claimOf("b", ahead + milliseconds(1), 1, 8), kStart + minutes(1))
               == proto::CLAIM_STATUS_WON);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
