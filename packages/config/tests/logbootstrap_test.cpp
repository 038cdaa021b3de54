#include "changes.h"
#include "logbootstrap.h"

#include <boost/test/unit_test.hpp>

namespace auburn {

using namespace tests;

namespace {

LogRecord record(std::uint64_t offset, const proto::ConfigChange &change)
{
    proto::ConfigRecord message;
    *message.mutable_change() = change;
    return LogRecord{ .offset = offset, .data = message.SerializeAsString() };
}

LogRecord snapshot(std::uint64_t offset, const ConfigFold &fold)
{
    proto::ConfigRecord message;
    *message.mutable_snapshot() = fold.chunks("s" + std::to_string(offset), 100000).front();
    return LogRecord{ .offset = offset, .data = message.SerializeAsString() };
}

} // namespace

BOOST_AUTO_TEST_SUITE(logbootstrap)

// Guards against stale state from a writer that was frozen: its snapshot comes late, and a change
// after its state is no longer on the log.
BOOST_AUTO_TEST_CASE(add_snapshotOlderThanRetention_notUsed)
{
    ConfigFold frozen;
    frozen.fold(1, change("a", 0, organisation("a", 1)));
    LogBootstrap bootstrap;
    const LogBatch batch{ .earliest = 3,
                          .next = 5,
                          .records = { record(3, change("b", 0, organisation("b"))),
                                       snapshot(4, frozen) } };
    BOOST_CHECK(bootstrap.add(batch) == LogBootstrap::Step::NoBase);
}

// Guards against the refusal of a snapshot whose next record is exactly the earliest one.
BOOST_AUTO_TEST_CASE(add_snapshotAtRetentionLimit_usedWithLaterChanges)
{
    ConfigFold writer;
    writer.fold(2, change("a", 0, organisation("a", 1)));
    LogBootstrap bootstrap;
    const LogBatch batch{ .earliest = 3,
                          .next = 5,
                          .records = { record(3, change("c", 2, organisation("a", 9))),
                                       snapshot(4, writer) } };
    BOOST_REQUIRE(bootstrap.add(batch) == LogBootstrap::Step::Done);
    const ConfigFold fold = bootstrap.take();
    BOOST_TEST(fold.revision() == 4U);
    BOOST_TEST(fold.state()->organisation("a")->maxConcurrent == 9U);
}

// Guards against a state with a hole: records were removed between two reads.
BOOST_AUTO_TEST_CASE(add_recordsRemovedBetweenReads_reportsGap)
{
    LogBootstrap bootstrap;
    BOOST_CHECK(bootstrap.add({ .earliest = 1,
                                .next = 9,
                                .records = { record(1, change("a", 0, organisation("a"))) } })
                == LogBootstrap::Step::More);
    BOOST_TEST(bootstrap.next() == 2U);
    BOOST_CHECK(bootstrap.add({ .earliest = 5, .next = 9, .records = {} })
                == LogBootstrap::Step::Gap);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
