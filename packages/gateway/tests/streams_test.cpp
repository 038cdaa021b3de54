// Streams: events are passed on whole and in order, and a broken one goes on at another server.

#include "gatewayfixture.h"

namespace auburn::gateway {

using std::chrono::milliseconds;
using End = ScriptedReply::End;

namespace {

struct StreamFixture : GatewayFixture
{
    // Events from first to last, then the end.
    static ScriptedReply events(unsigned first, unsigned last, bool complete = true,
                                End end = End::KeepOpen)
    {
        ScriptedReply reply{ .parts = { { streamHead() } }, .end = end };
        for (unsigned id = first; id <= last; ++id)
            reply.parts.push_back({ chunk(event(id)), milliseconds(2) });
        if (complete)
            reply.parts.push_back({ "0\r\n\r\n" });
        return reply;
    }

    // Goes on after the last event that the daemon names.
    static ScriptedServer::Handler resuming(unsigned last)
    {
        return [last](const ScriptedRequest &seen) {
            const auto from = seen["X-Last"];
            const unsigned first = from.empty() ? 1 : std::stoul(std::string(from)) + 1;
            return events(first, last);
        };
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(streams, StreamFixture)

BOOST_AUTO_TEST_CASE(stream_complete_isPassedOn)
{
    addServer("e1", "engines", [](const ScriptedRequest &) { return events(1, 5); });
    const std::string answer = exchange(request("POST", "/chat/x", {}, "b"));
    BOOST_TEST(isComplete(answer));
    BOOST_TEST(chunkedBody(answer) == eventsUpTo(5));
    BOOST_TEST(answer.find("X-Seal: s") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(resumable_serverBreaksOffInAnEvent_goesOnElsewhereWithoutAGap)
{
    const auto breaking = [](const ScriptedRequest &seen) {
        if (!seen["X-Last"].empty())
            return resuming(6)(seen);
        ScriptedReply reply = events(1, 3, false, End::Reset);
        reply.parts.push_back({ chunk("id: 4\nda") });
        return reply;
    };
    addServer("e1", "engines", breaking);
    addServer("e2", "engines", breaking);
    const std::string answer = exchange(request("POST", "/chat/x", {}, "b"));
    BOOST_TEST(isComplete(answer));
    BOOST_TEST(chunkedBody(answer) == eventsUpTo(6));
}

// A server that starts again from the first event must not make events come twice.
BOOST_AUTO_TEST_CASE(resumable_secondServerRepeatsEvents_theyAreLeftOut)
{
    unsigned calls = 0;
    const auto breaking = [&calls](const ScriptedRequest &) {
        return ++calls == 1 ? events(1, 3, false, End::Close) : events(1, 6);
    };
    addServer("e1", "engines", breaking);
    addServer("e2", "engines", breaking);
    BOOST_TEST(chunkedBody(exchange(request("POST", "/chat/x", {}, "b"))) == eventsUpTo(6));
}

BOOST_AUTO_TEST_CASE(resumable_serverGoesSilent_goesOnElsewhere)
{
    const auto silent = [](const ScriptedRequest &seen) {
        if (!seen["X-Last"].empty())
            return resuming(6)(seen);
        ScriptedReply reply = events(1, 2, false);
        reply.parts.push_back({ "", milliseconds(6000) });
        return reply;
    };
    addServer("e1", "engines", silent);
    addServer("e2", "engines", silent);
    const std::string answer = exchange(request("POST", "/chat/x", {}, "b"));
    BOOST_TEST(isComplete(answer));
    BOOST_TEST(chunkedBody(answer) == eventsUpTo(6));
}

// An answer that ends early must not look complete.
BOOST_AUTO_TEST_CASE(notResumable_serverBreaksOff_callerSeesIt)
{
    ScriptedServer &first = addServer("e1", "engines", [](const ScriptedRequest &) {
        return events(1, 3, false, End::Close);
    });
    ScriptedServer &second = addServer("e2", "engines", [](const ScriptedRequest &) {
        return events(1, 3, false, End::Close);
    });
    const std::string answer = exchange(request("POST", "/digest/x", {}, "b"));
    BOOST_TEST(!isComplete(answer));
    BOOST_TEST(chunkedBody(answer) == eventsUpTo(3));
    BOOST_TEST(first.requests().size() + second.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(notResumable_serverBreaksOffBeforeTheFirstEvent_isNotRepeated)
{
    ScriptedServer &server = addServer("e1", "engines", [](const ScriptedRequest &) {
        return ScriptedReply{ .end = End::Reset };
    });
    BOOST_TEST(statusOf(exchange(request("POST", "/digest/x", {}, "b"))) == 502);
    BOOST_TEST(server.requests().size() == 1U);
}

// A stream that may not be resumed must not run again because its server pauses, whatever number of
// attempts its route allows.
BOOST_AUTO_TEST_CASE(notResumable_serverPausesMidway_isNotRepeated)
{
    const auto pausing = [](const ScriptedRequest &) {
        ScriptedReply reply = events(1, 2, false);
        reply.parts.push_back({ chunk(event(3)) + "0\r\n\r\n", milliseconds(1200) });
        return reply;
    };
    ScriptedServer &first = addServer("e1", "engines", pausing);
    ScriptedServer &second = addServer("e2", "engines", pausing);
    const std::string answer = exchange(request("POST", "/once/x", {}, "b"));
    BOOST_TEST(chunkedBody(answer) == eventsUpTo(3));
    BOOST_TEST(first.requests().size() + second.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(stream_longerThanTheRoutesTimeout_isEnded)
{
    addServer("e1", "engines", [](const ScriptedRequest &) {
        ScriptedReply reply = events(1, 2, false);
        reply.parts.push_back({ "", milliseconds(6000) });
        return reply;
    });
    const auto begin = std::chrono::steady_clock::now();
    const std::string answer = exchange(request("POST", "/digest/x", {}, "b"));
    BOOST_TEST(!isComplete(answer));
    BOOST_TEST((std::chrono::steady_clock::now() - begin < milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(callerResumes_lastEventIdIsPassedOn)
{
    ScriptedServer &server = addServer("e1", "engines", resuming(6));
    const std::string answer = exchange(request("POST", "/chat/x", "X-Last: 4\r\n", "b"));
    BOOST_TEST(chunkedBody(answer) == event(5) + event(6));
    BOOST_TEST(server.requests()[0].count("X-Last") == 1U);
}

BOOST_AUTO_TEST_CASE(callerLeavesMidway_serverIsTold)
{
    ScriptedServer &server = addServer("e1", "engines",
                                       [](const ScriptedRequest &) { return events(1, 2000); });
    ScriptedClient client(io, address);
    client.send(request("POST", "/chat/x", {}, "b"));
    BOOST_REQUIRE(runUntil(io, [&] { return client.received().size() > 400; }));
    client.close();
    BOOST_TEST(runUntil(
            io, [&] { return server.closedByPeer() == 1; }, milliseconds(400)));
    BOOST_TEST(gateway->requestsInProgress() == 0U);
}

BOOST_AUTO_TEST_CASE(stream_endsWithPlainError_isPassedOnWhole)
{
    addServer("e1", "engines", [](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { sealed(500, "bad") } } };
    });
    const std::string answer = exchange(request("POST", "/digest/x", {}, "b"));
    BOOST_TEST(statusOf(answer) == 500);
    BOOST_TEST(answer.substr(answer.size() - 3) == "bad");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
