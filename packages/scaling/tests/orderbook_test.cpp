#include "auburn/scaling/orderbook.h"

#include <boost/test/unit_test.hpp>

#include <utility>

namespace auburn::scaling {

using duties::CallStatus;
using std::chrono::milliseconds;

namespace {

struct OrderBookFixture
    : duties::DutyApi
    , duties::DutyPermit
{
    void reportUsage(const duties::UsageFigure & /*figure*/, Handler /*handler*/) override {}
    void orderServers(const duties::ServerOrder &order, Handler handler) override
    {
        sent.push_back(order);
        handlers.push_back(std::move(handler));
    }
    bool isHeld() const override { return true; }
    std::uint64_t token() const override { return 1; }

    static PlannedOrder order(unsigned desired, const char *domain = "d",
                              OrderReason reason = OrderReason::Shortage)
    {
        return {
            .order = { .service = "e", .failureDomain = domain, .desired = desired, .spot = true },
            .reason = reason
        };
    }

    void update(const std::vector<PlannedOrder> &orders, int milliseconds)
    {
        now += std::chrono::milliseconds(milliseconds);
        book.update(orders, now);
    }

    void answer(CallStatus status) { std::exchange(handlers, {}).back()(status); }

    TimePoint now{ milliseconds(100000) };
    std::vector<duties::ServerOrder> sent;
    std::vector<Handler> handlers;
    OrderBook book{ { .api = this, .permit = this } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(orderBook, OrderBookFixture)

// Guards against calls for what the platform has already accepted, and against an accepted order
// that is lost there.
BOOST_AUTO_TEST_CASE(acceptedOrder_isSentOnceAndRepeatedLater)
{
    update({ order(5) }, 0);
    update({ order(5) }, 200);
    BOOST_TEST(sent.size() == 1U);
    answer(CallStatus::Accepted);
    for (int i = 0; i < 30; ++i)
        update({ order(5) }, 200);
    BOOST_TEST(sent.size() == 1U);
    update({ order(6) }, 200);
    BOOST_TEST(sent.size() == 2U);
    answer(CallStatus::Accepted);
    update({ order(6) }, 200);
    update({ order(6) }, 7200);
    BOOST_TEST(sent.size() == 3U);
}

// Guards against waiting for servers that were never ordered: the number is that of an order from
// before the servers were lost.
BOOST_AUTO_TEST_CASE(newOrder_sameNumberAsBefore_isSent)
{
    update({ order(5) }, 0);
    answer(CallStatus::Accepted);
    PlannedOrder again = order(5);
    again.decidedAt = now + milliseconds(1000);
    update({ again }, 1000);
    BOOST_TEST(sent.size() == 2U);
}

// Guards against retries without end at full rate while the interface is down.
BOOST_AUTO_TEST_CASE(failedOrder_isRepeatedAtAFallingRate)
{
    for (int i = 0; i < 150; ++i) {
        update({ order(5) }, 200);
        if (!handlers.empty())
            answer(i % 2 == 0 ? CallStatus::RateLimited : CallStatus::Unknown);
    }
    // 30 s: after 0, 0.5, 1.5, 3.5, 7.5 s and then every 4 s.
    BOOST_TEST(sent.size() >= 8U);
    BOOST_TEST(sent.size() <= 11U);
}

// Guards against asking a failure domain for servers that it does not have, again and again.
BOOST_AUTO_TEST_CASE(noneAvailable_isRememberedForSomeTime)
{
    update({ order(5) }, 0);
    answer(CallStatus::NoneAvailable);
    update({ order(5), order(7, "other") }, 200);
    BOOST_TEST(book.unavailable(now).size() == 1U);
    BOOST_TEST(sent.size() == 2U);
    update({ order(5) }, 4600);
    BOOST_TEST(sent.size() == 2U);
    update({ order(5) }, 400);
    BOOST_TEST(book.unavailable(now).empty());
    BOOST_TEST(sent.size() == 3U);
}

// Guards against waiting for an interface that is slow while callers need servers, and against
// answers to calls that were given up.
BOOST_AUTO_TEST_CASE(unansweredOrder_isReportedAndGivenUp)
{
    update({ order(5) }, 0);
    update({ order(5) }, 2200);
    BOOST_TEST(book.unanswered(now).size() == 1U);
    const auto late = handlers.back();
    update({ order(5) }, 3000);
    BOOST_TEST(book.unanswered(now).empty());
    update({ order(5) }, 600);
    BOOST_TEST(sent.size() == 2U);
    late(CallStatus::NoneAvailable);
    update({ order(5) }, 200);
    BOOST_TEST(book.unavailable(now).empty());
}

// Guards against too many calls in one second, and against needed servers that wait behind others.
BOOST_AUTO_TEST_CASE(manyOrders_areLimitedAndShortagesComeFirst)
{
    std::vector<PlannedOrder> orders;
    orders.reserve(13);
    for (int i = 0; i < 12; ++i)
        orders.push_back(order(3, ("a" + std::to_string(i)).c_str(), OrderReason::Surplus));
    orders.push_back(order(9, "needed"));
    update(orders, 0);
    BOOST_TEST(sent.size() == 10U);
    BOOST_TEST(sent.front().failureDomain == "needed");
    update(orders, 800);
    BOOST_TEST(sent.size() == 10U);
    update(orders, 200);
    BOOST_TEST(sent.size() == 13U);
}

// Guards against an order that operators are shown as accepted although the platform refused it, or
// with the reason of another one.
BOOST_AUTO_TEST_CASE(lastOrders_eachAnswer_showsWhatBecameOfTheOrder)
{
    const ServerGroup group{ .service = "e", .failureDomain = "d", .spot = true };
    BOOST_TEST(book.lastOrders(now).empty());
    update({ order(5) }, 0);
    update({ order(5) }, 200);
    LastOrder last = book.lastOrders(now).at(group);
    BOOST_TEST(last.desired == 5U);
    BOOST_TEST(last.age.count() == 200);
    BOOST_CHECK(last.reason == OrderReason::Shortage);
    BOOST_CHECK(last.result == OrderResult::Unanswered);
    answer(CallStatus::NoneAvailable);
    update({}, 200);
    BOOST_CHECK(book.lastOrders(now).at(group).result == OrderResult::NoneAvailable);
    update({ order(3, "d", OrderReason::Surplus) }, 6000);
    answer(CallStatus::Accepted);
    update({}, 300);
    last = book.lastOrders(now).at(group);
    BOOST_TEST(last.desired == 3U);
    BOOST_TEST(last.age.count() == 300);
    BOOST_CHECK(last.reason == OrderReason::Surplus);
    BOOST_CHECK(last.result == OrderResult::Accepted);
    book.reset();
    BOOST_TEST(book.lastOrders(now).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::scaling
