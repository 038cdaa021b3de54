// Simulates the daemons of one failure domain, which repeatedly decide on their roles, without a
// network.

#include "auburn/peers/storereaders.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace auburn::peers {

using std::chrono::milliseconds;

namespace {

struct StoreReadersFixture
{
    struct Daemon
    {
        PeerInfo self;
        bool reachesStore = true;
        bool reachesPeers = true;
    };

    StoreReadersFixture()
    {
        for (int i = 0; i < 13; ++i)
            domain.push_back({ .self = { .vm = "vm" + std::to_string(i),
                                         .failureDomain = "d",
                                         .cpuMillis = i < 4 ? 500U : 120U,
                                         .serving = true,
                                         .readsStore = true } });
    }

    // Every daemon hears the others and updates its role; those that read the store and are
    // answered announce it.
    void updateRoles(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            for (Daemon &daemon : domain) {
                std::vector<PeerInfo> peers;
                std::vector<PeerInfo> readers;
                for (const Daemon &other : domain) {
                    const bool heard = &other != &daemon && daemon.reachesPeers
                                       && other.reachesPeers;
                    if (heard)
                        peers.push_back(other.self);
                    if (heard && other.self.readsStore)
                        readers.push_back(other.self);
                }
                daemon.self.readsStore = storeReaderRole(daemon.self, peers, readers).reads
                                         && daemon.reachesStore;
            }
        }
    }

    // Returns the daemon's role when it hears all other daemons and none of them reads the store.
    StoreReaderRole roleWithoutReaders(const Daemon &daemon) const
    {
        std::vector<PeerInfo> peers;
        for (const Daemon &other : domain) {
            if (&other != &daemon)
                peers.push_back(other.self);
        }
        return storeReaderRole(daemon.self, peers, {});
    }

    // Returns the number of daemons that read at this time after a simultaneous start, before any
    // reader was heard from.
    long startingReaders(StartupState start) const
    {
        start.largeFleet = true;
        return std::count_if(domain.begin(), domain.end(), [&](const Daemon &daemon) {
            return mayStartReading(start, roleWithoutReaders(daemon));
        });
    }

    long readers() const
    {
        return std::count_if(domain.begin(), domain.end(),
                             [](const Daemon &daemon) { return daemon.self.readsStore; });
    }

    std::vector<Daemon> domain;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(storeReaders, StoreReadersFixture)

BOOST_AUTO_TEST_CASE(storeReachable_twoLargestDaemonsRead)
{
    updateRoles(3);
    BOOST_TEST(readers() == 2);
    for (const Daemon &daemon : domain)
        BOOST_TEST((!daemon.self.readsStore || daemon.self.cpuMillis == 500U));
}

// Guards against a failure domain that learns nothing because just its two readers are cut off from
// the store.
BOOST_AUTO_TEST_CASE(readersAreCutOffFromTheStore_nextOnesRead)
{
    updateRoles(3);
    for (Daemon &daemon : domain)
        daemon.reachesStore = !daemon.self.readsStore;
    updateRoles(3);
    BOOST_TEST(readers() == 2);
    for (Daemon &daemon : domain)
        daemon.reachesStore = true;
    updateRoles(3);
    BOOST_TEST(readers() == 2);
}

// Guards against a daemon that misses all changes because it is cut off from the other daemons but
// not from the store.
BOOST_AUTO_TEST_CASE(daemonIsCutOffFromItsPeers_reads)
{
    updateRoles(3);
    const auto last = std::find_if(domain.begin(), domain.end(),
                                   [](const Daemon &daemon) { return !daemon.self.readsStore; });
    last->reachesPeers = false;
    updateRoles(3);
    BOOST_TEST(last->self.readsStore);
}

BOOST_AUTO_TEST_CASE(storeUnavailable_allDaemonsRetry_firstTwoAreNoBackups)
{
    for (Daemon &daemon : domain)
        daemon.reachesStore = false;
    updateRoles(3);
    BOOST_TEST(readers() == 0);
    unsigned backups = 0;
    for (const Daemon &daemon : domain) {
        const StoreReaderRole role = roleWithoutReaders(daemon);
        BOOST_TEST(role.reads);
        backups += role.isBackup ? 1U : 0U;
    }
    BOOST_TEST(backups == 11U);
}

// Guards against an outage in which the number of calls grows with the number of daemons. A failure
// domain of a fleet of 790 daemons must call an unavailable store at most as often as 30 daemons
// that retry every 1.2 s.
BOOST_AUTO_TEST_CASE(storeUnavailable_largeDomain_callRateIsBounded)
{
    for (int i = 13; i < 79; ++i)
        domain.push_back({ .self = { .vm = "vm" + std::to_string(i),
                                     .failureDomain = "d",
                                     .cpuMillis = 120U,
                                     .serving = true } });
    double callsPerSecond = 0;
    for (const Daemon &daemon : domain) {
        const StoreReaderRole role = roleWithoutReaders(daemon);
        BOOST_TEST((role.retryDelay <= std::chrono::seconds(5)));
        callsPerSecond += 1000.0 / static_cast<double>(role.retryDelay.count());
    }
    BOOST_TEST(callsPerSecond < 30 / 1.2);
}

// Guards against a start in which every daemon reads from the store what two daemons of its failure
// domain will pass on.
BOOST_AUTO_TEST_CASE(firstStart_afterDiscovery_onlyFirstTwoRead)
{
    const StartupState start{ .sinceStart = milliseconds(1600), .firstStart = true };
    BOOST_TEST(startingReaders(start) == 2);
    // The first two may be cut off from the store.
    BOOST_TEST(startingReaders({ .sinceStart = milliseconds(3000), .firstStart = true }) == 13);
}

BOOST_AUTO_TEST_CASE(firstStart_duringDiscovery_noneReads)
{
    BOOST_TEST(startingReaders({ .sinceStart = milliseconds(1000), .firstStart = true }) == 0);
}

// Callers wait while all daemons restart, and no daemon has a configuration to serve requests with.
BOOST_AUTO_TEST_CASE(restart_allDaemonsWithoutDocuments_everyDaemonReads)
{
    BOOST_TEST(startingReaders({ .sinceStart = milliseconds(100) }) == 13);
}

// A single daemon that restarts receives everything from the others.
BOOST_AUTO_TEST_CASE(restart_daemonHasDocuments_leavesTheStoreToTheReaders)
{
    BOOST_TEST(startingReaders({ .sinceStart = milliseconds(300), .hasDocuments = true }) == 2);
}

BOOST_AUTO_TEST_CASE(start_smallFleet_readsAfterDiscovery)
{
    BOOST_TEST(!mayStartReading({ .sinceStart = milliseconds(20) }, {}));
    BOOST_TEST(mayStartReading({ .sinceStart = milliseconds(100) }, {}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::peers
