#include "auburn/core/loadshedding.h"
#include "auburn/core/memorybudget.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>
#include <vector>

namespace auburn {

BOOST_AUTO_TEST_SUITE(memoryBudget)

// Guards against holders on several threads that exceed the limit together, or whose bytes do not
// return.
BOOST_AUTO_TEST_CASE(holders_onSeveralThreads_neverExceedTheLimit)
{
    constexpr std::size_t kLimit = 100000;
    const auto budget = std::make_shared<MemoryBudget>(kLimit);
    std::atomic<bool> exceeded{ false };
    std::vector<std::thread> threads;
    for (std::size_t thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&, thread] {
            HeldMemory held(budget);
            for (std::size_t i = 0; i < 20000; ++i) {
                held.tryResize((i * 7919 + thread * 104729) % 50000);
                if (budget->used() > kLimit)
                    exceeded = true;
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    BOOST_TEST(!exceeded);
    BOOST_TEST(budget->used() == 0U);
}

// Guards against pressure that nobody hears of because the growth itself was refused.
BOOST_AUTO_TEST_CASE(holder_growthRefusedOrAboveThreshold_reportsPressure)
{
    const auto budget = std::make_shared<MemoryBudget>(1000);
    unsigned reports = 0;
    budget->setPressureHandler(600, [&reports] { ++reports; });
    HeldMemory held(budget);
    BOOST_TEST(held.tryResize(600));
    BOOST_TEST(reports == 0U);
    BOOST_TEST(held.tryResize(700));
    BOOST_TEST(reports == 1U);
    BOOST_TEST(!held.tryResize(1001));
    BOOST_TEST(reports == 2U);
    held.resize(1200);
    BOOST_TEST(reports == 3U);
    BOOST_TEST(held.tryResize(10));
    BOOST_TEST(reports == 3U);
}

// Guards against all IPv4 callers of a listener for both families counting as one source.
BOOST_AUTO_TEST_CASE(source_ofMappedAddresses_isThatOfTheIpv4Address)
{
    using boost::asio::ip::make_address;
    BOOST_TEST(connectionSource(make_address("::ffff:10.0.0.1"))
               == connectionSource(make_address("10.0.0.1")));
    BOOST_TEST(connectionSource(make_address("::ffff:10.0.0.1"))
               != connectionSource(make_address("::ffff:10.0.0.2")));
    BOOST_TEST(connectionSource(make_address("2001:db8::1"))
               == connectionSource(make_address("2001:db8::2")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
