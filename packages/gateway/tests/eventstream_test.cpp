#include "eventstream.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

struct EventStreamFixture
{
    static std::string event(unsigned id) { return "id: " + std::to_string(id) + "\ndata: x\n\n"; }

    EventStream stream{ "" };
    EventStream::TimePoint now = EventStream::TimePoint() + std::chrono::hours(1);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(eventStream, EventStreamFixture)

// Guards against halves of events of two servers that are joined to one.
BOOST_AUTO_TEST_CASE(attempt_breaksInAnEvent_theHalfIsDropped)
{
    stream.feed(event(1) + "id: 2\nda");
    BOOST_TEST(std::string(stream.takeEvents(now)) == event(1));
    stream.attemptStarted();
    stream.feed(event(2) + event(3));
    BOOST_TEST(std::string(stream.takeEvents(now)) == event(2) + event(3));
    BOOST_TEST(stream.lastEventId() == "3");
    BOOST_TEST(stream.eventCount() == 3U);
}

// Guards against events that come twice after a stream has gone on elsewhere.
BOOST_AUTO_TEST_CASE(event_thatTheCallerHas_isLeftOut)
{
    EventStream resumed("2");
    resumed.feed(event(1) + event(2));
    BOOST_TEST(resumed.takeEvents(now).empty());
    BOOST_TEST(!resumed.firstEventAt());
    resumed.feed(event(2) + event(3));
    BOOST_TEST(std::string(resumed.takeEvents(now)) == event(3));
}

// Guards against a first pause that is counted from a time at which nothing was sent.
BOOST_AUTO_TEST_CASE(longestGap_isThatBetweenEvents)
{
    stream.feed(event(1));
    (void)stream.takeEvents(now);
    BOOST_TEST(stream.longestGap().count() == 0);
    stream.feed(event(2));
    (void)stream.takeEvents(now + milliseconds(70));
    (void)stream.takeEvents(now + milliseconds(300));
    stream.feed(event(3));
    (void)stream.takeEvents(now + milliseconds(90));
    BOOST_TEST(stream.longestGap().count() == 70);
    BOOST_TEST((stream.firstEventAt() == now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
