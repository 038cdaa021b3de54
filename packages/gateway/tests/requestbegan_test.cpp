// Tests which requests are reported as begun by a backend server. Each of them is billed, so one
// that is reported twice or not at all is a wrong bill.

#include "gatewayfixture.h"

namespace auburn::gateway {

using std::chrono::milliseconds;
using End = ScriptedReply::End;

namespace {

struct BegunFixture : GatewayFixture
{
    ScriptedServer &serve(const std::string &service, ScriptedReply reply)
    {
        return addServer("s" + std::to_string(servers.size()), service,
                         [reply = std::move(reply)](const ScriptedRequest &) { return reply; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(requestBegan, BegunFixture)

// Guards against a count in the window of the response instead of that of the request.
BOOST_AUTO_TEST_CASE(plain_served_isReportedWithTheTimeSinceItWasSent)
{
    serve("desk", { .parts = { { sealed(200, "done"), milliseconds(60) } } });
    exchange(request("GET", "/read/x"));
    BOOST_REQUIRE(begunRequests.size() == 1U);
    BOOST_TEST(begunRequests[0].organisation == "org");
    BOOST_TEST(begunRequests[0].ago.count() >= 60);
}

// Guards against a count for each attempt.
BOOST_AUTO_TEST_CASE(plain_serverErrorTwice_isReportedOnce)
{
    serve("desk", { .parts = { { sealed(500, "bad") } } });
    serve("desk", { .parts = { { sealed(500, "bad") } } });
    BOOST_TEST(statusOf(exchange(request("GET", "/read/x"))) == 500);
    BOOST_TEST(begunRequests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(plain_rejectedByEveryServer_isNotReported)
{
    serve("desk", { .parts = { { sealed(503, "", "X-Not-Executed: 1\r\n") } } });
    BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 503);
    BOOST_TEST(begunRequests.empty());
}

// The servers may have run the request, although no response arrived.
BOOST_AUTO_TEST_CASE(plain_serversBreakOff_isReportedOnce)
{
    serve("desk", { .end = End::Reset });
    serve("desk", { .end = End::Reset });
    BOOST_TEST(statusOf(exchange(request("GET", "/read/x"))) == 502);
    BOOST_TEST(begunRequests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(plain_serverSilentUntilTheDeadline_isReportedOnce)
{
    serve("desk", {});
    BOOST_TEST(statusOf(exchange(request("POST", "/order/x", "X-Deadline: 200\r\n", "b"))) == 504);
    BOOST_REQUIRE(begunRequests.size() == 1U);
    BOOST_TEST(begunRequests[0].ago.count() >= 100);
}

BOOST_AUTO_TEST_CASE(plain_noServerReachable_isNotReported)
{
    serve("desk", {});
    servers.clear();
    BOOST_TEST(statusOf(exchange(request("GET", "/read/x"))) == 503);
    BOOST_TEST(begunRequests.empty());
}

BOOST_AUTO_TEST_CASE(publicRoute_withoutAKey_isNotReported)
{
    serve("desk", { .parts = { { sealed(200, "done") } } });
    BOOST_TEST(statusOf(exchange("GET /open/x HTTP/1.1\r\nHost: h\r\nX-Id: open\r\n\r\n")) == 200);
    BOOST_TEST(begunRequests.empty());
}

// Guards against a count for the attempt that resumes a stream.
BOOST_AUTO_TEST_CASE(stream_resumedElsewhere_isReportedOnceAtItsFirstEvent)
{
    serve("engines", { .parts = { { streamHead() }, { chunk(event(1)), milliseconds(60) } },
                       .end = End::Reset });
    serve("engines", { .parts = { { streamHead() }, { chunk(event(1)), milliseconds(60) } },
                       .end = End::Reset });
    exchange(request("POST", "/chat/x", {}, "b"));
    BOOST_REQUIRE(begunRequests.size() == 1U);
    BOOST_TEST(begunRequests[0].ago.count() == 0);
}

// A server that was lost or gave up before the first token has produced nothing to bill.
BOOST_AUTO_TEST_CASE(stream_withoutAnEvent_isNotReported)
{
    ScriptedReply comment{ .parts = { { streamHead() }, { chunk(": wait\n\n") } },
                           .end = End::Reset };
    serve("engines", std::move(comment));
    serve("engines", { .parts = { { sealed(504, "late") } } });
    exchange(request("POST", "/chat/x", {}, "b"));
    BOOST_TEST(begunRequests.empty());
}

// Guards against figures that are too low while servers fail streams: a server's own error says
// that it ran the request.
BOOST_AUTO_TEST_CASE(stream_serverErrors_isReportedOnce)
{
    serve("engines", { .parts = { { sealed(500, "bad") } } });
    serve("engines", { .parts = { { sealed(500, "bad") } } });
    BOOST_TEST(statusOf(exchange(request("POST", "/chat/x", {}, "b"))) == 500);
    BOOST_TEST(begunRequests.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
