#include "auburn/routing/crashregistry.h"

#include <boost/test/unit_test.hpp>

namespace auburn::routing {

using std::chrono::minutes;
using std::chrono::seconds;

namespace {

struct CrashRegistryFixture
{
    bool isBlocked(std::uint64_t cause)
    {
        return registry.blockedCause({ cause }, now).has_value();
    }

    CrashRegistry registry{ kEqualRequestCrashOptions };
    CrashRegistry::TimePoint now = CrashRegistry::TimePoint() + std::chrono::hours(1);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crashRegistry, CrashRegistryFixture)

// Guards against a caller that repeats a request that crashes servers, each time at another daemon,
// so that no daemon alone sees enough crashes.
BOOST_AUTO_TEST_CASE(blocked_crashesSeenByThreeDaemons_areAddedUp)
{
    registry.recordCrash({ 7 }, now);
    registry.mergePeer("b", { .cause = 7, .crashes = 1 }, now);
    BOOST_TEST(!isBlocked(7));
    registry.mergePeer("c", { .cause = 7, .crashes = 1 }, now);
    BOOST_TEST(isBlocked(7));
    BOOST_TEST(!isBlocked(8));
}

BOOST_AUTO_TEST_CASE(merge_repeatedAndOlderReports_countOnce)
{
    registry.mergePeer("b", { .cause = 7, .crashes = 2 }, now);
    registry.mergePeer("b", { .cause = 7, .crashes = 2 }, now);
    registry.mergePeer("b", { .cause = 7, .crashes = 1 }, now);
    BOOST_TEST(registry.crashes(7, now) == 2U);
}

BOOST_AUTO_TEST_CASE(ownReports_severalCrashes_newestFirst)
{
    registry.recordCrash({ 1 }, now);
    registry.recordCrash({ 2 }, now + seconds(1));
    const auto reports = registry.ownReports(1, now + seconds(1));
    BOOST_REQUIRE(reports.size() == 1U);
    BOOST_TEST(reports[0].cause == 2U);
}

BOOST_AUTO_TEST_CASE(crashes_longAgo_expire)
{
    registry.recordCrash({ 1 }, now);
    BOOST_TEST(registry.crashes(1, now + minutes(2)) == 0U);
}

// Guards against a request that runs again a minute after it was blocked although it still comes
// and crashes every server.
BOOST_AUTO_TEST_CASE(blocked_requestGoesOnCrashing_runsTwiceMoreAtMost)
{
    unsigned runs = 0;
    for (const auto end = now + minutes(8); now < end; now += seconds(3)) {
        if (isBlocked(7))
            continue;
        ++runs;
        registry.recordCrash({ 7 }, now);
    }
    BOOST_TEST(runs <= kCrashLimit + 2);
}

// Guards against sound requests that are rejected because servers crashed for other reasons while
// they ran them, whichever daemon sees the success.
BOOST_AUTO_TEST_CASE(crashes_successesBetween_neverBlock)
{
    std::uint64_t successes = 0;
    for (unsigned i = 0; i < 3 * kCrashLimit; ++i) {
        registry.recordCrash({ 7 }, now);
        BOOST_TEST(!isBlocked(7));
        if (i % 2 == 0)
            registry.recordSuccess({ 7 }, now);
        else
            registry.mergePeer("b", { .cause = 7, .successes = ++successes }, now);
        now += seconds(1);
    }
}

BOOST_AUTO_TEST_CASE(blocked_requestSucceedsInATrial_isFreeAgain)
{
    for (unsigned i = 0; i < kCrashLimit; ++i)
        registry.recordCrash({ 7 }, now);
    BOOST_TEST(isBlocked(7));
    now += seconds(60);
    BOOST_TEST(!isBlocked(7));
    BOOST_TEST(registry.recordSuccess({ 7 }, now));
    BOOST_TEST(!isBlocked(7));
}

// Guards against a query of operators that uses up the trial of a blocked cause or keeps the cause
// blocked, and against an answer that differs from that for a request.
BOOST_AUTO_TEST_CASE(findBlockedCause_anyNumberOfTimes_leavesTheTrialToARequest)
{
    for (unsigned i = 0; i < kCrashLimit; ++i)
        registry.recordCrash({ 7 }, now);
    const CrashRegistry &constRegistry = registry;
    BOOST_TEST((constRegistry.findBlockedCause({ 8, 7 }, now) == std::optional<std::uint64_t>(7)));
    BOOST_TEST(isBlocked(7));
    now += seconds(60);
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(!constRegistry.findBlockedCause({ 7 }, now).has_value());
    BOOST_TEST(!isBlocked(7));
    BOOST_TEST(constRegistry.findBlockedCause({ 7 }, now).has_value());
    // Queries do not count as uses, which would keep the entry for longer.
    now += minutes(9);
    BOOST_TEST(!constRegistry.findBlockedCause({ 7 }, now).has_value());
    BOOST_TEST(registry.crashes(7, now) == kCrashLimit);
    now += minutes(2);
    BOOST_TEST(registry.crashes(7, now) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::routing
