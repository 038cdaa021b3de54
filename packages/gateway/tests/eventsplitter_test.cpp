#include "eventsplitter.h"

#include <boost/test/unit_test.hpp>

namespace auburn::gateway {

BOOST_AUTO_TEST_SUITE(eventSplitter)

BOOST_AUTO_TEST_CASE(feed_eventInPieces_isReturnedWhole)
{
    EventSplitter splitter;
    splitter.feed("id: 1\nda");
    BOOST_TEST(!splitter.next());
    splitter.feed("ta: a\n");
    BOOST_TEST(!splitter.next());
    splitter.feed("\nid: 2");
    BOOST_TEST(*splitter.next() == "id: 1\ndata: a\n\n");
    BOOST_TEST(!splitter.next());
    BOOST_TEST(splitter.remainder() == "id: 2");
}

BOOST_AUTO_TEST_CASE(feed_severalEvents_areReturnedInOrder)
{
    EventSplitter splitter;
    splitter.feed("id: 1\r\n\r\nid: 2\n\nid: 3\n\n");
    BOOST_TEST(*splitter.next() == "id: 1\r\n\r\n");
    BOOST_TEST(*splitter.next() == "id: 2\n\n");
    BOOST_TEST(*splitter.next() == "id: 3\n\n");
    BOOST_TEST(!splitter.next());
}

BOOST_AUTO_TEST_CASE(eventId_amongOtherFields_isFound)
{
    BOOST_TEST(eventId("weight-versions: 3\nid:  17\r\ndata: id: 4\n\n") == "17");
    BOOST_TEST(eventId("data: x\n\n").empty());
    BOOST_TEST(*numericEventId("17") == 17U);
    BOOST_TEST(!numericEventId("17x"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
