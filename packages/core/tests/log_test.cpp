#include "auburn/core/log.h"
#include "auburn/core/loglimit.h"

#include <boost/test/unit_test.hpp>

namespace auburn {

BOOST_AUTO_TEST_SUITE(log)

// Guards against log injection: a value with a line break must not start a second line.
BOOST_AUTO_TEST_CASE(formatEvent_valueWithLineBreak_staysOnOneLine)
{
    const std::string line = formatEvent("refused", { { "organisation", "a b\nevent=forged" } });
    BOOST_TEST(line == "event=refused organisation=\"a b\\x0aevent=forged\"");
}

// Guards against a log that grows with the number of bad requests, and against lines that are
// dropped without a trace.
BOOST_AUTO_TEST_CASE(limit_manyLinesInASecond_dropsAndCountsThem)
{
    LogLimit limit(2);
    const LogLimit::Clock::time_point start = LogLimit::Clock::now();
    BOOST_CHECK(limit.takeLine(start) == 0U);
    BOOST_CHECK(limit.takeLine(start) == 0U);
    for (int i = 0; i < 5; ++i)
        BOOST_CHECK(!limit.takeLine(start + std::chrono::milliseconds(999)));
    BOOST_CHECK(limit.takeLine(start + std::chrono::milliseconds(1000)) == 5U);
    BOOST_CHECK(limit.takeLine(start + std::chrono::milliseconds(1000)) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
