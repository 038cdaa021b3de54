#include "auburn/peers/cellplacement.h"

#include "scriptedserver.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <thread>
#include <utility>

namespace auburn::peers {

using routing::PlacementChoice;
using routing::PlacementQuery;
using std::chrono::milliseconds;

namespace {

class FakeNetwork;

// One daemon's connection to a large fleet. Datagrams are delivered immediately unless the target
// is frozen.
class FakeExchange : public PeerExchange
{
public:
    FakeExchange(FakeNetwork &network, std::string address)
        : network_(network)
        , address_(std::move(address))
    {}

    void addPeer(const std::string &) override {}
    void scheduleHeartbeat(HeartbeatScope) override {}
    unsigned livePeerCount() const override { return 20; }
    bool isLargeFleet() const override { return true; }
    unsigned ownCpuMillis() const override { return 100; }
    std::uint64_t incarnation() const override { return 1; }
    std::vector<PeerInfo> livePeers() const override { return {}; }
    std::vector<PeerInfo> livePeersIn(const std::string &failureDomain) const override;
    std::vector<PeerInfo> storeReaders() const override { return {}; }
    void send(const std::string &target, const proto::PeerDatagram &datagram) override;

private:
    FakeNetwork &network_;
    const std::string address_;
};

class FakeNetwork
{
public:
    std::map<std::string, CellPlacement *> daemons;
    std::vector<PeerInfo> peers;
    std::set<std::string> frozen;
    // Returns true for a datagram that is to be lost.
    std::function<bool(const proto::PeerDatagram &datagram)> drops;
    // Set while datagrams are held back in the network.
    bool isHolding = false;
    std::vector<std::function<void()>> held;
    unsigned datagrams = 0;

    void deliverHeld()
    {
        isHolding = false;
        for (const auto &deliver : std::exchange(held, {}))
            deliver();
    }
};

std::vector<PeerInfo> FakeExchange::livePeersIn(const std::string &failureDomain) const
{
    std::vector<PeerInfo> result;
    for (const PeerInfo &peer : network_.peers) {
        if (peer.failureDomain == failureDomain && peer.udpAddress != address_)
            result.push_back(peer);
    }
    return result;
}

void FakeExchange::send(const std::string &target, const proto::PeerDatagram &datagram)
{
    ++network_.datagrams;
    if (network_.drops && network_.drops(datagram))
        return;
    const auto deliver = [&network = network_, target, datagram, sender = address_] {
        const auto found = network.daemons.find(target);
        if (found != network.daemons.end() && !network.frozen.contains(target))
            found->second->handleDatagram(datagram, sender);
    };
    if (network_.isHolding)
        network_.held.emplace_back(deliver);
    else
        deliver();
}

struct CellPlacementFixture
{
    CellPlacementFixture()
    {
        for (int i = 0; i < 12; ++i)
            directory.update({ .id = "e" + std::to_string(i),
                               .service = "engines",
                               .address = "e" + std::to_string(i) + ":80",
                               .failureDomain = i % 2 == 0 ? "a" : "b",
                               .slots = 32 },
                             static_cast<std::uint64_t>(i) + 1);
        config = std::make_shared<const routing::TrafficConfig>(routing::TrafficConfigData{
                .version = 1,
                .services = { { .name = "engines",
                                .engine = routing::EngineModel{ .slots = 32,
                                                                .cacheTokens = 300000 } } } });
        addDaemon("a1", "a");
        addDaemon("a2", "a");
        addDaemon("b1", "b");
    }

    void addDaemon(const std::string &name, const std::string &domain)
    {
        startDaemon(name, domain);
        network.peers.push_back({ .vm = name,
                                  .udpAddress = name,
                                  .failureDomain = domain,
                                  .cpuMillis = name == "a1" || name == "b1" ? 500U : 100U,
                                  .serving = true });
    }

    // Starts a daemon, or a new process in place of one that was killed.
    void startDaemon(const std::string &name, const std::string &domain)
    {
        const std::map<std::string, std::string> regions{ { "a", "r" }, { "b", "r" } };
        views.push_back(std::make_unique<routing::Placement>(
                routing::Placement::Options{ .failureDomain = domain, .regions = regions }));
        exchanges.push_back(std::make_unique<FakeExchange>(network, name));
        daemons[name] = std::make_unique<CellPlacement>(
                io, CellPlacement::Options{ .vm = name,
                                            .failureDomain = domain,
                                            .regions = regions,
                                            .directory = &directory,
                                            .config = &config,
                                            .localPlacement = views.back().get() });
        daemons[name]->setExchange(exchanges.back().get());
        network.daemons[name] = daemons[name].get();
    }

    // Restarts the engine with this software version.
    void setVersion(const std::string &id, const std::string &version)
    {
        routing::BackendServer server = *directory.find(id);
        server.softwareVersion = version;
        server.sequence += 1;
        directory.update(server, ++logPosition);
    }

    // Lets the requester measure a response with a load header and reports its first token.
    void progress(const std::string &daemon, const PlacementChoice &choice, unsigned workTime)
    {
        views[daemon == "a1" ? 0 : 1]->recordLoadReport(
                choice.serverId, { .running = 1, .slots = 32, .workTimePercent = workTime },
                CellPlacement::Clock::now());
        daemons[daemon]->attemptProgressed(choice, choice.predicted);
    }

    PlacementQuery prompt(std::uint64_t session)
    {
        return { .service = config->findService("engines"),
                 .prompt = { { .id = session, .tokens = 4000 },
                             { .id = ++requests + 1000000, .tokens = 2000 } },
                 .urgency = { .onTime = 0, .late = 1 },
                 .timeToTarget = milliseconds(600) };
    }

    PlacementChoice place(const std::string &daemon, const PlacementQuery &query,
                          milliseconds timeLeft = milliseconds(5000))
    {
        std::optional<PlacementChoice> result;
        bool answered = false;
        daemons[daemon]->place(query, timeLeft, [&](std::optional<PlacementChoice> choice) {
            BOOST_TEST(!answered);
            answered = true;
            result = std::move(choice);
        });
        BOOST_REQUIRE(runUntil(
                io, [&] { return answered; }, milliseconds(1000)));
        BOOST_REQUIRE(result);
        return *result;
    }

    boost::asio::io_context io;
    routing::ServerDirectory directory;
    std::shared_ptr<const routing::TrafficConfig> config;
    FakeNetwork network;
    std::vector<std::unique_ptr<routing::Placement>> views;
    std::vector<std::unique_ptr<FakeExchange>> exchanges;
    std::map<std::string, std::unique_ptr<CellPlacement>> daemons;
    std::uint64_t requests = 0;
    // Above the positions of the servers that the fixture adds.
    std::uint64_t logPosition = 100;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cellPlacement, CellPlacementFixture)

// The owner knows the requests of all requesters, so two daemons do not both select the engine that
// each of them considers idle.
BOOST_AUTO_TEST_CASE(session_placedByManyDaemons_isSpreadByTheOwner)
{
    std::set<std::string> used;
    for (int i = 0; i < 60; ++i) {
        used.insert(place("a1", prompt(7)).serverId);
        used.insert(place("a2", prompt(7)).serverId);
        used.insert(place("b1", prompt(7)).serverId);
    }
    BOOST_TEST(used.size() >= 4U);
    std::set<std::string> domains;
    for (const std::string &server : used)
        domains.insert(directory.find(server)->failureDomain);
    BOOST_TEST(domains.size() == 1U);
}

// Guards against a daemon that waits for the timeout of a dead owner every 700 ms, since a dead
// daemon counts as live for seconds in a large fleet. Requests that time out together count as one
// timeout.
BOOST_AUTO_TEST_CASE(owner_repeatedTimeouts_backoffGrows)
{
    const auto requestsWithin = [&](int steps) {
        network.datagrams = 0;
        for (int i = 0; i < steps; ++i) {
            place("a2", prompt(1));
            std::this_thread::sleep_for(milliseconds(100));
        }
        return network.datagrams;
    };
    const std::string owner = place("a2", prompt(1)).owner;
    BOOST_REQUIRE(!owner.empty());
    network.frozen = { owner };
    for (int i = 0; i < 4; ++i)
        daemons["a2"]->place(prompt(1), milliseconds(5000), [](auto) {});
    runFor(io, milliseconds(120));
    const unsigned first = requestsWithin(8);
    BOOST_TEST(first >= 1U);
    BOOST_TEST(first <= 2U);
    BOOST_TEST(requestsWithin(10) == 0U);
}

BOOST_AUTO_TEST_CASE(owner_frozen_requesterPlacesLocallyAndBacksOff)
{
    network.frozen = { "a1", "b1" };
    place("a2", prompt(1));
    place("a2", prompt(2));
    place("a2", prompt(3));
    place("a2", prompt(4));
    network.datagrams = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint64_t session = 5; session < 25; ++session)
        place("a2", prompt(session));
    BOOST_TEST((std::chrono::steady_clock::now() - begin < milliseconds(400)));
    BOOST_TEST(network.datagrams <= 2U);
}

// Guards against ended attempts that still count in later placements.
BOOST_AUTO_TEST_CASE(attempts_ended_areRemovedFromTheOwnersView)
{
    std::vector<PlacementChoice> choices;
    choices.reserve(80);
    for (int i = 0; i < 80; ++i)
        choices.push_back(place("a2", prompt(9)));
    BOOST_TEST(choices.back().predicted > milliseconds(300));
    for (const PlacementChoice &choice : choices) {
        daemons["a2"]->attemptProgressed(choice, choice.predicted);
        daemons["a2"]->attemptEnded(choice, true, routing::AttemptOutcome::Succeeded);
    }
    BOOST_TEST(place("a2", prompt(9)).predicted < milliseconds(300));
}

// Guards against an owner that never learns that an engine is slow, since the load header of a
// response reaches only the requester.
BOOST_AUTO_TEST_CASE(engine_reportsLongWorkTime_ownerMovesItsSession)
{
    const PlacementChoice first = place("a2", prompt(9));
    BOOST_REQUIRE(!first.owner.empty());
    progress("a2", first, 800);
    BOOST_TEST(place("a2", prompt(9)).serverId != first.serverId);
}

// Guards against prompt tokens that stay in the owner's view forever because the datagram that
// reports the first token is lost.
BOOST_AUTO_TEST_CASE(attempts_firstTokenReportLost_areRemovedFromTheOwnersView)
{
    std::vector<PlacementChoice> choices;
    choices.reserve(80);
    for (int i = 0; i < 80; ++i)
        choices.push_back(place("a2", prompt(9)));
    network.drops = [](const proto::PeerDatagram &datagram) {
        return datagram.place_update().outcome() == proto::PLACE_OUTCOME_PROGRESSED;
    };
    for (const PlacementChoice &choice : choices) {
        daemons["a2"]->attemptProgressed(choice, choice.predicted);
        daemons["a2"]->attemptEnded(choice, true, routing::AttemptOutcome::Succeeded);
    }
    BOOST_TEST(place("a2", prompt(9)).predicted < milliseconds(300));
}

// Guards against attempts that stay in the owner's view forever because their requester is gone
// before they end.
BOOST_AUTO_TEST_CASE(attempts_endNotReported_expireAfterTheirTimeLimit)
{
    for (int i = 0; i < 80; ++i)
        place("a2", prompt(9), milliseconds(0));
    BOOST_TEST(place("a2", prompt(9), milliseconds(0)).predicted > milliseconds(300));
    runUntil(
            io, [] { return false; }, milliseconds(600));
    for (const auto &[name, daemon] : daemons)
        daemon->expireAttempts();
    BOOST_TEST(place("a2", prompt(9)).predicted < milliseconds(300));
}

// Guards against an attempt that the owner keeps counting although its reply came too late to be
// used.
BOOST_AUTO_TEST_CASE(reply_tooLate_attemptIsAbandonedAtTheOwner)
{
    network.isHolding = true;
    place("a2", prompt(9));
    unsigned abandoned = 0;
    network.drops = [&](const proto::PeerDatagram &datagram) {
        abandoned += datagram.place_update().outcome() == proto::PLACE_OUTCOME_ABANDONED ? 1 : 0;
        return false;
    };
    // The request reaches the owner, and then its reply the requester.
    network.deliverHeld();
    BOOST_TEST(abandoned == 1U);
}

// Guards against a second attempt at a server that has refused the request: an owner that was
// frozen replies to a request of the requester's earlier process, whose numbers the new process
// uses again.
BOOST_AUTO_TEST_CASE(reply_isForTheProcessBefore_excludedServerIsNotTaken)
{
    network.isHolding = true;
    daemons["a2"]->place(prompt(9), milliseconds(5000), [](const auto &) {});
    network.daemons.erase("a2");
    startDaemon("a2", "a");
    PlacementQuery query = prompt(9);
    for (int i = 0; i < 12; i += 2)
        query.excluded.push_back("e" + std::to_string(i));
    std::optional<PlacementChoice> result;
    daemons["a2"]->place(query, milliseconds(5000), [&](std::optional<PlacementChoice> choice) {
        result = std::move(choice);
    });
    network.deliverHeld();
    BOOST_REQUIRE(runUntil(
            io, [&] { return result.has_value(); }, milliseconds(1000)));
    BOOST_TEST(!routing::isExcluded(query, result->serverId), result->serverId);
}

// Guards against prompts that are sent to a restarted engine because of parts that it no longer
// caches.
BOOST_AUTO_TEST_CASE(server_restarted_ownerDropsItsCache)
{
    const PlacementQuery query = prompt(9);
    const PlacementChoice primary = place("a2", query);
    daemons["a2"]->attemptProgressed(primary, primary.predicted);
    daemons["a2"]->attemptEnded(primary, true, routing::AttemptOutcome::Succeeded);
    BOOST_TEST(place("a2", prompt(9)).uncachedTokens == 2000U);
    for (const auto &[name, daemon] : daemons)
        daemon->removeServer(primary.serverId);
    BOOST_TEST(place("a2", prompt(9)).uncachedTokens > 2000U);
}

// Guards against the use of a server that the owner still lists as ready and the requester already
// knows to be draining.
BOOST_AUTO_TEST_CASE(owner_namesAServerThatDrains_anotherIsTaken)
{
    routing::ServerDirectory stale;
    for (const std::string &id : directory.ids())
        stale.update(*directory.find(id), 1);
    CellPlacement owner(io, { .vm = "b1",
                              .failureDomain = "b",
                              .regions = { { "a", "r" }, { "b", "r" } },
                              .directory = &stale,
                              .config = &config,
                              .localPlacement = views[2].get() });
    owner.setExchange(exchanges[2].get());
    network.daemons["b1"] = &owner;
    for (int i = 1; i < 12; i += 2) {
        routing::BackendServer draining = *directory.find("e" + std::to_string(i));
        draining.state = routing::ServerState::Draining;
        draining.sequence = 2;
        directory.update(draining, 100 + static_cast<std::uint64_t>(i));
    }
    for (std::uint64_t session = 0; session < 20; ++session)
        BOOST_TEST(directory.find(place("a2", prompt(session)).serverId)->failureDomain == "a");
}

// Guards against an owner that names servers of any version for a stream of one. Its requester
// would not use them, and would place the stream without the owner's knowledge of the loads.
BOOST_AUTO_TEST_CASE(query_hasAVersion_ownerNamesServersOfIt)
{
    for (int i = 0; i < 12; ++i)
        setVersion("e" + std::to_string(i), i % 4 < 2 ? "v1" : "v2");
    std::vector<std::string> named;
    network.drops = [&named](const proto::PeerDatagram &datagram) {
        if (datagram.has_place_reply())
            named.push_back(datagram.place_reply().server());
        return false;
    };
    for (std::uint64_t session = 0; session < 20; ++session) {
        // "a1" is the owner of domain "a", so it asks itself or "b1".
        for (const std::string requester : { "a1", "a2" }) {
            PlacementQuery query = prompt(session);
            query.softwareVersion = "v2";
            const PlacementChoice choice = place(requester, query);
            BOOST_TEST(choice.ownerNumber != 0U);
            BOOST_TEST(directory.find(choice.serverId)->softwareVersion == "v2");
        }
    }
    BOOST_TEST(named.size() >= 20U);
    for (const std::string &server : named) {
        BOOST_REQUIRE(directory.find(server));
        BOOST_TEST(directory.find(server)->softwareVersion == "v2", server);
    }
}

// Guards against a request to the owner of a cell without servers of the version.
BOOST_AUTO_TEST_CASE(query_versionIsInOneDomain_itsOwnerPlaces)
{
    for (int i = 0; i < 12; ++i)
        setVersion("e" + std::to_string(i), i % 2 == 0 ? "v1" : "v2");
    for (std::uint64_t session = 0; session < 20; ++session) {
        PlacementQuery query = prompt(session);
        query.softwareVersion = "v2";
        BOOST_TEST(place("a2", query).owner == "b1");
    }
}

// Guards against a stream that goes on at a server that the requester already knows to have been
// restarted with another version, and against an attempt there that its owner keeps counting.
BOOST_AUTO_TEST_CASE(owner_namesAServerOfAnotherVersion_anotherIsTaken)
{
    for (int i = 0; i < 12; ++i)
        setVersion("e" + std::to_string(i), "v1");
    routing::ServerDirectory stale;
    for (const std::string &id : directory.ids())
        stale.update(*directory.find(id), 1);
    CellPlacement owner(io, { .vm = "a1",
                              .failureDomain = "a",
                              .regions = { { "a", "r" }, { "b", "r" } },
                              .directory = &stale,
                              .config = &config,
                              .localPlacement = views[0].get() });
    owner.setExchange(exchanges[0].get());
    network.daemons["a1"] = &owner;
    // Only "e0" is left, so all requests go to the owner of its domain.
    for (int i = 1; i < 12; ++i)
        setVersion("e" + std::to_string(i), "v2");
    unsigned namedOthers = 0;
    unsigned abandoned = 0;
    network.drops = [&](const proto::PeerDatagram &datagram) {
        if (datagram.has_place_reply() && datagram.place_reply().server() != "e0")
            ++namedOthers;
        if (datagram.place_update().outcome() == proto::PLACE_OUTCOME_ABANDONED)
            ++abandoned;
        return false;
    };
    for (std::uint64_t session = 0; session < 20; ++session) {
        PlacementQuery query = prompt(session);
        query.softwareVersion = "v1";
        BOOST_TEST(place("a2", query).serverId == "e0");
    }
    BOOST_TEST(namedOthers > 0U);
    BOOST_TEST(abandoned == namedOthers);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::peers
