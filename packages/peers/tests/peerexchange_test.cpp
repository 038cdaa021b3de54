#include "auburn/peers/peerexchange.h"

#include "auburn/core/lasterror.h"
#include "scriptedserver.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

namespace auburn::peers {

using boost::asio::ip::udp;
using std::chrono::milliseconds;

namespace {

struct PeerExchangeFixture
{
    // Returns a free UDP address. Another process could take it before the test does, which is
    // unlikely.
    std::string freeAddress()
    {
        udp::socket socket(io, udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        return "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
    }

    std::unique_ptr<PeerExchange> make(const std::string &vm, const std::string &address,
                                       std::vector<std::string> seeds)
    {
        auto exchange = PeerExchange::make(io,
                                           { .vm = vm,
                                             .udpAddress = address,
                                             .failureDomain = "a",
                                             .cpuMillis = 250,
                                             .seeds = std::move(seeds),
                                             .interval = milliseconds(20),
                                             .fillHeartbeat = [](PeerBeat &, HeartbeatContent) {},
                                             .onHeartbeat =
                                                     [this, vm](const PeerBeat &) {
                                                         ++heartbeats;
                                                         ++heartbeatsReceived[vm];
                                                     } });
        BOOST_REQUIRE_MESSAGE(exchange, lastError());
        return exchange;
    }

    boost::asio::io_context io;
    unsigned heartbeats = 0;
    // By the VM that received them.
    std::map<std::string, unsigned> heartbeatsReceived;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peerExchange, PeerExchangeFixture)

BOOST_AUTO_TEST_CASE(daemons_oneSharedSeed_discoverEachOther)
{
    const std::string seed = freeAddress();
    const std::string second = freeAddress();
    const std::string third = freeAddress();
    const auto a = make("a", seed, {});
    const auto b = make("b", second, { seed });
    const auto c = make("c", third, { seed });
    BOOST_TEST(runUntil(io, [&] {
        return a->livePeerCount() == 2 && b->livePeerCount() == 2 && c->livePeerCount() == 2;
    }));
    BOOST_TEST(b->livePeersIn("a").size() == 2U);
    BOOST_TEST(b->livePeers().size() == 2U);
    BOOST_TEST(b->livePeersIn("other").empty());
}

// Guards against a daemon that starts in a large fleet and learns of few others for seconds,
// because only a small share of the heartbeats is addressed to it. The first heartbeat that it
// receives must be enough.
BOOST_AUTO_TEST_CASE(newDaemon_largeFleet_receivesPeersImmediately)
{
    const std::string seed = freeAddress();
    std::vector<std::unique_ptr<PeerExchange>> fleet;
    fleet.push_back(make("vm0", seed, {}));
    for (int i = 1; i < 24; ++i)
        fleet.push_back(make("vm" + std::to_string(i), freeAddress(), { seed }));
    BOOST_REQUIRE(runUntil(io, [&] { return fleet[0]->livePeerCount() == 23; }));
    const auto newcomer = make("new", freeAddress(), { seed });
    BOOST_REQUIRE(runUntil(io, [&] { return heartbeatsReceived["new"] > 0; }));
    BOOST_TEST(heartbeatsReceived["new"] == 1U);
    BOOST_TEST(newcomer->livePeerCount() >= 20U);
}

BOOST_AUTO_TEST_CASE(datagram_unreadable_isIgnored)
{
    const std::string address = freeAddress();
    const auto exchange = make("a", address, {});
    udp::socket socket(io, udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(10)));
    socket.send_to(boost::asio::buffer(std::string("\xff\xff\xff garbage")),
                   udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port));
    runFor(io, milliseconds(100));
    BOOST_TEST(exchange->livePeerCount() == 0U);
    BOOST_TEST(heartbeats == 0U);
}

BOOST_AUTO_TEST_CASE(address_inUse_isAnError)
{
    const std::string address = freeAddress();
    const auto first = make("a", address, {});
    BOOST_TEST(!PeerExchange::make(io, { .vm = "b", .udpAddress = address }));
    BOOST_TEST(!lastError().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::peers
