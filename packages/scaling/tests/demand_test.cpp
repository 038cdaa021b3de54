#include "auburn/scaling/demandtable.h"
#include "auburn/scaling/meteredplacement.h"

#include <boost/test/unit_test.hpp>

#include <utility>

namespace auburn::scaling {

using routing::AttemptOutcome;
using std::chrono::milliseconds;

namespace {

// Places every request on one server, or none while it is full.
struct FakeSource : routing::PlacementSource
{
    void place(const routing::PlacementQuery & /*query*/, milliseconds /*timeLeft*/,
               ChoiceHandler handler) override
    {
        if (full)
            handler(std::nullopt);
        else
            handler(routing::PlacementChoice{ .serverId = "s", .uncachedTokens = 500 });
    }
    void attemptProgressed(const routing::PlacementChoice & /*choice*/,
                           std::chrono::microseconds /*sinceStart*/) override
    {
        ++progressed;
    }
    void attemptEnded(const routing::PlacementChoice & /*choice*/, bool /*progressed*/,
                      AttemptOutcome /*outcome*/) override
    {
        ++ended;
    }

    bool full = false;
    unsigned progressed = 0;
    unsigned ended = 0;
};

struct DemandFixture
{
    DemandFixture()
        : config({ .services = { { .name = "e", .scaling = routing::ScalingPolicy{} },
                                 { .name = "unscaled" } } })
    {}

    routing::PlacementChoice place(const char *service = "e")
    {
        routing::PlacementChoice result;
        placement.place({ .service = config.findService(service) }, milliseconds(1000),
                        [&](std::optional<routing::PlacementChoice> choice) {
                            if (choice)
                                result = std::move(*choice);
                        });
        return result;
    }

    proto::DemandReport report()
    {
        now += milliseconds(1000);
        return meter.makeReports(config, now).at(0);
    }

    // A report of another daemon.
    static proto::DemandReport peerReport(const std::string &vm, unsigned inProgress,
                                          std::uint64_t number)
    {
        proto::DemandReport report;
        report.set_vm(vm);
        report.set_number(number);
        report.set_interval_ms(1000);
        proto::ServiceDemand &demand = *report.add_services();
        demand.set_service("e");
        demand.set_in_progress(inProgress);
        return report;
    }

    routing::TrafficConfig config;
    TimePoint now{ milliseconds(100000) };
    DemandMeter meter{ "vm", 1 };
    FakeSource source;
    MeteredPlacement placement{ source, meter };
    DemandTable table;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(demand, DemandFixture)

// Guards against attempts that are counted twice or for ever, and against messages in deployments
// that scale nothing.
BOOST_AUTO_TEST_CASE(report_attempts_areCountedFromPlacementToEnd)
{
    const auto first = place();
    const auto second = place();
    place("unscaled");
    placement.attemptProgressed(first, std::chrono::microseconds(1));
    proto::DemandReport made = report();
    BOOST_REQUIRE(made.services_size() == 1);
    BOOST_TEST(made.services(0).in_progress() == 2U);
    BOOST_TEST(made.services(0).waiting() == 1U);
    BOOST_TEST(made.services(0).uncached_tokens() == 1000U);
    placement.attemptEnded(first, true, AttemptOutcome::Succeeded);
    placement.attemptEnded(second, false, AttemptOutcome::Rejected);
    source.full = true;
    place();
    made = report();
    BOOST_TEST(made.services(0).in_progress() == 0U);
    BOOST_TEST(made.services(0).waiting() == 0U);
    BOOST_TEST(made.services(0).uncached_tokens() == 0U);
    BOOST_TEST(made.services(0).rejected() == 2U);
    BOOST_TEST(source.progressed == 1U);
    BOOST_TEST(source.ended == 2U);
    BOOST_TEST(meter.makeReports(config, now).empty());
    const routing::TrafficConfig unscaled({ .services = { { .name = "e" } } });
    BOOST_TEST(meter.makeReports(unscaled, now + milliseconds(1000)).empty());
}

// Guards against a delayed or repeated report that replaces a newer one, and against the load of a
// daemon that died.
BOOST_AUTO_TEST_CASE(table_reports_areMergedByDaemonAndExpire)
{
    table.record(peerReport("a", 10, 2), now);
    table.record(peerReport("a", 90, 1), now);
    table.record(peerReport("b", 5, 1), now);
    table.update(now);
    BOOST_TEST(table.load("e").inProgress == 15);
    BOOST_TEST(table.isComplete(2));
    BOOST_TEST(!table.isComplete(3));
    now += milliseconds(3200);
    table.record(peerReport("a", 10, 3), now);
    table.update(now);
    BOOST_TEST(!table.isComplete(2));
    // The peak remains for 15 s.
    BOOST_TEST(table.load("e").inProgress == 15);
    now += milliseconds(15200);
    table.update(now);
    BOOST_TEST(table.load("e").inProgress == 0);
}

// Guards against services whose demand is never seen because a report holds only the first ones.
BOOST_AUTO_TEST_CASE(report_fiftyServices_allAreCounted)
{
    routing::TrafficConfigData many;
    for (int i = 0; i < 50; ++i)
        many.services.push_back(
                { .name = "e" + std::to_string(i), .scaling = routing::ScalingPolicy{} });
    for (int i = 0; i < 50; ++i)
        meter.attemptStarted("e" + std::to_string(i), 0);
    const routing::TrafficConfig manyServices(many);
    for (const proto::DemandReport &part : meter.makeReports(manyServices, now)) {
        BOOST_TEST(part.ByteSizeLong() <= 1200U);
        table.record(part, now);
    }
    table.update(now);
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(table.load("e" + std::to_string(i)).inProgress == 1);
    BOOST_TEST(table.reportingDaemons() == 1U);
}

// Guards against a service that is counted twice, because its demand moved to another part of the
// report and a part was lost.
BOOST_AUTO_TEST_CASE(report_firstUseOfAService_othersStayInTheirParts)
{
    routing::TrafficConfigData many;
    for (int i = 0; i < 30; ++i)
        many.services.push_back(
                { .name = "e" + std::to_string(i), .scaling = routing::ScalingPolicy{} });
    const routing::TrafficConfig manyServices(many);
    for (int i = 1; i < 30; ++i)
        meter.attemptStarted("e" + std::to_string(i), 0);
    for (const proto::DemandReport &part : meter.makeReports(manyServices, now))
        table.record(part, now);
    meter.attemptStarted("e0", 0);
    now += milliseconds(1000);
    const auto parts = meter.makeReports(manyServices, now);
    BOOST_REQUIRE(parts.size() == 2U);
    // The first part is lost.
    table.record(parts[1], now);
    table.update(now);
    for (int i = 1; i < 30; ++i)
        BOOST_TEST(table.load("e" + std::to_string(i)).inProgress == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::scaling
