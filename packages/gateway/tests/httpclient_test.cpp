#include "auburn/gateway/httpclient.h"

#include "scriptedserver.h"

#include <boost/test/unit_test.hpp>

#include <optional>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

struct HttpClientFixture
{
    HttpReply get(HttpClient &client, milliseconds timeout = milliseconds(1000))
    {
        std::optional<HttpReply> reply;
        unsigned calls = 0;
        client.get("/x", timeout, [&](HttpReply answer) {
            ++calls;
            reply = std::move(answer);
        });
        BOOST_REQUIRE(runUntil(io, [&] { return reply.has_value(); }));
        runFor(io, milliseconds(20));
        BOOST_TEST(calls == 1U);
        return *reply;
    }

    boost::asio::io_context io;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(httpClient, HttpClientFixture)

BOOST_AUTO_TEST_CASE(get_twice_usesOneConnection)
{
    ScriptedServer server(io, [](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { wholeAnswer(200, "", "yes") } } };
    });
    HttpClient client(io, server.address());
    BOOST_TEST(get(client).body == "yes");
    BOOST_TEST(get(client).isSuccess());
    BOOST_TEST(server.connections() == 1U);
}

// A call is never sent twice, also on a connection that the server has just closed.
BOOST_AUTO_TEST_CASE(get_serverClosesWithoutAnswer_oneArrivalAndAnError)
{
    ScriptedServer server(io, [](const ScriptedRequest &) {
        return ScriptedReply{ .end = ScriptedReply::End::Close };
    });
    HttpClient client(io, server.address());
    const HttpReply reply = get(client);
    BOOST_TEST(reply.status == 0);
    BOOST_TEST(!reply.error.empty());
    BOOST_TEST(server.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(get_serverSilent_endsWithinTheTimeLimit)
{
    ScriptedServer server(io, [](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { "", milliseconds(3000) } } };
    });
    HttpClient client(io, server.address());
    BOOST_TEST(!get(client, milliseconds(100)).error.empty());
}

BOOST_AUTO_TEST_CASE(get_nobodyListens_isAnError)
{
    HttpClient client(io, "127.0.0.1:1");
    BOOST_TEST(!get(client).error.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
