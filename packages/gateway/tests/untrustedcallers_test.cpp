// Tests of what the gateway does with callers that send too much or stop sending: whom it closes
// first, what its refusals promise, and that requests inside the limits are served as before.

#include "auburn/core/loadshedding.h"
#include "gatewayfixture.h"

#include <algorithm>
#include <utility>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;

struct UntrustedFixture : GatewayFixture
{
    void restart(std::size_t limit)
    {
        memoryLimit = limit;
        gateway.reset();
        startGateway(placementSource);
    }

    void setLimits(std::size_t headerBytes, std::size_t bodyBytes)
    {
        routing::TrafficConfigData data = testConfig();
        data.limits.headerBytes = headerBytes;
        data.limits.bodyBytes = bodyBytes;
        state.config = std::make_shared<const routing::TrafficConfig>(std::move(data));
    }

    static std::string chunkedRequest(const std::string &fields = {})
    {
        return request("POST", "/order/x", "Transfer-Encoding: chunked\r\n" + fields);
    }

    static ScriptedReply echoLength(const ScriptedRequest &received)
    {
        return { { { sealed(200, std::to_string(received.body().size())) } } };
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(untrustedCallers, UntrustedFixture)

// Guards against closing callers that upload or read while others hold more and move nothing.
BOOST_AUTO_TEST_CASE(selection_stalledAndLargeConnections_comeFirst)
{
    const std::vector<ConnectionLoad> loads{
        { .heldBytes = 100, .stalledRounds = 9, .isDispensable = true },
        { .heldBytes = 9000, .stalledRounds = 0, .isDispensable = true },
        { .heldBytes = 9000, .stalledRounds = 9, .isDispensable = false },
        { .heldBytes = 500, .stalledRounds = 9, .isDispensable = true },
        { .heldBytes = 500, .stalledRounds = 5, .isDispensable = true },
    };
    const auto chosen = [&loads](std::size_t bytes, std::size_t connections, unsigned rounds) {
        return selectConnectionsToShed(loads, { .excessBytes = bytes,
                                                .excessConnections = connections,
                                                .minStalledRounds = rounds });
    };
    BOOST_TEST(chosen(0, 0, 0).empty());
    BOOST_TEST((chosen(1, 0, 4) == std::vector<std::size_t>{ 3 }));
    BOOST_TEST((chosen(501, 0, 4) == std::vector<std::size_t>{ 3, 4 }));
    BOOST_TEST((chosen(0, 3, 4) == std::vector<std::size_t>{ 3, 4, 0 }));
    BOOST_TEST((chosen(100000, 0, 4) == std::vector<std::size_t>{ 3, 4, 0 }));
    BOOST_TEST((chosen(1, 0, 0) == std::vector<std::size_t>{ 1 }));
}

// Guards against one address that spreads what it holds over many small connections.
BOOST_AUTO_TEST_CASE(selection_equalConnections_largestSourceComesFirst)
{
    const std::vector<ConnectionLoad> loads{
        { .heldBytes = 500, .source = 1, .stalledRounds = 5, .isDispensable = true },
        { .heldBytes = 500, .source = 2, .stalledRounds = 5, .isDispensable = true },
        { .heldBytes = 500, .source = 2, .stalledRounds = 5, .isDispensable = true },
    };
    const auto chosen = selectConnectionsToShed(loads,
                                                { .excessBytes = 1000, .minStalledRounds = 4 });
    BOOST_TEST((chosen == std::vector<std::size_t>{ 1, 2 }));
}

// Guards against a limit that a request inside the documented limits meets.
BOOST_AUTO_TEST_CASE(requestAtTheLimits_inOneByteChunksWithTrailers_isServed)
{
    constexpr std::size_t kBody = 200000;
    // The scripted server reads heads of up to 8 KiB.
    setLimits(7000, kBody);
    addServer("d1", "desk", echoLength);
    std::string filler;
    while (filler.size() < 5800)
        filler += "a:\r\n";
    std::string text = chunkedRequest(filler);
    for (std::size_t i = 0; i < kBody; ++i)
        text += chunk("x");
    const std::string response = exchange(text + "0\r\nX-Trailer: " + std::string(500, 't')
                                          + "\r\n\r\n");
    BOOST_TEST(statusOf(response) == 200);
    BOOST_TEST(response.find("\r\n\r\n" + std::to_string(kBody)) != std::string::npos);
}

// Guards against trailers that pass the limit of the header, whether they end or not.
BOOST_AUTO_TEST_CASE(trailers_beyondTheHeaderLimit_areRefused)
{
    setLimits(4096, kMegabyte);
    ScriptedServer &desk = addServer("d1", "desk", echoLength);
    const std::string start = chunkedRequest() + chunk("x") + "0\r\n";
    const std::string trailers = "X-Trailer: " + std::string(5000, 't') + "\r\n";
    BOOST_TEST(statusOf(exchange(start + trailers + "\r\n")) == 431);
    BOOST_TEST(statusOf(exchange(start + trailers + trailers)) == 431);
    BOOST_TEST(statusOf(exchange(chunkedRequest() + "1;" + std::string(9000, 'e'))) == 431);
    BOOST_TEST(desk.requests().empty());
}

// Guards against stalled bodies that keep the memory until the body timeout, and against a refusal
// of one that has reached a server.
BOOST_AUTO_TEST_CASE(stalledBodies_underMemoryPressure_areRefusedBeforeTheTimeout)
{
    restart(2 * kMegabyte);
    setLimits(16384, kMegabyte);
    ScriptedServer &desk = addServer("d1", "desk", echoLength);
    std::vector<ScriptedClient> stalled;
    for (int i = 0; i < 12; ++i) {
        stalled.emplace_back(io, address);
        stalled.back().send(chunkedRequest() + chunk(std::string(100000, 'b')));
    }
    const auto allAnswered = [&] {
        return std::all_of(stalled.begin(), stalled.end(),
                           [](const ScriptedClient &client) { return client.isClosed(); });
    };
    BOOST_TEST(!runUntil(io, allAnswered, milliseconds(6000)));
    std::size_t refused = 0;
    for (const ScriptedClient &client : stalled) {
        if (client.received().empty())
            continue;
        ++refused;
        BOOST_TEST(statusOf(client.received()) == 503);
        BOOST_TEST(client.received().find("Retry-After: ") != std::string::npos);
    }
    // Some are refused when they arrive, the others until the pressure is relieved.
    BOOST_TEST(refused >= 4U);
    BOOST_TEST(gateway->heldBytes() <= memoryLimit / 100 * 60);
    BOOST_TEST(desk.requests().empty());
    const std::string body(kMegabyte / 4, 'b');
    BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, body))) == 200);
}

// Guards against callers that keep the memory of their bodies by sending a few bytes each round.
BOOST_AUTO_TEST_CASE(bodiesInSingleBytes_underMemoryPressure_countAsStalled)
{
    restart(2 * kMegabyte);
    setLimits(16384, kMegabyte);
    ScriptedServer &desk = addServer("d1", "desk", echoLength);
    std::vector<ScriptedClient> trickling;
    for (int i = 0; i < 12; ++i) {
        trickling.emplace_back(io, address);
        trickling.back().send(chunkedRequest() + chunk(std::string(100000, 'b')));
    }
    const auto relieved = [this] { return gateway->heldBytes() <= memoryLimit / 100 * 60; };
    for (int i = 0; i < 100 && relieved(); ++i)
        wait(milliseconds(20));
    BOOST_TEST(!relieved());
    for (int i = 0; i < 60 && !relieved(); ++i) {
        for (ScriptedClient &client : trickling) {
            if (!client.isClosed() && client.received().empty())
                client.send(chunk("b"));
        }
        wait(milliseconds(50));
    }
    BOOST_TEST(relieved());
    BOOST_TEST(desk.requests().empty());
}

// Guards against a crowd of idle connections that keeps a new caller out.
BOOST_AUTO_TEST_CASE(newCaller_allConnectionsIdle_displacesTheOldest)
{
    maxConnections = 10;
    restart(memoryLimit);
    addServer("d1", "desk", echoLength);
    std::vector<ScriptedClient> idle;
    for (int i = 0; i < 10; ++i) {
        idle.emplace_back(io, address);
        wait(milliseconds(5));
    }
    BOOST_TEST(runUntil(io, [&] { return gateway->connections() == 10; }));
    BOOST_TEST(statusOf(exchange(request("GET", "/read/x"))) == 200);
    BOOST_TEST(runUntil(io, [&] { return idle.front().isClosed(); }));
    BOOST_TEST(!idle.back().isClosed());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
