// Simulates whole fleets of peer tables that exchange heartbeats in simulated time, without a
// network.

#include "auburn/peers/peertable.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace auburn::peers {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kHeartbeatInterval{ 250 };

struct FleetFixture
{
    struct Daemon
    {
        PeerTable table;
        PeerInfo self;
        bool down = false;
    };

    static std::string addressOf(std::size_t index) { return "10.0.0.1:" + std::to_string(index); }

    void build(std::size_t daemons)
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            const std::string domain = "d" + std::to_string(i % 3);
            fleet.push_back({ .table = PeerTable({ .ownAddress = addressOf(i),
                                                   .failureDomain = domain,
                                                   .regions = regions }),
                              .self = { .vm = "vm" + std::to_string(i),
                                        .udpAddress = addressOf(i),
                                        .failureDomain = domain,
                                        .serving = true,
                                        .heartbeatCounter = 1 } });
            for (std::size_t other = 0; other < daemons; ++other)
                fleet.back().table.add(addressOf(other), now);
        }
    }

    void deliver(Daemon &from, Daemon &to)
    {
        if (to.down || (loss > 0 && std::uniform_real_distribution<>(0, 1)(random) < loss))
            return;
        ++heartbeats;
        otherRegionHeartbeats += regions.at(from.self.failureDomain)
                                                 == regions.at(to.self.failureDomain)
                                         ? 0U
                                         : 1U;
        to.table.add(from.self.udpAddress, now);
        to.table.recordHeartbeat(from.self, now);
        std::vector<PeerInfo> relayed = from.table.relayedHeartbeats(now, random);
        const bool far = regions.at(from.self.failureDomain) != regions.at(to.self.failureDomain);
        relayed.resize(far ? std::min(relayed.size(), kMaxRelayedToOtherRegions) : relayed.size());
        for (const PeerInfo &peer : relayed) {
            to.table.add(peer.udpAddress, now);
            to.table.recordRelayedHeartbeat(peer, now);
        }
    }

    void run(std::chrono::milliseconds time)
    {
        const auto end = now + time;
        for (; now < end; now += kHeartbeatInterval) {
            ++round;
            for (Daemon &daemon : fleet) {
                if (daemon.down)
                    continue;
                ++daemon.self.heartbeatCounter;
                const HeartbeatTargets targets = daemon.table.heartbeatTargets(round, now, random);
                for (const auto &group : { targets.sameRegion, targets.otherRegions }) {
                    for (const std::string &target : group)
                        deliver(daemon, fleet[std::stoul(target.substr(target.find(':') + 1))]);
                }
            }
        }
    }

    // Returns the smallest and the largest number of peers that any daemon considers live.
    std::pair<unsigned, unsigned> believedLiveCounts()
    {
        unsigned least = static_cast<unsigned>(fleet.size());
        unsigned most = 0;
        for (const Daemon &daemon : fleet) {
            if (daemon.down)
                continue;
            least = std::min(least, daemon.table.livePeerCount(now));
            most = std::max(most, daemon.table.livePeerCount(now));
        }
        return { least, most };
    }

    // Two failure domains in one region and one in another.
    const std::map<std::string, std::string> regions{ { "d0", "r0" },
                                                      { "d1", "r0" },
                                                      { "d2", "r1" } };
    std::vector<Daemon> fleet;
    std::mt19937_64 random{ 7 };
    PeerTable::TimePoint now = PeerTable::Clock::now();
    unsigned round = 0;
    unsigned heartbeats = 0;
    unsigned otherRegionHeartbeats = 0;
    double loss = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peerTable, FleetFixture)

BOOST_AUTO_TEST_CASE(smallFleet_heartbeat_goesToAllPeers)
{
    build(6);
    run(seconds(2));
    const HeartbeatTargets targets = fleet[0].table.heartbeatTargets(100, now, random);
    BOOST_TEST(targets.sameRegion.size() + targets.otherRegions.size() == 5U);
    BOOST_TEST(!fleet[0].table.isLargeFleet(now));
}

// Guards against daemons that disagree about which daemons are live and therefore about the owner
// of a cell.
BOOST_AUTO_TEST_CASE(largeFleet_lossyLinks_liveDaemonsStayLive)
{
    for (const std::size_t daemons : { 71, 300, 790 }) {
        fleet.clear();
        round = 0;
        loss = 0.03;
        build(daemons);
        run(seconds(60));
        std::size_t missing = 0;
        std::size_t looks = 0;
        for (int look = 0; look < 4; ++look) {
            run(milliseconds(1000));
            for (const Daemon &daemon : fleet) {
                missing += daemons - 1 - daemon.table.livePeerCount(now);
                looks += daemons - 1;
            }
        }
        BOOST_TEST_CONTEXT(daemons << " daemons, " << missing << " of " << looks)
        BOOST_TEST(missing * 1000 < looks);
    }
}

// Guards against heartbeats between regions whose number grows with the fleet although most of them
// repeat what nearer daemons have already sent.
BOOST_AUTO_TEST_CASE(largeFleet_heartbeats_stayMostlyInTheirRegion)
{
    build(300);
    run(seconds(10));
    heartbeats = 0;
    otherRegionHeartbeats = 0;
    run(seconds(20));
    BOOST_TEST(otherRegionHeartbeats * 5 < heartbeats);
    BOOST_TEST(heartbeats <= 300U * 6 * 4 * 20);
}

BOOST_AUTO_TEST_CASE(bootstrapPeers_largeFleet_ownDomainComesFirst)
{
    build(300);
    run(seconds(10));
    const auto bootstrapped = fleet[0].table.bootstrapPeers("d2", now, random);
    BOOST_TEST(bootstrapped.size() >= 20U);
    BOOST_TEST(bootstrapped.size() <= 40U);
    for (const PeerInfo &peer : bootstrapped)
        BOOST_TEST(peer.failureDomain == "d2");
}

// Guards against daemons that keep relaying the heartbeat of a dead daemon to each other, so that
// it stays live.
BOOST_AUTO_TEST_CASE(largeFleet_failureDomainDies_itsDaemonsAreNotLive)
{
    build(300);
    run(seconds(30));
    for (Daemon &daemon : fleet)
        daemon.down = daemon.self.failureDomain == "d1";
    run(seconds(30));
    const auto [least, most] = believedLiveCounts();
    BOOST_TEST(most == 199U);
    BOOST_TEST(least >= 197U);
}

// Guards against a fleet that takes long to discover all of its daemons after a simultaneous start.
BOOST_AUTO_TEST_CASE(largeFleet_simultaneousStart_isDiscoveredWithinTenSeconds)
{
    build(300);
    run(seconds(10));
    BOOST_TEST(believedLiveCounts().first >= 285U);
}

BOOST_AUTO_TEST_CASE(restartedDaemon_higherHeartbeatCounter_isAccepted)
{
    build(2);
    PeerTable &table = fleet[0].table;
    table.add("10.0.0.1:1", now);
    PeerInfo peer = fleet[1].self;
    peer.heartbeatCounter = 100;
    table.recordHeartbeat(peer, now);
    peer.serving = false;
    peer.heartbeatCounter = 99;
    table.recordRelayedHeartbeat(peer, now);
    BOOST_TEST(table.livePeersIn("d1", now).front().serving);
    peer.heartbeatCounter = 1000;
    table.recordRelayedHeartbeat(peer, now);
    BOOST_TEST(!table.livePeersIn("d1", now).front().serving);
}

BOOST_AUTO_TEST_CASE(daemon_silentForLong_isRemoved)
{
    build(2);
    fleet[0].table.add("10.0.0.1:1", now);
    fleet[0].table.removeSilentPeers(now + std::chrono::minutes(9));
    BOOST_TEST(fleet[0].table.size() > 0U);
    fleet[0].table.removeSilentPeers(now + std::chrono::minutes(11));
    BOOST_TEST(fleet[0].table.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::peers
