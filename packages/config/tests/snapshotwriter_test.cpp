#include "auburn/config/snapshotwriter.h"

#include "changes.h"
#include "testplatform.h"

#include <boost/test/unit_test.hpp>

namespace auburn {

using namespace tests;
using namespace std::chrono_literals;

namespace {

SnapshotWriterOptions quickOptions()
{
    return { .retention = 1h,
             .chunkBytes = 300,
             .checkInterval = 20ms,
             .maxDelay = 50ms,
             .chunkPause = 1ms,
             .minInterval = 100ms };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(snapshotwriter, PlatformFixture)

// Guards against a configuration that the log forgets: after the records are removed, a daemon must
// still find the state on the log, also when appends of chunks lose their answers.
BOOST_AUTO_TEST_CASE(writer_recordsRemoved_bootFromSnapshotWorks)
{
    const auto relay = makeDaemon("relay");
    relay->follower->setFollowing(true);
    relay->follower->start();
    waitUntil([&]() { return relay->hasConfig(); });
    for (int i = 0; i < 20; ++i)
        relay->submit(change("", 0, organisation("o" + std::to_string(i))));
    logProcess.control({ { QStringLiteral("drop_answers"), 4 } });
    const auto writer = SnapshotWriter::make(quickOptions(), *relay->log, *relay->follower);
    writer->setActive(true);
    waitUntil([&]() { return writer->written() == 1; });
    writer->setActive(false);
    const qint64 appends = logProcess.streamStat(QStringLiteral("config"),
                                                 QStringLiteral("appends"));
    // Keeps nothing but the chunks, which follow the 21 records of the changes.
    logProcess.control({ { QStringLiteral("retention_records"), appends - 21 } });
    const auto booting = makeDaemon("booting");
    booting->follower->start();
    waitUntil([&]() { return booting->hasConfig(); });
    BOOST_TEST(booting->store.current()->items().size() == 20U);
    BOOST_TEST(booting->store.revision() == static_cast<std::uint64_t>(appends - 1));
}

// Guards against relays that each append a snapshot, and against one that repeats a fresh one.
BOOST_AUTO_TEST_CASE(writer_freshSnapshotOfAnotherRelay_writesNone)
{
    const auto first = makeDaemon("first");
    const auto second = makeDaemon("second");
    for (const auto &daemon : { std::cref(first), std::cref(second) }) {
        daemon.get()->follower->setFollowing(true);
        daemon.get()->follower->start();
        waitUntil([&]() { return daemon.get()->hasConfig(); });
    }
    first->submit(change("", 0, organisation("o")));
    waitUntil([&]() { return second->store.revision() == first->store.revision(); });
    const auto firstWriter = SnapshotWriter::make(quickOptions(), *first->log, *first->follower);
    firstWriter->setActive(true);
    waitUntil([&]() { return firstWriter->written() == 1; });
    waitUntil([&]() { return second->follower->snapshotStatus().uptoOffset > 0; });
    const auto secondWriter = SnapshotWriter::make(quickOptions(), *second->log, *second->follower);
    secondWriter->setActive(true);
    runFor(400ms);
    BOOST_TEST(firstWriter->written() == 1U);
    BOOST_TEST(secondWriter->written() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
