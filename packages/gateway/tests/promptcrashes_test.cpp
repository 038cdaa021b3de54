// Tests requests whose prompts share a part that crashes every engine that runs it. No two of them
// are alike, and other requests share their caller and their other parts.

#include "gatewayfixture.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace auburn::gateway {

using std::chrono::milliseconds;
using End = ScriptedReply::End;

namespace {

struct PromptCrashFixture : GatewayFixture
{
    PromptCrashFixture()
    {
        // Writes the head of a response and then closes the connection, if the prompt has the part.
        engine = &addServer("e1", "engines", [this](const ScriptedRequest &received) {
            const std::string parts(received["X-Parts"]);
            if (parts.find("bad:") == std::string::npos)
                return ScriptedReply{ { { streamHead() + chunk(event(1)) + "0\r\n\r\n" } } };
            ++crashes;
            return ScriptedReply{ .parts = { { streamHead() } }, .end = End::Reset };
        });
    }

    // Sends a request with its own target, body and last part, and returns the response.
    std::string send(const std::string &sharedParts)
    {
        const std::string own = std::to_string(++sent);
        return exchange(request("POST", "/digest/" + own,
                                "X-Parts: " + sharedParts + ",f" + own + ":10\r\n",
                                "{\"" + own + "\"}"));
    }

    // Longer than the time within which crashes count as one, such as the loss of a whole failure
    // domain.
    static constexpr milliseconds kPause{ 300 };
    // Fewer engines than this may end before the requests are rejected.
    static constexpr unsigned kMaxCrashes = 5;

    ScriptedServer *engine = nullptr;
    unsigned crashes = 0;
    unsigned sent = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(promptCrashes, PromptCrashFixture)

// Guards against crashes that are counted by the whole request: a part that crashes every engine
// then ends one engine after the other, because no two requests are alike.
BOOST_AUTO_TEST_CASE(crashingPart_inUnequalRequests_isRejectedAfterAFewCrashes)
{
    for (int i = 0; i < 10; ++i) {
        send("a:100,bad:50");
        wait(kPause);
    }
    BOOST_TEST(crashes < kMaxCrashes);
    const std::string response = send("a:100,bad:50");
    BOOST_TEST(statusOf(response) == 503);
    BOOST_TEST(response.find("Retry-After") != std::string::npos);
}

// Guards against sound requests that are rejected because they share the caller and the first part
// with those that crash engines.
BOOST_AUTO_TEST_CASE(soundRequests_withTheOtherPartsOfCrashingOnes_areServed)
{
    unsigned served = 0;
    constexpr unsigned kRounds = 10;
    for (unsigned i = 0; i < kRounds; ++i) {
        send("a:100,bad:50");
        served += statusOf(send("a:100,c:50")) == 200 ? 1 : 0;
        wait(kPause);
    }
    BOOST_TEST(served == kRounds);
    BOOST_TEST(crashes < kMaxCrashes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
