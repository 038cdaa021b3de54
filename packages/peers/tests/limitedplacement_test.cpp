// Tests that a whole fleet keeps the limit of a server, and uses it, while daemons come and go.

#include "limitedfleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

namespace auburn::peers {

using std::chrono::milliseconds;

namespace {

// Large fleets notice changes later.
milliseconds noticeDelayOf(unsigned daemons)
{
    return daemons > 12 ? milliseconds(1500) : milliseconds(300);
}

// All daemons together send the server this many requests a second.
constexpr double kFleetDemand = 200;

LimitedFleet makeFleet(unsigned daemons, unsigned seed)
{
    return LimitedFleet({ .daemons = daemons,
                          .demand = kFleetDemand / daemons,
                          .noticeDelay = noticeDelayOf(daemons),
                          .seed = seed });
}

// At least this share of the limit is used once it is known everywhere.
constexpr double kMinUse = 0.7;

} // namespace

BOOST_AUTO_TEST_SUITE(limitedPlacement)

// Guards against a fleet that exceeds a limit because each daemon uses a part of it that is too
// large, and against one that leaves most of the limit unused.
BOOST_AUTO_TEST_CASE(fleet_ofAnySize_keepsAndUsesAnyLimit)
{
    for (const unsigned daemons : { 1U, 6U, 79U, 400U }) {
        for (const double limit : { 0.3, 1.0, 5.0, 40.0 }) {
            LimitedFleet fleet = makeFleet(daemons, daemons);
            fleet.run(milliseconds(2500));
            fleet.setLimit(limit);
            fleet.run(milliseconds(4000));
            const auto settled = fleet.now();
            fleet.run(milliseconds(12000));
            BOOST_TEST(fleet.worstExcess() <= 0, daemons << " daemons, limit " << limit);
            BOOST_TEST(static_cast<double>(fleet.arrivalsSince(settled))
                               >= 12 * limit * kMinUse - 1,
                       daemons << " daemons, limit " << limit);
        }
    }
}

// Guards against two owners that each grant the whole limit while the fleet does not agree who the
// owner is: it is killed and started, or frozen and thawed, again and again.
BOOST_AUTO_TEST_CASE(owner_comesAndGoes_limitIsKept)
{
    for (const unsigned daemons : { 6U, 79U }) {
        for (unsigned seed = 1; seed <= 4; ++seed) {
            LimitedFleet fleet = makeFleet(daemons, seed);
            fleet.run(milliseconds(2500));
            fleet.setLimit(4);
            fleet.run(milliseconds(3000));
            for (unsigned round = 0; round < 6; ++round) {
                const auto owner = fleet.owner();
                BOOST_REQUIRE(owner);
                if (round % 2 == 0) {
                    fleet.kill(*owner);
                    fleet.run(milliseconds(700 * seed));
                    fleet.start(*owner);
                } else {
                    fleet.freeze(*owner);
                    fleet.run(milliseconds(900 * seed));
                    fleet.thaw(*owner);
                }
                fleet.run(milliseconds(1100 * seed));
            }
            BOOST_TEST(fleet.worstExcess() <= 0, daemons << " daemons, seed " << seed);
        }
    }
}

// Guards against both sides of a partition that each use the whole limit.
BOOST_AUTO_TEST_CASE(fleet_isCutInTwo_bothSidesTogetherKeepTheLimit)
{
    for (const unsigned daemons : { 6U, 79U }) {
        LimitedFleet fleet = makeFleet(daemons, 3);
        fleet.run(milliseconds(2500));
        fleet.setLimit(6);
        fleet.run(milliseconds(5000));
        fleet.cutBefore(daemons / 2);
        fleet.run(milliseconds(8000));
        const auto later = fleet.now();
        fleet.run(milliseconds(4000));
        BOOST_TEST(fleet.arrivalsSince(later) >= 4U * 6 / 2);
        fleet.heal();
        fleet.run(milliseconds(6000));
        BOOST_TEST(fleet.worstExcess() <= 0, daemons << " daemons");
    }
}

// Guards against a limit that is kept at its first value, and one that outlasts its end.
BOOST_AUTO_TEST_CASE(limit_fallsRisesAndEnds_fleetFollows)
{
    LimitedFleet fleet = makeFleet(79, 5);
    fleet.run(milliseconds(2500));
    for (const double limit : { 20.0, 2.0, 2.1, 1.9, 10.0 }) {
        fleet.setLimit(limit);
        fleet.run(milliseconds(6000));
    }
    BOOST_TEST(fleet.worstExcess() <= 0);
    fleet.setLimit(std::nullopt);
    fleet.run(milliseconds(4000));
    const auto later = fleet.now();
    fleet.run(milliseconds(1000));
    BOOST_TEST(fleet.arrivalsSince(later) > kFleetDemand * 0.8);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::peers
