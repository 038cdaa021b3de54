// Tests that the events of a stream are forwarded complete and in order, and that another server
// resumes a broken stream.

#include "gatewayfixture.h"

namespace auburn::gateway {

using std::chrono::milliseconds;
using End = ScriptedReply::End;

namespace {

struct StreamFixture : GatewayFixture
{
    // Sends the events from first to last, then ends the body if it is complete.
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

    // Resumes after the last event id that the request contains.
    static ScriptedServer::Handler resuming(unsigned last)
    {
        return [last](const ScriptedRequest &received) {
            const auto from = received["X-Last"];
            const unsigned first = from.empty() ? 1 : std::stoul(std::string(from)) + 1;
            return events(first, last);
        };
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(streams, StreamFixture)

BOOST_AUTO_TEST_CASE(stream_complete_isForwarded)
{
    addServer("e1", "engines", [](const ScriptedRequest &) { return events(1, 5); });
    const std::string response = exchange(request("POST", "/chat/x", {}, "b"));
    BOOST_TEST(isComplete(response));
    BOOST_TEST(chunkedBody(response) == eventsUpTo(5));
    BOOST_TEST(response.find("X-Seal: s") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(resumable_serverBreaksOffInAnEvent_goesOnElsewhereWithoutAGap)
{
    const auto breaking = [](const ScriptedRequest &received) {
        if (!received["X-Last"].empty())
            return resuming(6)(received);
        ScriptedReply reply = events(1, 3, false, End::Reset);
        reply.parts.push_back({ chunk("id: 4\nda") });
        return reply;
    };
    addServer("e1", "engines", breaking);
    addServer("e2", "engines", breaking);
    const std::string response = exchange(request("POST", "/chat/x", {}, "b"));
    BOOST_TEST(isComplete(response));
    BOOST_TEST(chunkedBody(response) == eventsUpTo(6));
}

// A server that restarts from the first event must not cause duplicate events.
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

BOOST_AUTO_TEST_CASE(resumable_serverSilent_continuesElsewhere)
{
    const auto silent = [](const ScriptedRequest &received) {
        if (!received["X-Last"].empty())
            return resuming(6)(received);
        ScriptedReply reply = events(1, 2, false);
        reply.parts.push_back({ "", milliseconds(6000) });
        return reply;
    };
    addServer("e1", "engines", silent);
    addServer("e2", "engines", silent);
    const std::string response = exchange(request("POST", "/chat/x", {}, "b"));
    BOOST_TEST(isComplete(response));
    BOOST_TEST(chunkedBody(response) == eventsUpTo(6));
}

// A truncated response must not look complete to the caller.
BOOST_AUTO_TEST_CASE(notResumable_serverBreaksOff_callerSeesIt)
{
    ScriptedServer &first = addServer("e1", "engines", [](const ScriptedRequest &) {
        return events(1, 3, false, End::Close);
    });
    ScriptedServer &second = addServer("e2", "engines", [](const ScriptedRequest &) {
        return events(1, 3, false, End::Close);
    });
    const std::string response = exchange(request("POST", "/digest/x", {}, "b"));
    BOOST_TEST(!isComplete(response));
    BOOST_TEST(chunkedBody(response) == eventsUpTo(3));
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

// A stream that is not resumable must not be retried because its server pauses, regardless of the
// number of attempts that its route allows.
BOOST_AUTO_TEST_CASE(notResumable_serverPausesMidStream_isNotRetried)
{
    const auto pausing = [](const ScriptedRequest &) {
        ScriptedReply reply = events(1, 2, false);
        reply.parts.push_back({ chunk(event(3)) + "0\r\n\r\n", milliseconds(1200) });
        return reply;
    };
    ScriptedServer &first = addServer("e1", "engines", pausing);
    ScriptedServer &second = addServer("e2", "engines", pausing);
    const std::string response = exchange(request("POST", "/once/x", {}, "b"));
    BOOST_TEST(chunkedBody(response) == eventsUpTo(3));
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
    const std::string response = exchange(request("POST", "/digest/x", {}, "b"));
    BOOST_TEST(!isComplete(response));
    BOOST_TEST((std::chrono::steady_clock::now() - begin < milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(callerResumes_withLastEventId_idIsForwarded)
{
    ScriptedServer &server = addServer("e1", "engines", resuming(6));
    const std::string response = exchange(request("POST", "/chat/x", "X-Last: 4\r\n", "b"));
    BOOST_TEST(chunkedBody(response) == event(5) + event(6));
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

// Guards against the text or the head of the next server's error in the middle of a stream that
// has begun, and against such a stream that ends as complete.
BOOST_AUTO_TEST_CASE(resumable_nextServerRespondsWithAnError_streamIsBrokenOffAfterItsEvents)
{
    const std::string marker = "error-text";
    const std::string unframed = "HTTP/1.1 500 Status\r\nX-Seal: s\r\n\r\n" + marker;
    const std::string chunkedError = "HTTP/1.1 502 Status\r\nX-Seal: s\r\nTransfer-Encoding: "
                                     "chunked\r\n\r\n"
                                     + chunk(marker) + "0\r\n\r\n";
    const std::string truncated = "HTTP/1.1 500 Status\r\nX-Seal: s\r\nContent-Length: 100\r\n\r\n"
                                  + marker;
    const std::vector<ScriptedReply> errors = {
        { .parts = { { sealed(500, marker) } } },
        { .parts = { { sealed(404, marker) } } },
        { .parts = { { sealed(503, marker) } } },
        { .parts = { { sealed(302, marker, "Location: /x\r\n") } } },
        { .parts = { { sealed(206, marker) } } },
        { .parts = { { wholeAnswer(200, {}, marker) } } },
        { .parts = { { wholeAnswer(429, "X-Not-Executed: 1\r\n", marker) } } },
        { .parts = { { wholeAnswer(421, {}, marker) } } },
        { .parts = { { sealed(200, marker, "X-Id: other\r\n") } }, .end = End::Close },
        { .parts = { { chunkedError } } },
        { .parts = { { unframed } }, .end = End::Close },
        { .parts = { { unframed } }, .end = End::Reset },
        { .parts = { { truncated } }, .end = End::Close },
        { .parts = { { marker + "\r\n\r\n" } }, .end = End::Close },
    };
    std::size_t index = 0;
    const auto failing = [&](const ScriptedRequest &received) {
        return received["X-Last"].empty() ? events(1, 2, false, End::Close) : errors[index];
    };
    addServer("e1", "engines", failing);
    addServer("e2", "engines", failing);
    for (; index < errors.size(); ++index) {
        BOOST_TEST_CONTEXT("error " << index)
        {
            // Equal requests would be rejected after some that crash their server.
            const std::string response = exchange(
                    request("POST", "/chat/x", {}, std::to_string(index)));
            BOOST_TEST(statusOf(response) == 200);
            BOOST_TEST(!isComplete(response));
            BOOST_TEST(chunkedBody(response) == eventsUpTo(2));
            BOOST_TEST(response.find(marker) == std::string::npos);
            BOOST_TEST(response.find("HTTP/1.1", 1) == std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(stream_serverRespondsWithError_isForwarded)
{
    addServer("e1", "engines", [](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { sealed(500, "bad") } } };
    });
    const std::string response = exchange(request("POST", "/digest/x", {}, "b"));
    BOOST_TEST(statusOf(response) == 500);
    BOOST_TEST(response.substr(response.size() - 3) == "bad");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
