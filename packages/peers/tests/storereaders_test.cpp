// A failure domain of daemons that decide again and again, without a network.

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

    // Every daemon hears the others and decides; those that read and are answered say so.
    void decide(int rounds)
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

    // Of the daemon when it hears all others and none of them reads.
    StoreReaderRole lonelyDuty(const Daemon &daemon) const
    {
        std::vector<PeerInfo> peers;
        for (const Daemon &other : domain) {
            if (&other != &daemon)
                peers.push_back(other.self);
        }
        return storeReaderRole(daemon.self, peers, {});
    }

    // Daemons that read at this time after a start of all at once, before any reader was heard.
    long beginners(StartupState start) const
    {
        start.largeFleet = true;
        return std::count_if(domain.begin(), domain.end(), [&](const Daemon &daemon) {
            return mayStartReading(start, lonelyDuty(daemon));
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

BOOST_AUTO_TEST_CASE(allReachTheStore_twoOfTheLargestRead)
{
    decide(3);
    BOOST_TEST(readers() == 2);
    for (const Daemon &daemon : domain)
        BOOST_TEST((!daemon.self.readsStore || daemon.self.cpuMillis == 500U));
}

// Guards against a domain that learns nothing because its two readers alone are cut off.
BOOST_AUTO_TEST_CASE(readersAreCutOffFromTheStore_nextOnesRead)
{
    decide(3);
    for (Daemon &daemon : domain)
        daemon.reachesStore = !daemon.self.readsStore;
    decide(3);
    BOOST_TEST(readers() == 2);
    for (Daemon &daemon : domain)
        daemon.reachesStore = true;
    decide(3);
    BOOST_TEST(readers() == 2);
}

// Guards against a daemon that only the others cannot reach and that then misses all changes.
BOOST_AUTO_TEST_CASE(daemonIsCutOffFromItsPeers_reads)
{
    decide(3);
    const auto last = std::find_if(domain.begin(), domain.end(),
                                   [](const Daemon &daemon) { return !daemon.self.readsStore; });
    last->reachesPeers = false;
    decide(3);
    BOOST_TEST(last->self.readsStore);
}

BOOST_AUTO_TEST_CASE(storeIsAway_allTryAndTheFirstTwoStayReaders)
{
    for (Daemon &daemon : domain)
        daemon.reachesStore = false;
    decide(3);
    BOOST_TEST(readers() == 0);
    unsigned standIns = 0;
    for (const Daemon &daemon : domain) {
        const StoreReaderRole duty = lonelyDuty(daemon);
        BOOST_TEST(duty.reads);
        standIns += duty.isBackup ? 1U : 0U;
    }
    BOOST_TEST(standIns == 11U);
}

// Guards against an outage that costs as many calls as there are daemons: a failure domain of a
// fleet of 790 daemons asks a store that is away at most as often as 30 daemons at full pace.
BOOST_AUTO_TEST_CASE(storeIsAway_largeDomain_callsDoNotGrowWithIt)
{
    for (int i = 13; i < 79; ++i)
        domain.push_back({ .self = { .vm = "vm" + std::to_string(i),
                                     .failureDomain = "d",
                                     .cpuMillis = 120U,
                                     .serving = true } });
    double callsPerSecond = 0;
    for (const Daemon &daemon : domain) {
        const StoreReaderRole duty = lonelyDuty(daemon);
        BOOST_TEST((duty.retryDelay <= std::chrono::seconds(5)));
        callsPerSecond += 1000.0 / static_cast<double>(duty.retryDelay.count());
    }
    BOOST_TEST(callsPerSecond < 30 / 1.2);
}

// Guards against a start in which every daemon reads what two of its failure domain will tell it.
BOOST_AUTO_TEST_CASE(start_ofTheWholeSystem_onlyTheFirstTwoRead)
{
    const StartupState start{ .sinceStart = milliseconds(1600), .firstStart = true };
    BOOST_TEST(beginners(start) == 2);
    // The two may be cut off from the store.
    BOOST_TEST(beginners({ .sinceStart = milliseconds(3000), .firstStart = true }) == 13);
}

BOOST_AUTO_TEST_CASE(start_ofTheWholeSystem_firstLooksForOthers)
{
    BOOST_TEST(beginners({ .sinceStart = milliseconds(1000), .firstStart = true }) == 0);
}

// Callers wait while all daemons start again; none of them has anything to serve by.
BOOST_AUTO_TEST_CASE(start_afterAllWereKilled_everyDaemonReads)
{
    BOOST_TEST(beginners({ .sinceStart = milliseconds(100) }) == 13);
}

// One daemon that starts again gets everything from the others.
BOOST_AUTO_TEST_CASE(start_ofOneDaemonThatOthersTold_leavesTheStoreToTheReaders)
{
    BOOST_TEST(beginners({ .sinceStart = milliseconds(300), .hasDocuments = true }) == 2);
}

BOOST_AUTO_TEST_CASE(start_smallFleet_readsAfterAMoment)
{
    BOOST_TEST(!mayStartReading({ .sinceStart = milliseconds(20) }, {}));
    BOOST_TEST(mayStartReading({ .sinceStart = milliseconds(100) }, {}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::peers
