// Tests what OriginRegistry concludes from what it does not find: a stream without a record after a
// restore of the store, and versions that it has not seen while it was out of contact.

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

// One version has served for long, so that daemons need no call.
struct OneVersionFixture : OriginRegistryFixture
{
    OneVersionFixture()
    {
        updateAfter(kStreamLifetime);
        connect({ first.get(), second.get() });
    }

    // The list of servers of the second daemon was confirmed for the last time; its contact to the
    // store and to the first daemon ends.
    void cutOffSecond()
    {
        second->viewConfirmedAt = clocks.now;
        second->isSilent = true;
        store.isAvailable = false;
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

// Guards against keeping a record of the restored log for good, which a daemon that stood still had
// replaced: the later record is lost until it runs again.
BOOST_AUTO_TEST_CASE(find_restoredLogHoldsAReplacedRecord_laterOneCountsOnceItIsWrittenAgain)
{
    begin(*first, "replaced", "v2");
    const std::vector<OriginRecord> copy = store.records;
    begin(*first, "replaced", "v1");
    store.records = copy;
    first->isSilent = true;
    restoreUnnoticedByFirst();
    find(*second, "replaced");
    wakeFirst();
    BOOST_TEST(find(*second, "replaced") == "v1");
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

BOOST_FIXTURE_TEST_SUITE(absenceOfVersions, OneVersionFixture)

// Guards against a daemon that is cut off from the store and from all others, and takes the only
// version that it knows for the only one, while a newer one has begun streams elsewhere.
BOOST_AUTO_TEST_CASE(find_daemonIsCutOff_isUnknownOnceAnotherVersionMayServe)
{
    cutOffSecond();
    clocks.advance(kVersionSettleTime - milliseconds(200));
    BOOST_TEST(find(*second, "x") == "v1");
    clocks.advance(milliseconds(300));
    BOOST_TEST(find(*second, "x") == "unknown");
    BOOST_TEST(find(*second, "") == "unknown");
}

// Guards against a daemon that has stood still for less than its history allows, and answers from
// the servers that it knew before: the records tell.
BOOST_AUTO_TEST_CASE(find_daemonHasStoodStill_readsTheRecords)
{
    second->viewConfirmedAt = clocks.now;
    clocks.advance(milliseconds(4000));
    add("i-2", "v2", clocks.unixNow - 4000);
    first->registry.update();
    begin(*first, "x", "v2");
    BOOST_TEST(find(*second, "x") == "v2");
    BOOST_TEST(find(*second, "y") == "v1");
}

// Guards against a baseline that a daemon moves by an old list of servers: its version may have
// returned since, and begun streams without records.
BOOST_AUTO_TEST_CASE(baseline_daemonHasStoodStill_isNotMovedByAnOldList)
{
    add("i-2", "v2");
    directory.removeImmediately("i-1", ++position);
    first.reset();
    second->viewConfirmedAt = clocks.now;
    for (int i = 0; i < 35; ++i) {
        clocks.advance(milliseconds(1000));
        second->registry.update();
    }
    BOOST_TEST(store.baselines.size() == 1U);
    second->viewConfirmedAt.reset();
    for (int i = 0; i < 3; ++i) {
        clocks.advance(milliseconds(1000));
        second->registry.update();
    }
    BOOST_TEST(store.baselines.size() == 2U);
}

// Guards against refusing every stream while the store is away from all daemons: they ask each
// other.
BOOST_AUTO_TEST_CASE(find_storeIsAwayFromAll_isTheOnlyVersionThatAllKnow)
{
    for (Daemon *daemon : { first.get(), second.get() })
        daemon->viewConfirmedAt = clocks.now;
    store.isAvailable = false;
    clocks.advance(milliseconds(4000));
    exchangeHeartbeats();
    BOOST_TEST(find(*second, "x") == "v1");
    BOOST_TEST(find(*second, "") == "v1");
}

// Guards against an answer without a daemon that is silent for so long that it may have begun
// streams of another version.
BOOST_AUTO_TEST_CASE(find_storeIsAwayAndADaemonIsSilent_isUnknown)
{
    const auto third = startDaemon();
    connect({ first.get(), second.get(), third.get() });
    second->viewConfirmedAt = clocks.now;
    store.isAvailable = false;
    third->isSilent = true;
    clocks.advance(milliseconds(2000));
    exchangeHeartbeats();
    BOOST_TEST(find(*second, "x") == "v1");
    clocks.advance(milliseconds(1000));
    exchangeHeartbeats();
    BOOST_TEST(find(*second, "x") == "unknown");
}

// Guards against an answer at the end of a cut: the first daemon that replies was cut off as well,
// and those that know another version have only just been heard again.
BOOST_AUTO_TEST_CASE(find_cutEndsAndOthersKnowMore_isNotTheVersionOfTheCutOffDaemons)
{
    routing::ServerDirectory aheadDirectory = directory;
    Daemon ahead(io, store, clocks, aheadDirectory, config);
    ahead.registry.update();
    connect({ first.get(), second.get(), &ahead });
    second->viewConfirmedAt = clocks.now;
    store.isAvailable = false;
    ahead.isSilent = true;
    clocks.advance(milliseconds(4000));
    aheadDirectory.update({ .id = "i-2", .service = "s", .softwareVersion = "v2" }, position + 1);
    ahead.registry.update();
    ahead.isSilent = false;
    exchangeHeartbeats();
    ahead.isSilent = true;
    BOOST_TEST(find(*second, "x") == "unknown");
    ahead.isSilent = false;
    BOOST_TEST(find(*second, "x") == "unknown");
}

// Guards against refusing a stream that a daemon in reach has begun, while two versions serve and
// the store is away.
BOOST_AUTO_TEST_CASE(find_storeIsAwayAndItsDaemonIsInReach_isTheVersionThatItKnows)
{
    add("i-2", "v2");
    updateAfter(milliseconds(3000));
    begin(*first, "x", "v2");
    store.isAvailable = false;
    BOOST_TEST(find(*second, "x") == "v2");
    BOOST_TEST(find(*second, "y") == "unknown");
}

// Guards against questions to other daemons on days on which the store tells everything.
BOOST_AUTO_TEST_CASE(find_storeResponds_noDaemonIsAsked)
{
    BOOST_TEST(find(*second, "x") == "v1");
    add("i-2", "v2");
    updateAfter(milliseconds(3000));
    BOOST_TEST(find(*second, "y") == "v1");
    BOOST_TEST(second->peers.questions == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::streams
