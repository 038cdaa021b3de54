#include "auburn/routing/serverpermits.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>

namespace auburn::routing {

using std::chrono::milliseconds;

namespace {

struct ServerPermitsFixture
{
    // Asks for a permit of each urgency in every step and returns the number granted, by urgency.
    std::array<unsigned, 2> grantFor(milliseconds time, double limit, bool urgentToo,
                                     double share = 1)
    {
        constexpr milliseconds kStep{ 10 };
        std::array<unsigned, 2> granted{};
        for (const auto end = now + time; now < end; now += kStep) {
            if (urgentToo)
                granted[0] += ask(limit, 0, share).granted ? 1 : 0;
            granted[1] += ask(limit, 5, share).granted ? 1 : 0;
        }
        return granted;
    }

    PermitDecision ask(double limit, int urgency, double share = 1)
    {
        return permits.decide({ .serverId = "s",
                                .requestsPerSecond = limit,
                                .fleetShare = share,
                                .urgency = urgency },
                              now);
    }

    ServerPermits permits;
    ServerPermits::TimePoint now{ std::chrono::hours(1) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(serverPermits, ServerPermitsFixture)

// Guards against more than the server takes, also after a time without requests, and against much
// less than it takes.
BOOST_AUTO_TEST_CASE(demand_isAboveTheLimit_grantsAreThoseOfTheLimit)
{
    for (const double limit : { 0.5, 1.3, 20.0 }) {
        permits.remove("s");
        grantFor(milliseconds(10000), limit, false);
        now += std::chrono::seconds(30);
        const unsigned granted = grantFor(milliseconds(10000), limit, false)[1];
        BOOST_TEST(granted <= 10.5 * limit + 1);
        BOOST_TEST(granted >= 10 * limit - 1);
    }
}

BOOST_AUTO_TEST_CASE(permit_isDenied_theWaitLeadsToTheNextOne)
{
    BOOST_TEST(ask(2, 0).granted);
    const PermitDecision denied = ask(2, 0);
    BOOST_TEST(!denied.granted);
    now += denied.wait;
    BOOST_TEST(ask(2, 0).granted);
}

// Guards against urgent requests that get no more than others of what a server still takes, and
// against others that get nothing.
BOOST_AUTO_TEST_CASE(urgentRequests_waitForPermits_getNearlyAllOfThem)
{
    const auto granted = grantFor(milliseconds(30000), 2, true);
    BOOST_TEST(granted[0] >= 45U);
    BOOST_TEST(granted[1] >= 3U);
}

// Guards against two parts of a fleet that cannot see each other and each use the whole limit.
BOOST_AUTO_TEST_CASE(fleet_isOnlyPartlyVisible_onlyThatPartOfTheLimitIsUsed)
{
    BOOST_TEST(grantFor(milliseconds(10000), 4, false, 0.5)[1] <= 22U);
    BOOST_TEST(!ask(4, 0, 0).granted);
}

// Guards against a limit of 0 that never ends, because no response can tell that it has.
BOOST_AUTO_TEST_CASE(limit_isZero_oneRequestNowAndThenIsGranted)
{
    const unsigned granted = grantFor(milliseconds(60000), 0, false)[1];
    BOOST_TEST(granted >= 5U);
    BOOST_TEST(granted <= 8U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::routing
