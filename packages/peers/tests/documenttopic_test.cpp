#include "auburn/peers/documenttopic.h"

#include <boost/test/unit_test.hpp>

namespace auburn::peers {

BOOST_AUTO_TEST_SUITE(documentTopic)

BOOST_AUTO_TEST_CASE(put_olderDocument_isNotTaken)
{
    DocumentTopic topic;
    BOOST_TEST(topic.put("k", "new", 5));
    BOOST_TEST(!topic.put("k", "old", 4));
    BOOST_TEST(topic.documents().find("k")->second.value == "new");
}

BOOST_AUTO_TEST_CASE(advance_neverGoesBack)
{
    DocumentTopic topic;
    topic.advance(9);
    topic.advance(3);
    BOOST_TEST(topic.nextOffset() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::peers
