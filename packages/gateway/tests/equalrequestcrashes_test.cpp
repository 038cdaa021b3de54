// Tests equal requests whose server closes the connection on which it received them, after other
// requests on the same connection were served.

#include "gatewayfixture.h"

#include <string>

namespace auburn::gateway {

using End = ScriptedReply::End;
using std::chrono::milliseconds;

namespace {

struct EqualRequestCrashFixture : GatewayFixture
{
    // Replaces the only server, as after a restart, and uses a connection to it.
    void startServer()
    {
        if (!serverId.empty()) {
            state.directory.removeImmediately(serverId, ++logPosition);
            state.placement.removeServer(serverId);
        }
        serverId = "s" + std::to_string(++started);
        server = &addServer(serverId, "desk", [this](const ScriptedRequest &received) {
            const std::string id = "X-Id: " + std::string(received["X-Id"]) + "\r\n";
            const bool isSuspect = received.target() == "/order/suspect";
            arrivals += isSuspect ? 1 : 0;
            if (isSuspect && suspectEnd != End::KeepOpen)
                return ScriptedReply{ .end = suspectEnd };
            return ScriptedReply{ { { sealed(200, "done", id) } } };
        });
        BOOST_TEST(statusOf(exchange(request("POST", "/order/other", {}, serverId))) == 200);
    }

    // Registers the server at the address of the last one, with this start time.
    void registerServer(std::int64_t startedAtUnixMs)
    {
        state.directory.update({ .id = serverId,
                                 .service = "desk",
                                 .address = server->address(),
                                 .failureDomain = "a",
                                 .slots = 8,
                                 .startedAtUnixMs = startedAtUnixMs },
                               ++logPosition);
        gateway->serverStarted(server->address());
    }

    // Sends the request that is equal each time.
    int sendSuspect() { return statusOf(exchange(request("POST", "/order/suspect", {}, "same"))); }

    // What the server does instead of responding to the request; KeepOpen lets it respond.
    End suspectEnd = End::Crash;
    unsigned arrivals = 0;
    unsigned started = 0;
    std::string serverId;
    const ScriptedServer *server = nullptr;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(equalRequestCrashes, EqualRequestCrashFixture)

// Guards against crashes that are taken for the close of an idle connection: a request that crashes
// each server would end one after the other for as long as it comes.
BOOST_AUTO_TEST_CASE(crashesOnReusedConnections_areCounted)
{
    for (unsigned i = 0; i < 2 * routing::kCrashLimit; ++i) {
        startServer();
        sendSuspect();
    }
    BOOST_TEST(arrivals == routing::kCrashLimit);
    BOOST_TEST(sendSuspect() == 503);
}

// Guards against crashes that are not counted because the listening socket of the process that ends
// accepts one more connection: on a busy VM its sockets are not closed at the same moment.
BOOST_AUTO_TEST_CASE(crashes_listenerOutlivesTheConnections_areCounted)
{
    suspectEnd = End::CrashSlowly;
    for (unsigned i = 0; i < 2 * routing::kCrashLimit; ++i) {
        startServer();
        sendSuspect();
        wait(milliseconds(200));
    }
    BOOST_TEST(arrivals == routing::kCrashLimit);
    BOOST_TEST(sendSuspect() == 503);
}

// Guards against crashes that are not counted because the server listens again before anybody
// looks: only its registration shows that it is another process.
BOOST_AUTO_TEST_CASE(crashes_serverListensAgainAtOnce_areCounted)
{
    suspectEnd = End::Close;
    startServer();
    for (unsigned i = 0; i < 2 * routing::kCrashLimit; ++i) {
        registerServer(1000 + i);
        BOOST_TEST(statusOf(exchange(request("POST", "/order/other", {}, "b"))) == 200);
        sendSuspect();
        wait(milliseconds(200));
    }
    BOOST_TEST(arrivals == routing::kCrashLimit);
}

// Guards against the same if the server comes back under another id.
BOOST_AUTO_TEST_CASE(crashes_anotherServerAtTheAddress_areCounted)
{
    suspectEnd = End::Close;
    startServer();
    for (unsigned i = 0; i < 2 * routing::kCrashLimit; ++i) {
        state.directory.removeImmediately(serverId, ++logPosition);
        serverId = "t" + std::to_string(i);
        registerServer(1000 + i);
        BOOST_TEST(statusOf(exchange(request("POST", "/order/other", {}, "b"))) == 200);
        sendSuspect();
        wait(milliseconds(200));
    }
    BOOST_TEST(arrivals == routing::kCrashLimit);
}

// Guards against sound requests that are rejected because their server closed connections that were
// idle.
BOOST_AUTO_TEST_CASE(closedConnections_serverGoesOn_areNotCounted)
{
    suspectEnd = End::Close;
    startServer();
    constexpr unsigned kRounds = 2 * routing::kCrashLimit;
    for (unsigned i = 0; i < kRounds; ++i) {
        BOOST_TEST(statusOf(exchange(request("POST", "/order/other", {}, "b"))) == 200);
        BOOST_TEST(sendSuspect() == 502);
    }
    BOOST_TEST(arrivals == kRounds);
}

// Guards against sound requests, such as a frequent lookup, that are rejected because servers
// crashed for other reasons while they ran them.
BOOST_AUTO_TEST_CASE(crashes_withSuccessesBetween_doNotRejectTheRequest)
{
    for (unsigned i = 0; i < 2 * routing::kCrashLimit; ++i) {
        startServer();
        suspectEnd = End::Crash;
        BOOST_TEST(sendSuspect() == 502);
        startServer();
        suspectEnd = End::KeepOpen;
        BOOST_TEST(sendSuspect() == 200);
    }
}

// Guards against a stream that crashes its engine late and is never counted, because its progress
// passes for a success.
BOOST_AUTO_TEST_CASE(crashesLateInAStream_areCounted)
{
    unsigned streams = 0;
    for (unsigned i = 0; i < 2 * routing::kCrashLimit; ++i) {
        const std::string id = "e" + std::to_string(i);
        addServer(id, "engines", [&streams](const ScriptedRequest &) {
            ++streams;
            return ScriptedReply{ .parts = { { streamHead() + chunk(event(1)) },
                                             { chunk(event(2)), std::chrono::milliseconds(600) } },
                                  .end = End::Crash };
        });
        exchange(request("POST", "/digest/suspect", {}, "same"));
        state.directory.removeImmediately(id, ++logPosition);
        state.placement.removeServer(id);
    }
    BOOST_TEST(streams == routing::kCrashLimit);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
