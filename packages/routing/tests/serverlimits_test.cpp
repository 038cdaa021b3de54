#include "auburn/routing/serverlimits.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

namespace auburn::routing {

using std::chrono::milliseconds;

namespace {

struct ServerLimitsFixture
{
    const ServerLimits::TimePoint start{ std::chrono::hours(1) };
    ServerLimits limits;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(serverLimits, ServerLimitsFixture)

// Guards against a faulty server whose limit would stop all requests to it, or end its own limit.
BOOST_AUTO_TEST_CASE(text_isNoDecimalNumber_isNoLimit)
{
    for (const char *text :
         { "", "nan", "inf", "-1", "-0.5", "1,5", "1 ", " 1", "0x10", "1e999", "none" })
        BOOST_TEST(!parseServerLimit(text).has_value(), text);
    BOOST_TEST(parseServerLimit("1.3").value() == 1.3);
    BOOST_TEST(parseServerLimit("0").value() == 0.0);
}

BOOST_AUTO_TEST_CASE(limit_isNamedAgain_newestIsInForce)
{
    BOOST_TEST(limits.recordLimit("s", 2, start));
    BOOST_TEST(!limits.recordLimit("s", 2, start + milliseconds(10)));
    BOOST_TEST(limits.recordLimit("s", 1, start + milliseconds(20)));
    BOOST_TEST(limits.limitOf("s").value() == 1.0);
    limits.recordLimit("s", 1e9, start + milliseconds(30));
    BOOST_TEST(!limits.limitOf("s").has_value());
}

// Guards against a limit that ends because of a response that the server wrote before it named one.
BOOST_AUTO_TEST_CASE(responseWithoutALimit_requestIsOlderThanTheLimit_limitStays)
{
    limits.recordLimit("s", 2, start + milliseconds(100));
    BOOST_TEST(!limits.recordNoLimit("s", start + milliseconds(50)));
    BOOST_TEST(limits.limitOf("s").has_value());
    BOOST_TEST(limits.recordNoLimit("s", start + milliseconds(150)));
    BOOST_TEST(!limits.hasLimits());
}

// Guards against a report on its way that brings back a limit which has ended.
BOOST_AUTO_TEST_CASE(report_isOlderThanTheEnd_limitStaysEnded)
{
    limits.recordLimit("s", 2, start);
    limits.recordNoLimit("s", start + milliseconds(500));
    const ServerLimitReport late{ .serverId = "s",
                                  .requestsPerSecond = 2,
                                  .observedAt = start + milliseconds(400) };
    BOOST_TEST(!limits.merge(late));
    BOOST_TEST(!limits.limitOf("s").has_value());
    BOOST_TEST(limits.newestReports(8).size() == 1U);
}

// Guards against daemons that tell each other forever of the limit of a server that is gone.
BOOST_AUTO_TEST_CASE(limit_isNotConfirmed_isForgotten)
{
    limits.recordLimit("s", 2, start);
    limits.removeExpired(start + kLimitLifetime);
    BOOST_TEST(limits.hasLimits());
    limits.removeExpired(start + kLimitLifetime + milliseconds(1));
    BOOST_TEST(limits.newestReports(8).empty());
}

BOOST_AUTO_TEST_CASE(reports_areMany_newestComeFirst)
{
    for (int i = 0; i < 20; ++i)
        limits.recordLimit("s" + std::to_string(i), 1, start + milliseconds(i));
    const auto reports = limits.newestReports(3);
    BOOST_REQUIRE(reports.size() == 3U);
    BOOST_TEST(reports.front().serverId == "s19");
    BOOST_TEST(reports.back().serverId == "s17");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::routing
