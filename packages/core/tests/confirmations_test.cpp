// Tests when the absence of something counts as proven.

#include "auburn/core/confirmations.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace auburn {

using std::chrono::milliseconds;

namespace {

struct ConfirmationsFixture
{
    ConfirmationsFixture()
    {
        confirmations.expect("a");
        confirmations.expect("b");
    }

    Confirmations confirmations;
    const Confirmations::TimePoint start{ std::chrono::hours(1) };
    const Confirmations::Bound bound{ .era = 2, .askedSince = start };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(confirmations_, ConfirmationsFixture)

// Guards against a decision of a daemon that knows nobody who could know more.
BOOST_AUTO_TEST_CASE(noSource_isExpected_nothingIsProven)
{
    BOOST_TEST(!Confirmations().areComplete({}));
}

// Guards against taking the silence of a suspended or cut-off daemon for its consent.
BOOST_AUTO_TEST_CASE(source_isSilent_nothingIsProvenWithoutIt)
{
    confirmations.confirm("a", 2, start);
    BOOST_TEST(!confirmations.areComplete(bound));
    BOOST_TEST(confirmations.missing(bound) == std::vector<std::string>{ "b" },
               boost::test_tools::per_element());
    BOOST_TEST(confirmations.confirmed(bound) == 1U);
    BOOST_TEST(confirmations.haveConfirmed({ "a" }, bound));
    BOOST_TEST(!confirmations.haveConfirmed({ "a", "b" }, bound));
    BOOST_TEST(!confirmations.haveConfirmed({ "stranger" }, bound));
    confirmations.confirm("b", 2, start);
    BOOST_TEST(confirmations.areComplete(bound));
}

// Guards against a confirmation from before a restore of the store.
BOOST_AUTO_TEST_CASE(confirmation_ofAnEarlierEra_doesNotCount)
{
    confirmations.confirm("a", 2, start);
    confirmations.confirm("b", 1, start + milliseconds(1));
    BOOST_TEST(!confirmations.areComplete(bound));
    confirmations.confirm("b", 3, start);
    BOOST_TEST(confirmations.areComplete(bound));
}

// Guards against a reply that waited in the socket while this process was suspended.
BOOST_AUTO_TEST_CASE(confirmation_ofAnEarlierQuestion_doesNotCount)
{
    confirmations.confirm("a", 2, start);
    confirmations.confirm("b", 2, start - milliseconds(1));
    BOOST_TEST(!confirmations.areComplete(bound));
    BOOST_TEST((confirmations.askedAt("b") == start - milliseconds(1)));
}

// Guards against a delayed reply that replaces a newer one.
BOOST_AUTO_TEST_CASE(confirmation_arrivesLate_newerOneStays)
{
    confirmations.confirm("a", 2, start);
    confirmations.confirm("b", 2, start);
    confirmations.confirm("b", 1, start + milliseconds(5));
    confirmations.confirm("b", 2, start - milliseconds(5));
    BOOST_TEST(confirmations.areComplete(bound));
}

// Guards against waiting for ever for a process that another one has replaced, and against a
// source that loses its confirmation because it is expected again.
BOOST_AUTO_TEST_CASE(source_isReleased_isNotAwaited)
{
    confirmations.confirm("a", 2, start);
    confirmations.release("b");
    confirmations.confirm("b", 2, start);
    confirmations.expect("a");
    BOOST_TEST(confirmations.areComplete(bound));
    confirmations.expect("b");
    BOOST_TEST(!confirmations.areComplete(bound));
    BOOST_TEST(!confirmations.askedAt("b").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
