#include "auburn/claims/idempotencykey.h"

#include <boost/test/unit_test.hpp>

namespace auburn {

BOOST_AUTO_TEST_SUITE(idempotencykey)

// Guards against accepting keys without a timestamp, whose lifetime is unbounded. The example is
// from RFC 9562, appendix A.6.
BOOST_AUTO_TEST_CASE(parse_variousTexts_onlyVersion7IsAccepted)
{
    const auto key = IdempotencyKey::parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    BOOST_REQUIRE(key.has_value());
    BOOST_TEST(key->time().count() == 0x017F22E279B0);
    for (const char *text :
         { "", "017F22E2-79B0-4CC3-98C4-DC0C0C07398F", "017F22E2-79B0-7CC3-18C4-DC0C0C07398F",
           "017F22E279B07CC398C4DC0C0C07398F", "017F22E2-79B0-7CC3-98C4-DC0C0C07398G",
           "017F22E2-79B0-7CC3-98C4-DC0C0C07398F " })
        BOOST_TEST(!IdempotencyKey::parse(text).has_value());
}

// Guards against accepting a key whose claim may have been removed.
BOOST_AUTO_TEST_CASE(validityAt_limits_areInclusive)
{
    const auto key = IdempotencyKey::parse("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    const std::chrono::milliseconds one(1);
    const auto check = [&](std::chrono::milliseconds now, IdempotencyKeyValidity age) {
        BOOST_TEST((key->validityAt(now) == age));
    };
    check(key->time() + kIdempotencyKeyLifetime, IdempotencyKeyValidity::Valid);
    check(key->time() + kIdempotencyKeyLifetime + one, IdempotencyKeyValidity::Expired);
    check(key->time() - kMaxCallerClockSkew, IdempotencyKeyValidity::Valid);
    check(key->time() - kMaxCallerClockSkew - one, IdempotencyKeyValidity::TooFarInFuture);
}

// Guards against keys of two organisations that block each other, and against executing a key twice
// because its case differs.
BOOST_AUTO_TEST_CASE(hashFor_organisationAndCase_onlyOrganisationDiffers)
{
    const auto lower = IdempotencyKey::parse("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    const auto upper = IdempotencyKey::parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    BOOST_TEST((lower->hashFor("a") == upper->hashFor("a")));
    BOOST_TEST((lower->hashFor("a") != lower->hashFor("b")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
