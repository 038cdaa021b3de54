// Tests what backend servers say about themselves in their responses.

#include "gatewayfixture.h"
#include "retryafter.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

struct ServerSignalFixture : GatewayFixture
{
    ServerSignalFixture()
    {
        leaving = &addServer("s1", "desk", [this](const ScriptedRequest &) {
            return ScriptedReply{ { { leavingReply } } };
        });
    }

    // Adds a server that is farther away, so that requests go to the other one if they may.
    ScriptedServer &addSoundServer()
    {
        ScriptedServer &sound = addServer("s2", "desk", [](const ScriptedRequest &) {
            return ScriptedReply{ { { sealed(200, "sound") } } };
        });
        state.directory.update({ .id = "s2",
                                 .service = "desk",
                                 .address = sound.address(),
                                 .failureDomain = "far",
                                 .slots = 8 },
                               ++logPosition);
        return sound;
    }

    // Lists the leaving server again, with the start time of its process.
    void listAgain(std::int64_t startedAtUnixMs)
    {
        state.directory.update({ .id = "s1",
                                 .service = "desk",
                                 .address = leaving->address(),
                                 .failureDomain = "a",
                                 .slots = 8,
                                 .startedAtUnixMs = startedAtUnixMs,
                                 .sequence = static_cast<std::int64_t>(logPosition) },
                               ++logPosition);
    }

    // Sends requests until the server has said that it is leaving.
    void letServerLeave()
    {
        for (int i = 0; i < 20 && leaving->requests().empty(); ++i)
            exchange(request("POST", "/order/x", {}, "b"));
        BOOST_REQUIRE(leaving->requests().size() == 1U);
    }

    static constexpr int kRequests = 20;
    std::string leavingReply = sealed(200, "done", "X-Leaving: 1\r\n");
    ScriptedServer *leaving = nullptr;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(serverSignals, ServerSignalFixture)

// Guards against requests to a server that has said that it is leaving, while the registry, which
// may be unavailable, still lists it as ready.
BOOST_AUTO_TEST_CASE(leavingServer_isStillListed_receivesNoMoreRequests)
{
    letServerLeave();
    const ScriptedServer &sound = addSoundServer();
    for (int i = 0; i < kRequests; ++i) {
        listAgain(0);
        BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 200);
    }
    BOOST_TEST(leaving->requests().size() == 1U);
    BOOST_TEST(sound.requests().size() >= static_cast<std::size_t>(kRequests));
}

BOOST_AUTO_TEST_CASE(leavingServer_rejectsWithTheSignal_receivesNoMoreRequests)
{
    leavingReply = wholeAnswer(503, "X-Not-Executed: 1\r\nX-Leaving: 1\r\n", "");
    letServerLeave();
    addSoundServer();
    for (int i = 0; i < kRequests; ++i)
        BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 200);
    BOOST_TEST(leaving->requests().size() == 1U);
}

// A server that leaves may restart under its old id.
BOOST_AUTO_TEST_CASE(leavingServer_restartsUnderItsId_receivesRequestsAgain)
{
    letServerLeave();
    listAgain(1000);
    BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 200);
    BOOST_TEST(leaving->requests().size() == 2U);
}

// The refusal must be true and tell the caller when to return.
BOOST_AUTO_TEST_CASE(leavingServer_isTheLastOne_callersAreRejectedWithARetryTime)
{
    letServerLeave();
    const std::string response = exchange(request("POST", "/order/x", {}, "b"));
    BOOST_TEST(statusOf(response) == 503);
    BOOST_TEST(response.find("Retry-After") != std::string::npos);
    BOOST_TEST(leaving->requests().size() == 1U);
}

// Guards against requests to a server that has asked for time, and against a server that stays
// without requests after that time.
BOOST_AUTO_TEST_CASE(serverInBackoff_untilItsTime_receivesNoRequests)
{
    leavingReply = wholeAnswer(503, "X-Not-Executed: 1\r\nRetry-After: 2.5\r\n", "");
    letServerLeave();
    leavingReply = sealed(200, "back");
    const auto start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - start < milliseconds(2300)) {
        BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 503);
        wait(milliseconds(50));
    }
    BOOST_TEST(leaving->requests().size() == 1U);
    wait(milliseconds(400));
    BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 200);
    BOOST_TEST(leaving->requests().size() == 2U);
}

// Guards against callers that are told to return before any server accepts requests again.
BOOST_AUTO_TEST_CASE(allServersInBackoff_rejection_namesTheirReturn)
{
    leavingReply = wholeAnswer(503, "X-Not-Executed: 1\r\nRetry-After: 0.4\r\n", "");
    letServerLeave();
    const std::string response = exchange(request("POST", "/order/x", {}, "b"));
    BOOST_TEST(statusOf(response) == 503);
    const std::string name = "Retry-After: ";
    const std::size_t at = response.find(name);
    BOOST_REQUIRE(at != std::string::npos);
    const double seconds = std::stod(response.substr(at + name.size()));
    BOOST_TEST(seconds >= 0.3);
    BOOST_TEST(seconds <= 0.6);
    BOOST_TEST(leaving->requests().size() == 1U);
}

// A field that names no number of seconds has no effect, and an enormous one has a bounded one.
BOOST_AUTO_TEST_CASE(retryAfter_valuesOfAnyForm_areUnderstoodOrIgnored)
{
    BOOST_TEST((parseRetryAfter("2") == milliseconds(2000)));
    BOOST_TEST((parseRetryAfter("0.25") == milliseconds(250)));
    BOOST_TEST((parseRetryAfter("0") == milliseconds(0)));
    BOOST_TEST((parseRetryAfter("1e999") == milliseconds(86400000)));
    BOOST_TEST((parseRetryAfter("99999999999") == milliseconds(86400000)));
    for (const char *text : { "", "-1", "nan", "soon", "2 s", "Fri, 31 Dec 1999 23:59:59 GMT" })
        BOOST_TEST(!parseRetryAfter(text), text);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
