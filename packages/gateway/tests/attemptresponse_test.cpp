#include "attemptresponse.h"

#include <boost/test/unit_test.hpp>

namespace auburn::gateway {

BOOST_AUTO_TEST_SUITE(loadHeader)

BOOST_AUTO_TEST_CASE(loadReport_fourValues_workTimeIsRead)
{
    const auto report = parseLoadReport("3,1,8,250");
    BOOST_REQUIRE(report);
    BOOST_TEST(report->running == 3U);
    BOOST_TEST(report->waiting == 1U);
    BOOST_TEST(report->slots == 8U);
    BOOST_TEST(report->workTimePercent.value_or(0) == 250U);
}

// Guards against a server whose load is ignored, or that counts as fast, because of its work time.
BOOST_AUTO_TEST_CASE(loadReport_unusableWorkTime_otherValuesHold)
{
    for (const char *text :
         { "3,1,8", "3,1,8,", "3,1,8,0", "3,1,8,-100", "3,1,8,10001", "3,1,8,99999999999999999999",
           "3,1,8,1.5", "3,1,8,fast", "3,1,8,1e2" }) {
        const auto report = parseLoadReport(text);
        BOOST_REQUIRE_MESSAGE(report, text);
        BOOST_TEST(report->slots == 8U);
        BOOST_TEST(!report->workTimePercent, text);
    }
}

// Guards against a server that counts as idle, or as fast, because its load cannot be read.
BOOST_AUTO_TEST_CASE(loadReport_unparsable_isIgnored)
{
    for (const char *text : { "", "x", "3", "3,1", "3,1,", "x,1,8", "3,x,8", "3,1,x", ",1,8",
                              "3,,8", "-3,1,8", "3,-1,8", "3,1,-8", "3,1,99999999999" })
        BOOST_TEST(!parseLoadReport(text), text);
    const auto report = parseLoadReport("3,1,8;250");
    BOOST_REQUIRE(report);
    BOOST_TEST(!report->workTimePercent);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
