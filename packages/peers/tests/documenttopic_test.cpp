#include "auburn/peers/documenttopic.h"

#include <boost/test/unit_test.hpp>

namespace auburn::peers {

BOOST_AUTO_TEST_SUITE(documentTopic)

BOOST_AUTO_TEST_CASE(put_olderDocument_isRejected)
{
    DocumentTopic topic;
    BOOST_TEST(topic.put("k", "new", 5, 1));
    BOOST_TEST(!topic.put("k", "old", 4, 1));
    BOOST_TEST(topic.documents().find("k")->second.value == "new");
}

BOOST_AUTO_TEST_CASE(advance_lowerPosition_isIgnored)
{
    DocumentTopic topic;
    topic.advance(9);
    topic.advance(3);
    BOOST_TEST(topic.nextPosition() == 9U);
}

// Guards against a republished document that looks changed, so that every daemon reads it again.
BOOST_AUTO_TEST_CASE(put_sameFingerprint_keepsChangedPosition)
{
    DocumentTopic topic;
    topic.put("k", "first", 5, 1);
    const std::uint64_t digest = topic.digest();
    topic.put("k", "renewed", 6, 1);
    BOOST_TEST(topic.documents().find("k")->second.value == "renewed");
    BOOST_TEST(topic.documents().find("k")->second.changedPosition == 5U);
    BOOST_TEST(topic.digest() == digest);
    topic.put("k", "changed", 7, 2);
    BOOST_TEST(topic.documents().find("k")->second.changedPosition == 7U);
    BOOST_TEST(topic.digest() != digest);
}

// Guards against daemons that read from each other although they have the same documents, learned
// in another order.
BOOST_AUTO_TEST_CASE(digest_sameDocumentsOtherHistory_isEqual)
{
    DocumentTopic left;
    left.put("a", "1", 1, 11);
    left.put("b", "1", 2, 12);
    left.put("c", "1", 3, 13);
    left.erase("c", 4);
    DocumentTopic right;
    right.put("b", "2", 20, 12);
    right.put("a", "2", 21, 10);
    right.put("a", "2", 22, 11);
    BOOST_TEST(left.digest() == right.digest());
    right.erase("a", 23);
    BOOST_TEST(left.digest() != right.digest());
}

// A daemon that has just started does not know earlier removals.
BOOST_AUTO_TEST_CASE(history_beforeTheFirstRead_isUnknown)
{
    DocumentTopic topic;
    topic.put("a", "1", 90, 1);
    topic.advance(100);
    BOOST_TEST(!topic.hasHistorySince(99));
    BOOST_TEST(topic.hasHistorySince(100));
    BOOST_TEST(!topic.hasHistorySince(0));
}

BOOST_AUTO_TEST_CASE(history_moreRemovalsThanAreKept_isTruncated)
{
    DocumentTopic topic;
    topic.advance(1);
    for (LogPosition position = 1; position <= 5000; ++position) {
        topic.put("k", "1", 2 * position, 1);
        topic.erase("k", 2 * position + 1);
    }
    BOOST_TEST(!topic.hasHistorySince(10));
    BOOST_TEST(topic.hasHistorySince(9999));
    BOOST_TEST(topic.removals().size() < 5000U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::peers
