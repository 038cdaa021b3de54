#include "auburn/config/configfollower.h"

#include "auburn/config/configfold.h"
#include "changes.h"
#include "testplatform.h"

#include <boost/test/unit_test.hpp>

namespace auburn {

using namespace tests;

namespace {

class FollowerFixture : public PlatformFixture
{
public:
    FollowerFixture()
        : relay(makeDaemon("relay"))
    {
        relay->follower->setFollowing(true);
        relay->follower->start();
        waitUntil([this]() { return relay->hasConfig(); });
    }

    void addOrganisations(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i) {
            const auto result = relay->submit(change("", 0, organisation("o" + std::to_string(i))));
            BOOST_REQUIRE(std::holds_alternative<ChangeAccepted>(result));
        }
    }

    void appendSnapshot(const ConfigFold &fold)
    {
        proto::ConfigRecord record;
        *record.mutable_snapshot() = fold.chunks("frozen", 100000).front();
        appendAndWait(*relay->log, "config", record.SerializeAsString());
    }

    std::unique_ptr<TestDaemon> relay;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(follower, FollowerFixture)

// Guards against a daemon that cannot start while the log is away although a peer has the state.
BOOST_AUTO_TEST_CASE(start_logAway_takesStateFromPeer)
{
    addOrganisations(20);
    logProcess.control({ { QStringLiteral("outage"), true } });
    const auto booting = makeDaemon("booting");
    booting->follower->start();
    booting->follower->onPeerRevision("relay", relay->store.revision());
    waitUntil([&]() { return booting->store.revision() == relay->store.revision(); });
    BOOST_TEST(booting->store.current()->items().size() == 20U);
}

// Guards against a boot that waits for ever for peers that are silent or have nothing.
BOOST_AUTO_TEST_CASE(start_peersWithoutState_takesStateFromLog)
{
    addOrganisations(3);
    const auto empty = makeDaemon("empty");
    const auto silent = makeDaemon("silent");
    network.cutOff("silent");
    const auto booting = makeDaemon("booting");
    booting->follower->start();
    booting->follower->onPeerRevision("empty", 0);
    booting->follower->onPeerRevision("silent", 99);
    booting->follower->onPeerRevision("unknown", 100);
    waitUntil([&]() { return booting->hasConfig(); });
    BOOST_TEST(booting->store.revision() == 3U);
}

// Guards against a daemon that stays behind its peers when a chunk of an answer is lost.
BOOST_AUTO_TEST_CASE(onPeerRevision_chunkLost_pullsAgain)
{
    const auto other = makeDaemon("other");
    other->follower->start();
    waitUntil([&]() { return other->hasConfig(); });
    addOrganisations(30);
    network.loseNext(2);
    // Gossip repeats the revision.
    waitUntil([&]() {
        other->follower->onPeerRevision("relay", relay->store.revision());
        return other->store.revision() == relay->store.revision();
    });
    BOOST_TEST(other->follower->history().size() == 30U);
}

// Guards against pulls that transfer the whole state for one change.
BOOST_AUTO_TEST_CASE(onPeerRevision_oneChange_pullsOnlyTheChange)
{
    addOrganisations(40);
    const auto other = makeDaemon("other");
    other->follower->start();
    other->follower->onPeerRevision("relay", relay->store.revision());
    waitUntil([&]() { return other->store.revision() == relay->store.revision(); });
    const std::size_t wholeBytes = network.bytesSent();
    relay->submit(change("", 0, organisation("late")));
    other->follower->onPeerRevision("relay", relay->store.revision());
    waitUntil([&]() { return other->store.revision() == relay->store.revision(); });
    BOOST_TEST((network.bytesSent() - wholeBytes) * 10 < wholeBytes);
}

// Guards against stale state at boot: a writer was frozen, its snapshot comes after the log has
// removed changes that it does not hold.
BOOST_AUTO_TEST_CASE(start_staleSnapshotAfterRetention_neverUsed)
{
    ConfigFold frozen;
    frozen.fold(1, change("old", 0, organisation("old")));
    addOrganisations(10);
    logProcess.control({ { QStringLiteral("retention_records"), 5 } });
    appendSnapshot(frozen);
    const auto booting = makeDaemon("booting");
    booting->follower->start();
    runFor(std::chrono::milliseconds(400));
    BOOST_TEST(!booting->hasConfig());
    booting->follower->onPeerRevision("relay", relay->store.revision());
    waitUntil([&]() { return booting->hasConfig(); });
    BOOST_TEST(!booting->store.current()->organisation("old"));
    BOOST_TEST(booting->store.current()->items().size() == 10U);
}

// Guards against a reader that has fallen behind the retention and folds on with a hole.
BOOST_AUTO_TEST_CASE(follow_fallenBehindRetention_startsAgainFromSnapshot)
{
    const auto late = makeDaemon("late");
    late->follower->start();
    waitUntil([&]() { return late->hasConfig(); });
    addOrganisations(10);
    logProcess.control({ { QStringLiteral("retention_records"), 5 } });
    const auto writer = SnapshotWriter::make({ .checkInterval = std::chrono::milliseconds(20),
                                               .maxDelay = std::chrono::milliseconds(1) },
                                             *relay->log, *relay->follower);
    writer->setActive(true);
    waitUntil([&]() { return writer->written() > 0; });
    late->follower->setFollowing(true);
    waitUntil([&]() { return late->store.revision() >= 11; });
    BOOST_TEST(late->store.current()->items().size() == 10U);
}

// Guards against a relay that misses changes while its long poll is on a silent connection. The
// poll of an hour leaves the peer as the only way.
BOOST_AUTO_TEST_CASE(follow_connectionSilent_pullsFromPeer)
{
    addOrganisations(1);
    const auto other = makeDaemon("other", std::chrono::hours(1));
    other->follower->setFollowing(true);
    other->follower->start();
    waitUntil([&]() { return other->store.revision() == relay->store.revision(); });
    logProcess.control({ { QStringLiteral("silence_connections"), true } });
    waitUntil([&]() {
        return std::holds_alternative<ChangeAccepted>(
                relay->submit(change("", 0, organisation("late"))));
    });
    waitUntil([&]() {
        other->follower->onPeerRevision("relay", relay->store.revision());
        return other->store.current()->organisation("late") != nullptr;
    });
}

// Guards against a reader that does not resume after the log refused connections.
BOOST_AUTO_TEST_CASE(follow_logAwayForAWhile_catchesUp)
{
    addOrganisations(2);
    const auto other = makeDaemon("other");
    other->follower->setFollowing(true);
    other->follower->start();
    waitUntil([&]() { return other->hasConfig(); });
    logProcess.control({ { QStringLiteral("refuse_ms"), 500 } });
    waitUntil([&]() {
        const auto result = relay->submit(change("", 0, organisation("late")));
        return !std::holds_alternative<ChangeUnavailable>(result);
    });
    waitUntil([&]() { return other->store.current()->organisation("late") != nullptr; });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
