#include "auburn/routing/retrybudget.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace auburn::routing {

namespace {

struct RetryBudgetFixture
{
    unsigned takeAll(const std::string &service = "desk")
    {
        unsigned taken = 0;
        while (taken < 10000 && budget.tryConsumeRetry(service, now))
            ++taken;
        return taken;
    }

    void recordRequests(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i)
            budget.recordRequest("desk", now);
    }

    static constexpr double kAllowance = 60;
    RetryBudget budget{
        { .ratio = 0.2, .window = std::chrono::milliseconds(10000), .allowance = kAllowance }
    };
    RetryBudget::TimePoint now = RetryBudget::TimePoint() + std::chrono::hours(1);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(retryBudget, RetryBudgetFixture)

// The limit of the deployment is ratio x requests + allowance over all daemons.
BOOST_AUTO_TEST_CASE(retries_sixDaemonsEachAtItsLimit_stayWithinTheSharedLimit)
{
    budget.setDaemonCount(6);
    recordRequests(100);
    const unsigned taken = takeAll();
    BOOST_TEST(taken > 0U);
    BOOST_TEST(6 * taken <= 0.2 * 600 + kAllowance);
    BOOST_TEST(takeAll() == 0U);
}

// The process before a restart may have used its part of the window's allowance.
BOOST_AUTO_TEST_CASE(allowance_atTheStart_isEmpty)
{
    budget.setDaemonCount(1);
    BOOST_TEST(takeAll() == 0U);
}

BOOST_AUTO_TEST_CASE(allowance_afterTheWindow_isAvailableAgain)
{
    budget.setDaemonCount(1);
    BOOST_TEST(takeAll() == 0U);
    now += std::chrono::milliseconds(20000);
    const unsigned first = takeAll();
    BOOST_TEST(first > 0U);
    // The largest number of retries in one window: those saved at its start and those received
    // during it.
    unsigned inWindow = first;
    for (int step = 0; step < 10; ++step) {
        now += std::chrono::milliseconds(1000);
        inWindow += takeAll();
    }
    BOOST_TEST(inWindow <= kAllowance);
    now += std::chrono::milliseconds(20000);
    BOOST_TEST(takeAll() == first);
}

// A daemon that does not know how many others use the allowance must not use it.
BOOST_AUTO_TEST_CASE(allowance_numberOfDaemonsUnknown_isNotUsed)
{
    BOOST_TEST(takeAll() == 0U);
    now += std::chrono::milliseconds(60000);
    BOOST_TEST(takeAll() == 0U);
    recordRequests(100);
    BOOST_TEST(takeAll() > 0U);
}

// Guards against tokens that are saved in quiet times and spent in one window.
BOOST_AUTO_TEST_CASE(earnedTokens_afterHalfAWindow_expire)
{
    recordRequests(1000);
    now += std::chrono::milliseconds(5000);
    BOOST_TEST(takeAll() == 0U);
}

BOOST_AUTO_TEST_CASE(tokens_ofOneService_doNotPayForAnother)
{
    recordRequests(1000);
    BOOST_TEST(takeAll("engines") == 0U);
    BOOST_TEST(takeAll("desk") > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::routing
