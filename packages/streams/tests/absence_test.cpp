// Tests what OriginRegistry concludes from what it does not find: a stream without a record after a
// restore of the store.

#include "originregistryfixture.h"

namespace auburn::streams {

namespace {

// Two versions serve, the daemons hear each other, and the store has been restored without the
// record of the stream "lost", which the first daemon began at the second version.
struct RestoredFixture : OriginRegistryFixture
{
    RestoredFixture()
    {
        add("i-2", "v2");
        updateAfter(milliseconds(3000));
        connect({ first.get(), second.get() });
        begin(*first, "lost", "v2");
        begin(*first, "old", "v1");
        store.records.clear();
    }

    // The second daemon notices the restore, and time goes on for longer than a daemon that runs
    // needs to write its records again.
    void restoreUnnoticedByFirst()
    {
        second->registry.observeEra(2);
        second->registry.update();
        clocks.advance(milliseconds(3000));
    }

    // The first daemon notices the restore as well, and writes its records again.
    void wakeFirst()
    {
        first->isSilent = false;
        first->registry.observeEra(2);
        first->registry.update();
        BOOST_TEST(runUntil(io, [this] { return !store.records.empty(); }));
        runFor(io, milliseconds(10));
        first->registry.update();
        exchangeHeartbeats();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(absenceOfRecords, RestoredFixture)

// Guards against taking a stream for one of the baseline although the daemon that recorded it
// stands still and cannot write the lost record again.
BOOST_AUTO_TEST_CASE(find_daemonStandsStillAfterTheRestore_isUnknownUntilItRunsAgain)
{
    first->isSilent = true;
    restoreUnnoticedByFirst();
    BOOST_TEST(find(*second, "lost") == "unknown");
    wakeFirst();
    BOOST_TEST(find(*second, "lost") == "v2");
    BOOST_TEST(find(*second, "old") == "v1");
}

// Guards against refusing the streams of all daemons after a restore: those that run can tell.
BOOST_AUTO_TEST_CASE(find_oneDaemonStandsStill_streamOfAnotherGoesOn)
{
    const auto third = startDaemon();
    third->registry.observeEra(1);
    connect({ first.get(), second.get(), third.get() });
    send(*third, "known", "v1");
    first->isSilent = true;
    third->registry.observeEra(2);
    restoreUnnoticedByFirst();
    BOOST_TEST(find(*second, "known") == "v1");
    BOOST_TEST(find(*second, "lost") == "unknown");
}

// Guards against refusing the streams of a daemon that was killed after it had written its records
// again: its missing records prove the baseline.
BOOST_AUTO_TEST_CASE(find_daemonIsKilledAfterItWroteItsRecords_missingRecordIsTheBaseline)
{
    second->registry.observeEra(2);
    second->registry.update();
    wakeFirst();
    first->isSilent = true;
    clocks.advance(milliseconds(5000));
    BOOST_TEST(find(*second, "lost") == "v2");
    BOOST_TEST(find(*second, "old") == "v1");
}

// Guards against waiting for a fixed time although all daemons have written their records again.
BOOST_AUTO_TEST_CASE(find_allDaemonsHaveWrittenTheirRecords_isKnownAtOnce)
{
    second->registry.observeEra(2);
    second->registry.update();
    wakeFirst();
    BOOST_TEST(find(*second, "old") == "v1");
}

// Guards against a lookup that began before the restore was noticed.
BOOST_AUTO_TEST_CASE(find_restoreIsNoticedDuringTheLookup_provesNothing)
{
    first->isSilent = true;
    store.holdsListings = true;
    std::string found;
    second->registry.find("lost", "s", milliseconds(100),
                          [&found](const std::optional<std::string> &version) {
                              found = version.value_or("unknown");
                          });
    second->registry.observeEra(2);
    store.holdsListings = false;
    for (const auto &listing : std::exchange(store.heldListings, {}))
        listing();
    BOOST_TEST(found != "v1");
    clocks.advance(milliseconds(100));
    BOOST_TEST(runUntil(io, [&found] { return !found.empty(); }));
    BOOST_TEST(found == "unknown");
}

// Guards against a daemon that has started after the restore and does not know that another one
// was killed before it could write its records again.
BOOST_AUTO_TEST_CASE(find_daemonStartedAfterAKill_isUnknown)
{
    first->isSilent = true;
    restoreUnnoticedByFirst();
    const auto started = startDaemon();
    connect({ first.get(), second.get(), started.get() });
    started->registry.observeEra(2);
    started->registry.observeRestore(milliseconds(3000));
    BOOST_TEST(find(*started, "lost") == "unknown");
}

// Guards against refusing streams for longer than any stream lives.
BOOST_AUTO_TEST_CASE(find_restoreWasLongAgo_missingRecordIsTheBaseline)
{
    first->isSilent = true;
    restoreUnnoticedByFirst();
    clocks.advance(kStreamLifetime);
    BOOST_TEST(find(*second, "old") == "v1");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::streams
