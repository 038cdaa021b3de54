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

// Guards against joining partial events of two servers into one.
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

// Guards against duplicate events after another server has resumed a stream.
BOOST_AUTO_TEST_CASE(event_alreadyReceivedByCaller_isSkipped)
{
    EventStream resumed("2");
    resumed.feed(event(1) + event(2));
    BOOST_TEST(resumed.takeEvents(now).empty());
    BOOST_TEST(!resumed.firstEventAt());
    resumed.feed(event(2) + event(3));
    BOOST_TEST(std::string(resumed.takeEvents(now)) == event(3));
}

// Guards against counting the time before the first event as a gap.
BOOST_AUTO_TEST_CASE(longestGap_severalEvents_isMeasuredBetweenEvents)
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
