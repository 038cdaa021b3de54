#include "auburn/routing/crashregistry.h"

#include <boost/test/unit_test.hpp>

namespace auburn::routing {

namespace {

struct CrashRegistryFixture
{
    CrashRegistry registry;
    CrashRegistry::TimePoint now = CrashRegistry::TimePoint() + std::chrono::hours(1);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crashRegistry, CrashRegistryFixture)

// Guards against a caller that repeats a request that crashes servers, each time at another daemon,
// so that no daemon alone sees enough crashes.
BOOST_AUTO_TEST_CASE(blocked_crashesSeenByThreeDaemons_areAddedUp)
{
    registry.addCrash(7, now);
    registry.mergePeer("b", { .fingerprint = 7, .crashes = 1 }, now);
    BOOST_TEST(!registry.isBlocked(7, now));
    registry.mergePeer("c", { .fingerprint = 7, .crashes = 1 }, now);
    BOOST_TEST(registry.isBlocked(7, now));
    BOOST_TEST(!registry.isBlocked(8, now));
}

BOOST_AUTO_TEST_CASE(merge_repeatedAndOlderReports_countOnce)
{
    registry.mergePeer("b", { .fingerprint = 7, .crashes = 2 }, now);
    registry.mergePeer("b", { .fingerprint = 7, .crashes = 2 }, now);
    registry.mergePeer("b", { .fingerprint = 7, .crashes = 1 }, now);
    BOOST_TEST(registry.crashes(7, now) == 2U);
}

BOOST_AUTO_TEST_CASE(ownCounts_severalCrashes_newestFirst)
{
    registry.addCrash(1, now);
    registry.addCrash(2, now + std::chrono::seconds(1));
    const auto counts = registry.ownCounts(1, now + std::chrono::seconds(1));
    BOOST_REQUIRE(counts.size() == 1U);
    BOOST_TEST(counts[0].fingerprint == 2U);
}

BOOST_AUTO_TEST_CASE(crashes_longAgo_expire)
{
    registry.addCrash(1, now);
    BOOST_TEST(registry.crashes(1, now + std::chrono::minutes(2)) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::routing
