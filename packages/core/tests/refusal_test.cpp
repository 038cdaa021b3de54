#include "auburn/core/refusal.h"

#include <boost/test/unit_test.hpp>

namespace auburn {

BOOST_AUTO_TEST_SUITE(refusal)

// Guards against a code whose name does not survive the way through a SlotRefusal message.
BOOST_AUTO_TEST_CASE(codeName_everyCode_roundTrips)
{
    for (int value = 0; value <= static_cast<int>(RefusalCode::NotReady); ++value) {
        const auto code = static_cast<RefusalCode>(value);
        const auto parsed = refusalCodeFromName(refusalCodeName(code));
        BOOST_REQUIRE(parsed.has_value());
        BOOST_TEST(static_cast<int>(*parsed) == value);
        BOOST_TEST(refusalHttpStatus(code) >= 400);
    }
}

// Guards against a retry that reports "did not run" after an attempt that may have run.
BOOST_AUTO_TEST_CASE(mergeVerdicts_oneMayHaveRun_neverDidNotRun)
{
    BOOST_CHECK(mergeVerdicts(Verdict::MayHaveRun, Verdict::DidNotRun) == Verdict::MayHaveRun);
    BOOST_CHECK(mergeVerdicts(Verdict::DidNotRun, Verdict::Ran) == Verdict::Ran);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
