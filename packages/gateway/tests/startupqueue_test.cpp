// Tests the requests that reach a daemon before it can route any: all daemons were killed at the
// same moment, their callers come back at once, and the store responds only some time later.

#include "../src/startupqueue.h"
#include "gatewayfixture.h"

#include <boost/test/unit_test.hpp>

#include <utility>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

struct RestartedGatewayFixture : GatewayFixture
{
    RestartedGatewayFixture() { std::swap(configuration, state.config); }

    ScriptedServer &addDesk()
    {
        return addServer("d1", "desk", [](const ScriptedRequest &) {
            return ScriptedReply{ { { sealed(200, "ok") } } };
        });
    }

    void configurationArrives()
    {
        std::swap(configuration, state.config);
        gateway->routingStateChanged();
    }

    std::shared_ptr<const routing::TrafficConfig> configuration;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(startupQueue, RestartedGatewayFixture)

// Guards against a wait that leaves no time for the request itself, or that outlasts the two
// seconds after which callers give up a silent stream.
BOOST_AUTO_TEST_CASE(waitLimit_isAPartOfTheCallersTimeLimit)
{
    BOOST_TEST(startupWaitLimit(milliseconds(2000)).count() == 500);
    BOOST_TEST(startupWaitLimit(milliseconds(60000)).count() < 2000);
    BOOST_TEST(startupWaitLimit(std::nullopt).count() == 0);
}

// Guards against a connection that is destroyed under its waiting request because too many
// pipelined bytes wait for it to be read any further.
BOOST_AUTO_TEST_CASE(pipelinedRequests_beforeTheConfiguration_areServedWhenItArrives)
{
    constexpr std::size_t kRequests = 20;
    ScriptedServer &desk = addDesk();
    ScriptedClient client(io, address);
    for (std::size_t i = 0; i < kRequests; ++i)
        client.send(request("POST", "/order/x", "X-Deadline: 4000\r\n", std::string(9000, 'b')));
    runFor(io, milliseconds(50));
    configurationArrives();
    BOOST_TEST(runUntil(io, [&] { return desk.requests().size() == kRequests; }));
    BOOST_TEST(!client.isClosed());
}

// Guards against callers that use up their only retry while the configuration is missing.
BOOST_AUTO_TEST_CASE(request_beforeTheConfiguration_isServedWhenItArrives)
{
    addDesk();
    ScriptedClient client(io, address);
    client.send(request("GET", "/read/x", "X-Deadline: 4000\r\n"));
    runFor(io, milliseconds(50));
    BOOST_TEST(client.received().empty());
    configurationArrives();
    BOOST_REQUIRE(runUntil(io, [&] { return isComplete(client.received()); }));
    BOOST_TEST(statusOf(client.received()) == 200);
}

// Guards against a request that is rejected because the configuration arrives before the servers.
BOOST_AUTO_TEST_CASE(request_beforeTheFirstServer_isServedWhenItArrives)
{
    configurationArrives();
    ScriptedClient client(io, address);
    client.send(request("GET", "/read/x", "X-Deadline: 4000\r\n"));
    runFor(io, milliseconds(50));
    BOOST_TEST(client.received().empty());
    addDesk();
    gateway->routingStateChanged();
    BOOST_REQUIRE(runUntil(io, [&] { return isComplete(client.received()); }));
    BOOST_TEST(statusOf(client.received()) == 200);
}

// Guards against a caller that is held until its deadline instead of being told when to return.
BOOST_AUTO_TEST_CASE(request_configurationStaysMissing_isRejectedWithARetryDelay)
{
    const ScriptedServer &desk = addDesk();
    ScriptedClient client(io, address);
    client.send(request("GET", "/read/x", "X-Deadline: 400\r\n"));
    BOOST_REQUIRE(runUntil(io, [&] { return isComplete(client.received()); }));
    BOOST_TEST(statusOf(client.received()) == 503);
    BOOST_TEST(client.received().find("Retry-After: ") != std::string::npos);
    configurationArrives();
    runFor(io, milliseconds(50));
    BOOST_TEST(desk.requests().empty());
}

// Guards against a request that runs although its caller has left in the meantime.
BOOST_AUTO_TEST_CASE(callerLeft_duringTheWait_requestDoesNotRun)
{
    const ScriptedServer &desk = addDesk();
    ScriptedClient client(io, address);
    client.send(request("GET", "/read/x", "X-Deadline: 4000\r\n"));
    runFor(io, milliseconds(50));
    client.close();
    runFor(io, milliseconds(50));
    configurationArrives();
    runFor(io, milliseconds(50));
    BOOST_TEST(desk.requests().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
