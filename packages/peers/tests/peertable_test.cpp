// Whole fleets of tables that exchange beats in simulated time, without a network.

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

constexpr milliseconds kBeatInterval{ 250 };

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
        ++beats;
        farBeats += regions.at(from.self.failureDomain) == regions.at(to.self.failureDomain) ? 0U
                                                                                             : 1U;
        to.table.add(from.self.udpAddress, now);
        to.table.recordHeartbeat(from.self, now);
        std::vector<PeerInfo> mentions = from.table.mentions(now, random);
        const bool far = regions.at(from.self.failureDomain) != regions.at(to.self.failureDomain);
        mentions.resize(far ? std::min(mentions.size(), kMentionsInFarBeat) : mentions.size());
        for (const PeerInfo &peer : mentions) {
            to.table.add(peer.udpAddress, now);
            to.table.recordRelayedHeartbeat(peer, now);
        }
    }

    void run(std::chrono::milliseconds time)
    {
        const auto end = now + time;
        for (; now < end; now += kBeatInterval) {
            ++round;
            for (Daemon &daemon : fleet) {
                if (daemon.down)
                    continue;
                ++daemon.self.heartbeatCounter;
                const HeartbeatTargets targets = daemon.table.beatTargets(round, now, random);
                for (const auto &group : { targets.sameRegion, targets.otherRegions }) {
                    for (const std::string &target : group)
                        deliver(daemon, fleet[std::stoul(target.substr(target.find(':') + 1))]);
                }
            }
        }
    }

    // Smallest and largest number of peers that a daemon believes to live.
    std::pair<unsigned, unsigned> believed()
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

    // Two failure domains of one region and one of another.
    const std::map<std::string, std::string> regions{ { "d0", "r0" },
                                                      { "d1", "r0" },
                                                      { "d2", "r1" } };
    std::vector<Daemon> fleet;
    std::mt19937_64 random{ 7 };
    PeerTable::TimePoint now = PeerTable::Clock::now();
    unsigned round = 0;
    unsigned beats = 0;
    unsigned farBeats = 0;
    double loss = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peerTable, FleetFixture)

BOOST_AUTO_TEST_CASE(smallFleet_everyBeatReachesAll)
{
    build(6);
    run(seconds(2));
    const HeartbeatTargets targets = fleet[0].table.beatTargets(100, now, random);
    BOOST_TEST(targets.sameRegion.size() + targets.otherRegions.size() == 5U);
    BOOST_TEST(!fleet[0].table.isLargeFleet(now));
}

// Guards against daemons that disagree about who lives and therefore about who owns a cell.
BOOST_AUTO_TEST_CASE(largeFleet_lossyLinks_liveDaemonsStayLiveEverywhere)
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

// Guards against beats that cross regions in proportion to the fleet, most of which say what the
// nearer daemons have said.
BOOST_AUTO_TEST_CASE(largeFleet_beats_stayMostlyInTheirRegion)
{
    build(300);
    run(seconds(10));
    beats = 0;
    farBeats = 0;
    run(seconds(20));
    BOOST_TEST(farBeats * 5 < beats);
    BOOST_TEST(beats <= 300U * 6 * 4 * 20);
}

BOOST_AUTO_TEST_CASE(introductions_ownDomain_comesFirst)
{
    build(300);
    run(seconds(10));
    const auto introduced = fleet[0].table.introductions("d2", now, random);
    BOOST_TEST(introduced.size() >= 20U);
    BOOST_TEST(introduced.size() <= 40U);
    for (const PeerInfo &peer : introduced)
        BOOST_TEST(peer.failureDomain == "d2");
}

// Guards against daemons that tell each other of a dead one and so keep it alive.
BOOST_AUTO_TEST_CASE(largeFleet_aDomainDies_isForgottenEverywhere)
{
    build(300);
    run(seconds(30));
    for (Daemon &daemon : fleet)
        daemon.down = daemon.self.failureDomain == "d1";
    run(seconds(30));
    const auto [least, most] = believed();
    BOOST_TEST(most == 199U);
    BOOST_TEST(least >= 197U);
}

// Guards against a fleet that, started as a whole, takes long to know itself.
BOOST_AUTO_TEST_CASE(largeFleet_starts_isKnownWithinTenSeconds)
{
    build(300);
    run(seconds(10));
    BOOST_TEST(believed().first >= 285U);
}

BOOST_AUTO_TEST_CASE(daemonStartedAgain_higherHeartbeat_isTaken)
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

BOOST_AUTO_TEST_CASE(daemon_silentForLong_isForgotten)
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
