// Tests that requests which violate the protocol, the limits or the configuration get the specified
// error response and reach no backend server.

#include "gatewayfixture.h"

#include "auburn/core/bootclock.h"

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

struct BadInputFixture : GatewayFixture
{
    BadInputFixture()
        : server(addServer("s1", "desk", [](const ScriptedRequest &) {
            return ScriptedReply{ .parts = { { sealed(200, "yes") } } };
        }))
    {}

    using Organisations = decltype(routing::TrafficConfigData::organisations);

    // Puts a configuration with these organisations in force.
    void setOrganisations(Organisations organisations)
    {
        routing::TrafficConfigData data = testConfig();
        data.organisations = std::move(organisations);
        state.config = std::make_shared<const routing::TrafficConfig>(std::move(data));
    }

    // The key field is empty or ends with "\r\n".
    static std::string requestWithKeyField(const std::string &start, const std::string &keyField)
    {
        return start + " HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n" + keyField + "\r\n";
    }

    ScriptedServer &server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(badInput, BadInputFixture)

BOOST_AUTO_TEST_CASE(key_unknownOrMissing_is401)
{
    BOOST_TEST(statusOf(exchange("GET /read/x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: no\r\n\r\n"))
               == 401);
    BOOST_TEST(statusOf(exchange("GET /read/x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n")) == 401);
    BOOST_TEST(server.requests().empty());
}

// Guards against requests with any key, a dropped one or none that run once the operator has
// removed the last organisation.
BOOST_AUTO_TEST_CASE(key_emptyListOfOrganisations_isRequiredButNeverValid)
{
    setOrganisations(std::vector<routing::Organisation>());
    for (const std::string key : { "X-Key: key\r\n", "X-Key: no\r\n", "X-Key: \r\n", "" }) {
        for (const char *start : { "GET /read/x", "POST /order/x" })
            BOOST_TEST(statusOf(exchange(requestWithKeyField(start, key))) == 401);
    }
    BOOST_TEST(server.requests().empty());
    BOOST_TEST(statusOf(exchange("GET /open/x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n")) == 200);
    const routing::Organisation next{ .name = "next", .keys = { "new" } };
    setOrganisations(std::vector{ next });
    BOOST_TEST(statusOf(exchange(request("GET", "/read/x"))) == 401);
    BOOST_TEST(
            statusOf(exchange("GET /read/x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: new\r\n\r\n"))
            == 200);
}

BOOST_AUTO_TEST_CASE(key_noListOfOrganisations_isNotRequired)
{
    setOrganisations({});
    BOOST_TEST(statusOf(exchange("GET /read/x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n")) == 200);
}

BOOST_AUTO_TEST_CASE(publicRoute_withoutKey_isServed)
{
    BOOST_TEST(statusOf(exchange("GET /open/x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n")) == 200);
}

BOOST_AUTO_TEST_CASE(route_unknown_is404)
{
    BOOST_TEST(statusOf(exchange(request("GET", "/nothing"))) == 404);
}

// Guards against request smuggling: a body length with two interpretations would let one request
// hide in another.
BOOST_AUTO_TEST_CASE(framing_ambiguous_is400AndTheConnectionEnds)
{
    const std::string hidden = request("GET", "/read/hidden");
    const std::string texts[] = {
        request("POST", "/order/x", "Content-Length: 3\r\nContent-Length: 4\r\n") + "abcd" + hidden,
        request("POST", "/order/x", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n")
                + "0\r\n\r\n" + hidden,
        request("POST", "/order/x", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n")
                + "0\r\n\r\n" + hidden,
        request("POST", "/order/x", "Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n" + hidden,
        "GET /read/x HTTP/1.1\r\nHost: h\r\nX-Id : 1\r\n\r\n" + hidden,
        // The parser takes these for requests without a body.
        request("POST", "/order/x", "Transfer-Encoding: identity\r\n") + hidden,
        request("POST", "/order/x", "Transfer-Encoding: gzip\r\n") + hidden,
        request("POST", "/order/x", "Transfer-Encoding: chunked, identity\r\n") + hidden,
        request("POST", "/order/x", "Content-Length: 0\r\nContent-Length: 0\r\n") + hidden,
        request("GET", "/read/x", "Host: other\r\n") + hidden,
    };
    for (const std::string &text : texts) {
        ScriptedClient client(io, address);
        client.send(text);
        runUntil(
                io, [&] { return client.isClosed(); }, milliseconds(2500));
        BOOST_TEST(statusOf(client.received()) == 400);
        BOOST_TEST(client.received().rfind("HTTP/1.1") == 0U);
    }
    BOOST_TEST(server.requests().empty());
}

BOOST_AUTO_TEST_CASE(body_chunked_isForwardedWithItsLength)
{
    const std::string text = request("POST", "/order/x", "Transfer-Encoding: chunked\r\n")
                             + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    BOOST_TEST(statusOf(exchange(text)) == 200);
    BOOST_TEST(server.requests()[0].body() == "abcde");
}

BOOST_AUTO_TEST_CASE(body_tooLarge_is413BeforeItIsRead)
{
    const std::string text = request("POST", "/order/x", "Content-Length: 999999\r\n");
    BOOST_TEST(statusOf(exchange(text)) == 413);
}

BOOST_AUTO_TEST_CASE(header_tooLarge_is431)
{
    const std::string text = request("GET", "/read/x",
                                     "X-Long: " + std::string(6000, 'x') + "\r\n");
    BOOST_TEST(statusOf(exchange(text)) == 431);
}

BOOST_AUTO_TEST_CASE(header_manyShortFields_is431)
{
    ScriptedClient client(io, address);
    client.send("GET /read/x HTTP/1.1\r\nHost: h\r\n");
    for (int i = 0; i < 100 && client.received().empty(); ++i) {
        client.send("X-F" + std::to_string(i) + ": " + std::string(60, 'x') + "\r\n");
        runFor(io, milliseconds(1));
    }
    BOOST_TEST(runUntil(io, [&] { return statusOf(client.received()) == 431; }));
}

BOOST_AUTO_TEST_CASE(header_incomplete_is408)
{
    BOOST_TEST(statusOf(exchange("GET /read/x HTTP/1.1\r\nHost: h\r\n")) == 408);
}

BOOST_AUTO_TEST_CASE(configuration_notKnownYet_is503)
{
    state.config = nullptr;
    BOOST_TEST(statusOf(exchange(request("GET", "/read/x"))) == 503);
}

// All daemons have restarted while the store is unavailable. Guards against a retry delay so short
// that callers use up their only retry while the configuration is still missing.
BOOST_AUTO_TEST_CASE(configuration_missingForLong_retryDelayGrows)
{
    const auto retryAfter = [this] {
        const std::string response = exchange(request("GET", "/read/x"));
        const std::string name = "Retry-After: ";
        return std::stod(response.substr(response.find(name) + name.size()));
    };
    state.config = nullptr;
    BOOST_TEST(retryAfter() == 0.5);
    const SuspendedTimeForTest later(milliseconds(1500));
    const double wait = retryAfter();
    BOOST_TEST(wait >= 1.5);
    BOOST_TEST(wait < 2.5);
    const SuspendedTimeForTest muchLater(milliseconds(60000));
    BOOST_TEST(retryAfter() == 3.0);
}

BOOST_AUTO_TEST_CASE(connection_keptOpen_servesTheNextRequest)
{
    ScriptedClient client(io, address);
    client.send(request("GET", "/nothing") + request("GET", "/read/x"));
    BOOST_TEST(runUntil(
            io, [&] { return client.received().find("HTTP/1.1 200") != std::string::npos; }));
    BOOST_TEST(!client.isClosed());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
