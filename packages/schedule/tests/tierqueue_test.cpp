#include "referencetierqueue.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace auburn {

namespace {

using TimePoint = TierQueue::TimePoint;
using std::chrono::milliseconds;

// Runs the same random operations on TierQueue and the reference model and compares the results.
struct TierQueueComparison
{
    explicit TierQueueComparison(unsigned seed)
        : random(seed)
    {}

    unsigned below(unsigned bound) { return static_cast<unsigned>(random() % bound); }

    void push()
    {
        const WaitingRequest request{ .id = std::to_string(nextId++),
                                      .tier = below(options.tiers),
                                      .organisation = "o" + std::to_string(below(5)),
                                      .since = now - milliseconds(below(50)),
                                      .deadline = now + milliseconds(1 + below(4000)) };
        const bool lowerInShared = reference.hasSharedBelow(request.tier);
        const TierQueue::Admission admission = queue.push(request);
        const TierQueue::Admission expected = reference.push(request);
        BOOST_REQUIRE_EQUAL(admission.accepted, expected.accepted);
        BOOST_REQUIRE_EQUAL(admission.evicted.has_value(), expected.evicted.has_value());
        BOOST_REQUIRE(admission.accepted || !lowerInShared);
        if (admission.evicted) {
            BOOST_REQUIRE_EQUAL(admission.evicted->id, expected.evicted->id);
            BOOST_REQUIRE_GT(admission.evicted->tier, request.tier);
        }
    }

    void grant()
    {
        const auto granted = queue.grantNext();
        const auto expected = reference.grantNext();
        BOOST_REQUIRE_EQUAL(granted.has_value(), expected.has_value());
        if (!granted)
            return;
        BOOST_REQUIRE_EQUAL(granted->id, expected->id);
        for (unsigned tier = 0; tier < options.tiers; ++tier) {
            const bool waits = tier != granted->tier && reference.count(tier) > 0;
            grantsSinceServed[tier] = waits ? grantsSinceServed[tier] + 1 : 0;
            BOOST_REQUIRE_LT(grantsSinceServed[tier], 16 * (options.tiers - 1));
        }
        queue.slotAcquired(granted->organisation);
        ++reference.held[granted->organisation];
        slots.push_back(granted->organisation);
    }

    void releaseSlot()
    {
        if (slots.empty())
            return;
        std::swap(slots[below(static_cast<unsigned>(slots.size()))], slots.back());
        queue.slotReleased(slots.back());
        --reference.held[slots.back()];
        slots.pop_back();
    }

    void cancel()
    {
        const std::string id = std::to_string(below(nextId));
        BOOST_REQUIRE_EQUAL(queue.cancel(id).has_value(), reference.takeId(id).has_value());
    }

    void expire()
    {
        for (const WaitingRequest &request : queue.expire(now)) {
            BOOST_REQUIRE(request.deadline <= now);
            BOOST_REQUIRE(reference.takeId(request.id).has_value());
        }
        BOOST_REQUIRE_EQUAL(queue.size(), reference.entries.size());
        for (const auto &entry : reference.entries)
            BOOST_REQUIRE(entry.request.deadline > now);
    }

    // Resets the count of tiers that have become empty, because their next request starts a new
    // wait.
    void forgetEmptyTiers()
    {
        for (auto &[tier, grants] : grantsSinceServed)
            grants = reference.count(tier) > 0 ? grants : 0;
    }

    void step()
    {
        now += milliseconds(below(8));
        const unsigned operation = below(100);
        if (operation < pushShare)
            push();
        else if (operation < 80)
            grant();
        else if (operation < 90)
            releaseSlot();
        else if (operation < 95)
            cancel();
        else
            expire();
        forgetEmptyTiers();
        if (below(50) == 0)
            pushShare = 20 + below(50);
    }

    std::mt19937 random;
    TierQueue::Options options{ .tiers = 4, .sharedCapacity = 20, .reservedPerTier = 2 };
    TierQueue queue{ options };
    ReferenceTierQueue reference{ options };
    TimePoint now{ std::chrono::hours(1) };
    unsigned nextId = 1;
    unsigned pushShare = 50;
    std::vector<std::string> slots;
    std::map<unsigned, unsigned> grantsSinceServed;
};

WaitingRequest requestOf(const std::string &id, unsigned tier, int age = 0)
{
    return WaitingRequest{ .id = id,
                           .tier = tier,
                           .organisation = "org-" + id,
                           .since = TimePoint(std::chrono::hours(1)) - milliseconds(age),
                           .deadline = TimePoint(std::chrono::hours(2)) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(tierqueue)

// Guards against any difference from the reference model in order, lower-tier share, eviction,
// capacity or expiry, and against starvation of a tier.
BOOST_AUTO_TEST_CASE(allOperations_randomSequences_matchReferenceQueue)
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            TierQueueComparison comparison(seed);
            for (int i = 0; i < 1500; ++i)
                comparison.step();
        }
    }
}

// Guards against a burst of one tier that uses up the queue capacity of all other tiers.
BOOST_AUTO_TEST_CASE(push_sharedCapacityFullOfHighestTier_reservedCapacityStaysForOthers)
{
    TierQueue queue({ .tiers = 2, .sharedCapacity = 3, .reservedPerTier = 2 });
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(queue.push(requestOf("high" + std::to_string(i), 0)).accepted);
    BOOST_TEST(!queue.push(requestOf("high5", 0)).accepted);
    BOOST_TEST(queue.push(requestOf("low0", 1)).accepted);
    BOOST_TEST(queue.push(requestOf("low1", 1)).accepted);
    BOOST_TEST(!queue.push(requestOf("low2", 1)).accepted);
}

// Guards against a request that is counted or granted twice after a resend.
BOOST_AUTO_TEST_CASE(push_sameIdTwice_queuedOnce)
{
    TierQueue queue({});
    queue.push(requestOf("a", 0));
    BOOST_TEST(queue.push(requestOf("a", 0)).accepted);
    BOOST_TEST(queue.size() == 1U);
    BOOST_TEST(queue.grantNext()->id == "a");
    BOOST_TEST(!queue.grantNext().has_value());
}

// Guards against a request that cannot use any free backend server and blocks all others.
BOOST_AUTO_TEST_CASE(grantNext_firstNotEligible_nextIsGrantedAndFirstKeepsItsPosition)
{
    TierQueue queue({});
    queue.push(requestOf("first", 0, 10));
    queue.push(requestOf("second", 3));
    const auto eligible = [](const WaitingRequest &request) { return request.id != "first"; };
    BOOST_TEST(queue.grantNext(eligible)->id == "second");
    BOOST_TEST(!queue.grantNext(eligible).has_value());
    BOOST_TEST(queue.grantNext()->id == "first");
}

// Guards against an early refusal of a request that could still be served in time.
BOOST_AUTO_TEST_CASE(grantsAhead_requestThatMayOvertake_isZero)
{
    TierQueue queue({ .tiers = 3, .sharedCapacity = 500 });
    for (int i = 0; i < 100; ++i)
        queue.push(requestOf("high" + std::to_string(i), 0, 10));
    BOOST_TEST(queue.grantsAhead(requestOf("new", 2)) == 0U);
    for (int i = 0; i < 20; ++i)
        queue.push(requestOf("low" + std::to_string(i), 2, 10));
    BOOST_TEST(queue.grantsAhead(requestOf("new", 2)) == 120U);
    BOOST_TEST(queue.grantsAhead(requestOf("older", 2, 20)) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
