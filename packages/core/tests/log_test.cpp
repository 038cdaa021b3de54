#include "auburn/core/log.h"

#include <boost/test/unit_test.hpp>

namespace auburn {

BOOST_AUTO_TEST_SUITE(log)

// Guards against log injection: a value with a line break must not start a second line.
BOOST_AUTO_TEST_CASE(formatEvent_valueWithLineBreak_staysOnOneLine)
{
    const std::string line = formatEvent("refused", { { "organisation", "a b\nevent=forged" } });
    BOOST_TEST(line == "event=refused organisation=\"a b\\x0aevent=forged\"");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
