// A failure domain of daemons that decide again and again, without a network.

#include "auburn/peers/storereaders.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace auburn::peers {

namespace {

struct StoreReadersFixture
{
    struct Daemon
    {
        LivePeer self;
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
                std::vector<LivePeer> peers;
                std::vector<LivePeer> readers;
                for (const Daemon &other : domain) {
                    const bool heard = &other != &daemon && daemon.reachesPeers
                                       && other.reachesPeers;
                    if (heard)
                        peers.push_back(other.self);
                    if (heard && other.self.readsStore)
                        readers.push_back(other.self);
                }
                daemon.self.readsStore = readerDuty(daemon.self, peers, readers).reads
                                         && daemon.reachesStore;
            }
        }
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
        std::vector<LivePeer> peers;
        for (const Daemon &other : domain) {
            if (&other != &daemon)
                peers.push_back(other.self);
        }
        const ReaderDuty duty = readerDuty(daemon.self, peers, {});
        BOOST_TEST(duty.reads);
        standIns += duty.standsIn ? 1U : 0U;
    }
    BOOST_TEST(standIns == 11U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::peers
