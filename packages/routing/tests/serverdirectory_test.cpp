#include "auburn/routing/serverdirectory.h"

#include <boost/test/unit_test.hpp>

namespace auburn::routing {

namespace {

struct ServerDirectoryFixture
{
    using TimePoint = ServerDirectory::TimePoint;

    static BackendServer server(const std::string &id, std::int64_t sequence = 1)
    {
        return { .id = id,
                 .service = "engines",
                 .address = "10.0.0.1:80",
                 .failureDomain = "a",
                 .startedAtUnixMs = 1000,
                 .sequence = sequence };
    }

    std::size_t ready() const { return directory.readyServers("engines").size(); }

    ServerDirectory directory;
    TimePoint now = TimePoint() + std::chrono::hours(1);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(serverDirectory, ServerDirectoryFixture)

BOOST_AUTO_TEST_CASE(update_onlySequenceChanged_isRefreshed)
{
    BOOST_TEST((directory.update(server("s", 1), 1) == DirectoryChange::Added));
    BOOST_TEST((directory.update(server("s", 2), 2) == DirectoryChange::Refreshed));
}

// Guards against a delayed read that makes a draining server ready again.
BOOST_AUTO_TEST_CASE(update_olderRecordAfterDraining_isStale)
{
    directory.update(server("s", 1), 1);
    BackendServer draining = server("s", 2);
    draining.state = ServerState::Draining;
    BOOST_TEST((directory.update(draining, 5) == DirectoryChange::Changed));
    BOOST_TEST((directory.update(server("s", 1), 3) == DirectoryChange::Stale));
    BOOST_TEST(ready() == 0U);
}

// Guards against a copy of an entry that is read late and postpones the time at which a server
// leaves, and against a change that is announced with every countdown.
BOOST_AUTO_TEST_CASE(update_leavingServer_keepsTheEarliestTime)
{
    directory.update(server("s", 1), 1);
    BackendServer leaving = server("s", 2);
    leaving.leavesAt = now + std::chrono::milliseconds(2500);
    BOOST_TEST((directory.update(leaving, 2) == DirectoryChange::Changed));
    leaving.sequence = 3;
    leaving.leavesAt = now + std::chrono::milliseconds(4000);
    BOOST_TEST((directory.update(leaving, 3) == DirectoryChange::Refreshed));
    BOOST_TEST((directory.find("s")->leavesAt == now + std::chrono::milliseconds(2500)));
}

BOOST_AUTO_TEST_CASE(update_sameIdStartedLater_isAdded)
{
    directory.update(server("s", 9), 1);
    BackendServer restarted = server("s", 0);
    restarted.startedAtUnixMs = 2000;
    BOOST_TEST((directory.update(restarted, 2) == DirectoryChange::Added));
}

// Guards against requests to a server that leaves without announcing it.
BOOST_AUTO_TEST_CASE(remove_registryAvailable_actsAtOnce)
{
    directory.update(server("s"), 1);
    BOOST_TEST((directory.remove("s", 2, now) == DirectoryChange::Removed));
    BOOST_TEST(ready() == 0U);
    BOOST_TEST((directory.update(server("s"), 1) == DirectoryChange::Stale));
}

// Guards against rejecting all requests because all entries expired during an outage of the
// registry.
BOOST_AUTO_TEST_CASE(remove_inRelistPeriod_isDeferred)
{
    directory.update(server("s"), 1);
    directory.update(server("t"), 2);
    directory.setRegistryUnavailable();
    directory.setRegistryAvailable(now);
    BOOST_TEST((directory.remove("s", 3, now) == DirectoryChange::RemovalPending));
    BOOST_TEST((directory.remove("t", 4, now) == DirectoryChange::RemovalPending));
    BOOST_TEST(ready() == 2U);
    directory.update(server("s", 2), 5);
    const auto expired = directory.removeExpired(now + kRelistPeriod);
    BOOST_TEST(expired == std::vector<std::string>{ "t" }, boost::test_tools::per_element());
    BOOST_TEST(ready() == 1U);
}

BOOST_AUTO_TEST_CASE(removeExpired_registryUnavailable_keepsTheServer)
{
    directory.update(server("s"), 1);
    directory.setRegistryUnavailable();
    directory.remove("s", 2, now);
    BOOST_TEST(directory.removeExpired(now + std::chrono::minutes(1)).empty());
    BOOST_TEST(ready() == 1U);
}

// A daemon that is refused by the registry learns of a leaving server from another daemon.
BOOST_AUTO_TEST_CASE(removeImmediately_registryUnavailable_removesTheServer)
{
    directory.update(server("s"), 1);
    directory.setRegistryUnavailable();
    BOOST_TEST((directory.removeImmediately("s", 2) == DirectoryChange::Removed));
    BOOST_TEST(ready() == 0U);
}

// Guards against a draining server that is used because the copy lists its earlier entry and
// the newer one is known at a position of the earlier era only.
BOOST_AUTO_TEST_CASE(update_newerSequenceAtPositionOfEarlierEra_isChanged)
{
    directory.update(server("s", 9), logPosition(2, 40));
    BackendServer draining = server("s", 10);
    draining.state = ServerState::Draining;
    BOOST_TEST((directory.update(draining, logPosition(1, 90)) == DirectoryChange::Changed));
    BOOST_TEST(ready() == 0U);
}

// Guards against a restarted server that is not added because a daemon has recorded its
// removal at a position of a later era.
BOOST_AUTO_TEST_CASE(update_restartedServerAtPositionOfEarlierEra_isAdded)
{
    directory.update(server("s", 9), logPosition(1, 40));
    directory.remove("s", logPosition(2, 5), now);
    directory.removeImmediately("s", logPosition(2, 6));
    BackendServer restarted = server("s", 0);
    restarted.startedAtUnixMs = 2000;
    BOOST_TEST((directory.update(restarted, logPosition(1, 90)) == DirectoryChange::Added));
}

// Guards against a draining server that is used again: it has written two entries with one sequence
// number, and the copy lists the first of them.
BOOST_AUTO_TEST_CASE(update_equalSequenceInLaterEra_drainingServerStaysDraining)
{
    BackendServer draining = server("s", 7);
    draining.state = ServerState::Draining;
    directory.update(draining, logPosition(1, 90));
    BOOST_TEST((directory.update(server("s", 7), logPosition(2, 10)) == DirectoryChange::Stale));
    BOOST_TEST(ready() == 0U);
    draining.sequence = 8;
    BOOST_TEST((directory.update(draining, logPosition(2, 20)) == DirectoryChange::Refreshed));
    BOOST_TEST(ready() == 0U);
}

// Guards against the same, if this daemon has read the copy and learns of the later entry by a
// peer.
BOOST_AUTO_TEST_CASE(update_equalSequenceAtPositionOfEarlierEra_drainingCounts)
{
    directory.update(server("s", 7), logPosition(2, 10));
    BackendServer draining = server("s", 7);
    draining.state = ServerState::Draining;
    BOOST_TEST((directory.update(draining, logPosition(1, 90)) == DirectoryChange::Changed));
    BOOST_TEST(ready() == 0U);
    BOOST_TEST((directory.update(server("s", 7), logPosition(1, 80)) == DirectoryChange::Stale));
}

// Guards against an entry with equal start and sequence that is ignored, although the log of one
// era tells which of two was written later.
BOOST_AUTO_TEST_CASE(update_equalSequenceAndOtherContent_laterPositionOfTheEraCounts)
{
    directory.update(server("s", 7), logPosition(1, 90));
    BackendServer other = server("s", 7);
    other.address = "10.0.0.2:80";
    BOOST_TEST((directory.update(other, logPosition(2, 10)) == DirectoryChange::Changed));
    other.slots = 5;
    BOOST_TEST((directory.update(other, logPosition(2, 11)) == DirectoryChange::Changed));
    BOOST_TEST((directory.update(server("s", 7), logPosition(1, 95)) == DirectoryChange::Stale));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::routing
