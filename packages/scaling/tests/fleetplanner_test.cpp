#include "auburn/scaling/fleetplanner.h"

#include "grouptrack.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace auburn::scaling {

using std::chrono::milliseconds;

namespace {

struct PlannerFixture
{
    // Plans for 15 s without any change of the servers and returns the last orders.
    std::vector<PlannedOrder> plan(FleetPlanner::Options options)
    {
        FleetPlanner planner(options);
        std::vector<PlannedOrder> orders;
        for (int i = 0; i < 75; ++i)
            orders = planner.plan({ .services = { service }, .demandComplete = true },
                                  now + i * milliseconds(200));
        return orders;
    }

    // One server without reserve takes 6 requests.
    ServiceState service{ .name = "e",
                          .policy = { .minPerDomain = 1, .maxPerDomain = 48 },
                          .load = { .inProgress = 90 },
                          .slots = 10,
                          .domains = { { "a", { .spot = 20 } },
                                       { "b", { .onDemand = 10 } },
                                       { "c", { .onDemand = 10 } } } };
    TimePoint now{ milliseconds(100000) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleetPlanner, PlannerFixture)

// Guards against giving on-demand servers back while most servers are spot servers of one failure
// domain: their loss would leave too few.
BOOST_AUTO_TEST_CASE(surplus_spotInOneDomain_staysEnoughForItsLoss)
{
    unsigned remaining = 20;
    for (const PlannedOrder &planned : plan({})) {
        if (!planned.order.spot && planned.order.failureDomain != "a")
            remaining -= 10 - planned.order.desired;
    }
    BOOST_TEST(remaining == 15U);
}

// Guards against a fleet sized by its slots alone while prompts queue for prefill.
BOOST_AUTO_TEST_CASE(need_promptTokens_countLikeSlots)
{
    FleetPlanner planner({});
    service.load = { .inProgress = 30, .tokensPerSecond = 550000 };
    planner.plan({ .services = { service } }, now);
    planner.plan({ .services = { service } }, now + milliseconds(2000));
    BOOST_TEST(planner.neededServers("e") == 30U);
}

// Guards against a new holder that orders what it derives from the first few reports, and against
// one that takes the loss of most servers for a lack of demand.
BOOST_AUTO_TEST_CASE(takeover_halfOfTheServers_isKeptForSomeTime)
{
    FleetPlanner planner({});
    service.load.inProgress = 600;
    BOOST_TEST(planner.plan({ .services = { service } }, now).empty());
    planner.reset();
    // Without any request, all of them would be kept.
    service.load = { .inProgress = 1 };
    planner.plan({ .services = { service } }, now);
    planner.plan({ .services = { service } }, now + milliseconds(2000));
    service.domains = { { "a", { .spot = 5 } } };
    unsigned servers = 5;
    for (const PlannedOrder &planned :
         planner.plan({ .services = { service } }, now + milliseconds(2200)))
        servers += planned.order.desired - planned.running;
    BOOST_TEST(servers == 20U);
}

// Guards against a fleet that is given back between the start of a deployment and its first
// request.
BOOST_AUTO_TEST_CASE(noRequestYet_whatRuns_isNeeded)
{
    FleetPlanner planner({});
    service.load = {};
    FleetState state{ .services = { service }, .demandComplete = true };
    for (int second = 0; second <= 60; ++second)
        planner.plan(state, now + std::chrono::seconds(second));
    BOOST_TEST(planner.neededServers("e") == 40U);
    state.services[0].load.inProgress = 1;
    for (int second = 61; second <= 80; ++second)
        planner.plan(state, now + std::chrono::seconds(second));
    BOOST_TEST(planner.neededServers("e") < 40U);
}

// Guards against a fleet that shrinks before the first request, because the holder had read only a
// part of the list of servers when it began.
BOOST_AUTO_TEST_CASE(noRequestYet_listIsReadInParts_allThatRunIsNeeded)
{
    FleetPlanner planner({});
    service.load = {};
    FleetState state{ .services = { service }, .demandComplete = true };
    state.services[0].domains.erase("c");
    planner.plan(state, now);
    planner.plan(state, now + std::chrono::seconds(2));
    state.services[0].domains = service.domains;
    planner.plan(state, now + std::chrono::seconds(3));
    BOOST_TEST(planner.neededServers("e") == 40U);
}

// Guards against exceeding the operators' limit while callers cause a shortage.
BOOST_AUTO_TEST_CASE(shortage_operatorsLimit_isKept)
{
    service.load.inProgress = 600;
    unsigned desired = 40;
    for (const PlannedOrder &planned : plan({ .maxServers = 50 })) {
        const DomainServers &servers = service.domains.at(planned.order.failureDomain);
        desired += planned.order.desired - (planned.order.spot ? servers.spot : servers.onDemand);
    }
    BOOST_TEST(desired == 50U);
}

// Guards against a daemon that was suspended and gives servers back because of the demand that it
// saw before.
BOOST_AUTO_TEST_CASE(demand_gapBetweenPlans_isNotComplete)
{
    FleetPlanner planner({ .spotShare = 0 });
    service.load.inProgress = 160;
    service.domains = { { "a", { .onDemand = 14 } },
                        { "b", { .onDemand = 13 } },
                        { "c", { .onDemand = 13 } } };
    FleetState state{ .services = { service }, .demandComplete = true };
    const TimePoint suspended = now + milliseconds(14000);
    for (; now < suspended; now += milliseconds(200))
        BOOST_TEST(planner.plan(state, now).empty());
    // Long enough that the higher need of before the gap has lapsed.
    now += milliseconds(11000);
    state.services[0].load.inProgress = 30;
    const TimePoint resumed = now;
    for (; now < resumed + milliseconds(5000); now += milliseconds(200))
        BOOST_TEST(planner.plan(state, now).empty());
    BOOST_TEST(!planner.plan(state, now).empty());
}

// Guards against counting on servers that do not arrive, and against repeating an order that the
// platform declined.
BOOST_AUTO_TEST_CASE(track_orderedServers_countUntilTheyAreLateOrDeclined)
{
    const auto observed = [this](bool declined, int ms) {
        now += milliseconds(ms);
        return GroupTrack::Observation{ .running = 3,
                                        .declined = declined,
                                        .arrivalTime = milliseconds(7000) };
    };
    GroupTrack track;
    track.observe(observed(false, 0), now);
    track.order(8, OrderReason::Shortage, now);
    track.observe(observed(false, 6800), now);
    BOOST_TEST(track.expected() == 8U);
    track.observe(observed(false, 200), now);
    BOOST_TEST(track.expected() == 3U);
    BOOST_TEST(track.isBlocked());
    BOOST_TEST(track.isOrdered());
    track.observe(observed(false, 7000), now);
    BOOST_TEST(!track.isBlocked());
    BOOST_TEST(!track.isOrdered());
    track.order(8, OrderReason::Shortage, now);
    track.observe(observed(true, 200), now);
    BOOST_TEST(track.wanted() == 3U);
    BOOST_TEST(!track.isOrdered());
}

// Guards against counting on servers that never arrive because the number is raised each second
// while the load rises.
BOOST_AUTO_TEST_CASE(track_ordersRiseWhileNoneArrives_areNoticedAsLate)
{
    GroupTrack track;
    const GroupTrack::Observation observation{ .running = 3, .arrivalTime = milliseconds(7000) };
    track.observe(observation, now);
    for (unsigned wanted = 4; wanted <= 10; ++wanted) {
        track.order(wanted, OrderReason::Shortage, now);
        BOOST_TEST(track.expected() == wanted);
        now += milliseconds(1000);
        track.observe(observation, now);
    }
    BOOST_TEST(track.expected() == 3U);
    BOOST_TEST(track.isBlocked());
}

// Guards against counting on servers that never arrive because the number is lowered and raised in
// turn.
BOOST_AUTO_TEST_CASE(track_smallerOrder_missingServersKeepTheirAge)
{
    GroupTrack track;
    const GroupTrack::Observation observation{ .running = 5, .arrivalTime = milliseconds(7000) };
    track.observe(observation, now);
    track.order(10, OrderReason::Shortage, now);
    track.observe(observation, now + milliseconds(4000));
    track.order(8, OrderReason::Surplus, now + milliseconds(4000));
    track.order(9, OrderReason::Shortage, now + milliseconds(5000));
    track.observe(observation, now + milliseconds(7000));
    BOOST_TEST(track.isBlocked());
}

// Guards against taking an order for late because an earlier one, which has arrived, is old.
BOOST_AUTO_TEST_CASE(track_ordersRiseAndArriveInTime_areCounted)
{
    GroupTrack track;
    GroupTrack::Observation observation{ .running = 3, .arrivalTime = milliseconds(7000) };
    track.observe(observation, now);
    for (unsigned wanted = 4; wanted <= 24; ++wanted) {
        track.order(wanted, OrderReason::Shortage, now);
        now += milliseconds(1000);
        observation.running = std::max(8U, wanted) - 5;
        track.observe(observation, now);
        BOOST_TEST(track.expected() == wanted);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::scaling
