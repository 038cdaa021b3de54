#include "auburn/routing/retrybudget.h"

#include <boost/test/unit_test.hpp>

namespace auburn::routing {

namespace {

struct RetryBudgetFixture
{
    unsigned takeAll()
    {
        unsigned taken = 0;
        while (taken < 10000 && budget.tryConsumeRetry(now))
            ++taken;
        return taken;
    }

    RetryBudget budget{
        { .ratio = 0.2, .window = std::chrono::milliseconds(10000), .allowance = 60 }
    };
    RetryBudget::TimePoint now = RetryBudget::TimePoint() + std::chrono::hours(1);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(retryBudget, RetryBudgetFixture)

// The limit of the deployment is ratio x requests + allowance over all daemons.
BOOST_AUTO_TEST_CASE(retries_sixDaemonsEachAtItsLimit_stayWithinTheSharedLimit)
{
    budget.setDaemonCount(6);
    for (int i = 0; i < 100; ++i)
        budget.recordRequest(now);
    BOOST_TEST(6 * takeAll() <= 0.2 * 600 + 60);
    BOOST_TEST(takeAll() == 0U);
}

BOOST_AUTO_TEST_CASE(retries_afterTheWindow_areAvailableAgain)
{
    budget.setDaemonCount(1);
    const unsigned first = takeAll();
    BOOST_TEST(first > 0U);
    now += std::chrono::milliseconds(9000);
    BOOST_TEST(takeAll() == 0U);
    now += std::chrono::milliseconds(2000);
    BOOST_TEST(takeAll() == first);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::routing
