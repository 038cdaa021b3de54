// Tests the limits of what the request ids of a connection cover: bytes that have left the socket
// of an idle connection, responses to HEAD requests, and servers that reset further connections.

#include "auburn/gateway/httpclient.h"
#include "connectionpool.h"
#include "gatewayfixture.h"

#include <memory>
#include <optional>
#include <string>

namespace auburn::gateway {

using std::chrono::milliseconds;
using End = ScriptedReply::End;

namespace {

// The number of bytes that an OutboundConnection reads at once.
constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;

// Returns a response of exactly this size.
std::string responseOfSize(std::size_t size)
{
    const std::string head = wholeAnswer(200, "", std::string(size, 'x'));
    const std::size_t headBytes = head.size() - size;
    return wholeAnswer(200, "", std::string(size - headBytes, 'x'));
}

// Returns the connection of a call to the pool when the call ends, and takes the next one at once.
struct ReleasingHandler : CallHandler
{
    ResponseMatch matchResponse(const ResponseHeader & /*header*/) override
    {
        return ResponseMatch::Unidentified;
    }
    void responseStarted(const ResponseHeader & /*header*/) override {}
    void responseData(const std::vector<std::string_view> & /*data*/) override {}
    void callEnded(const CallResult & /*result*/) override
    {
        pool->release(connection, 8);
        next = pool->acquire(connection->address(), milliseconds(10000), "next").connection;
    }

    std::shared_ptr<ConnectionPool> pool;
    std::shared_ptr<OutboundConnection> connection;
    std::shared_ptr<OutboundConnection> next;
};

std::string idField(const ScriptedRequest &received)
{
    return "X-Id: " + std::string(received["X-Id"]) + "\r\n";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(surplusResponses, GatewayFixture)

// Guards against a surplus response that is taken for that to the next call: the read that watches
// an idle connection has taken the bytes from the socket, so that the socket looks quiet.
BOOST_AUTO_TEST_CASE(httpClient_surplusResponseIsReadAheadOfTheNextCall_isNotItsResponse)
{
    const std::string first = responseOfSize(kReadBytes);
    BOOST_REQUIRE(first.size() == kReadBytes);
    unsigned requests = 0;
    ScriptedServer server(io, [&](const ScriptedRequest &) {
        ++requests;
        const std::string bytes = requests == 1 ? first + wholeAnswer(200, "", "surplus")
                                                : wholeAnswer(200, "", "second");
        return ScriptedReply{ { { bytes } } };
    });
    HttpClient client(io, server.address());
    std::optional<HttpResponse> second;
    client.get("/1", milliseconds(1000), [&](const HttpResponse &response) {
        BOOST_TEST(response.body.size() > 1000U);
        client.get("/2", milliseconds(1000), [&](HttpResponse next) { second = std::move(next); });
    });
    BOOST_REQUIRE(runUntil(io, [&] { return second.has_value(); }));
    BOOST_TEST(second->body != "surplus");
}

// The same for the pool of the gateway, where the start of a response makes the next call fail.
BOOST_AUTO_TEST_CASE(connectionPool_surplusBytesAreReadAheadOfTheNextCall_connectionIsNotReused)
{
    ScriptedServer server(io, [](const ScriptedRequest &) {
        return ScriptedReply{ { { responseOfSize(kReadBytes) + "HTTP/1.1 503 Fu" } } };
    });
    ReleasingHandler handler;
    handler.pool = std::make_shared<ConnectionPool>(io);
    handler.connection = std::make_shared<OutboundConnection>(io, server.address());
    handler.connection->call({ .head = "GET / HTTP/1.1\r\nHost: h\r\n\r\n", .requestId = "first" },
                             milliseconds(300), &handler);
    BOOST_REQUIRE(runUntil(io, [&] { return handler.next != nullptr; }));
    BOOST_TEST(!handler.next->isConnected());
}

// Guards against a response to HEAD whose body, which never comes, is waited for.
BOOST_AUTO_TEST_CASE(head_responseHasALength_isComplete)
{
    addServer("s1", "desk", [](const ScriptedRequest &received) {
        return ScriptedReply{ { { "HTTP/1.1 200 OK\r\nX-Seal: s\r\n" + idField(received)
                                  + "Content-Length: 4\r\n\r\n" } } };
    });
    const std::string response = exchange(request("HEAD", "/read/x"));
    BOOST_TEST(statusOf(response) == 200, response);
}

// The same for a refusal, whose promise is lost.
BOOST_AUTO_TEST_CASE(head_refusalHasALength_isComplete)
{
    addServer("s1", "desk", [](const ScriptedRequest &received) {
        return ScriptedReply{ { { "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" + idField(received)
                                  + "Content-Length: 4\r\n\r\n" } } };
    });
    const std::string response = exchange(request("HEAD", "/order/x"));
    BOOST_TEST(statusOf(response) == 503, response);
}

// Guards against the end of a chunked body that follows a response to HEAD: the next response on
// the connection could not be read.
BOOST_AUTO_TEST_CASE(head_streamingRoute_nextResponseFollowsTheHeader)
{
    addServer("e1", "engines", [](const ScriptedRequest &received) {
        return ScriptedReply{ { { "HTTP/1.1 200 OK\r\nX-Seal: s\r\n" + idField(received)
                                  + "Content-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n" } } };
    });
    ScriptedClient client(io, address);
    client.send(request("HEAD", "/chat/x"));
    const std::string headerEnd("\r\n\r\n");
    const auto headSize = [&] {
        const std::size_t at = client.received().find(headerEnd);
        return at == std::string::npos ? at : at + headerEnd.size();
    };
    BOOST_REQUIRE(runUntil(io, [&] { return headSize() != std::string::npos; }));
    BOOST_TEST(statusOf(client.received()) == 200, client.received());
    client.send(request("GET", "/none/x"));
    BOOST_REQUIRE(runUntil(io, [&] { return client.received().size() > headSize() + 8; }));
    const std::string next = client.received().substr(headSize());
    BOOST_TEST(next.starts_with("HTTP/1.1 404"), next);
}

// Guards against an unknown outcome because of the second connection that a repeated id takes: the
// first one stays open and idle, and the server resets those beyond its limit.
BOOST_AUTO_TEST_CASE(serverAcceptsOneConnection_callerRepeatsAnId_requestIsServed)
{
    ScriptedServer *server = nullptr;
    server = &addServer("s1", "desk", [&server](const ScriptedRequest &received) {
        if (server->requests().size() == 1)
            return ScriptedReply{
                { { wholeAnswer(503, "X-Not-Executed: 1\r\n" + idField(received), "") } }
            };
        if (server->connections() - server->closedByPeer() > 1)
            return ScriptedReply{ {}, End::Reset };
        return ScriptedReply{ { { sealed(200, "done", idField(received)) } } };
    });
    const std::string text = request("POST", "/order/x");
    BOOST_TEST(statusOf(exchange(text)) == 503);
    const std::string response = exchange(text);
    BOOST_TEST(statusOf(response) == 200, response);
}

// Guards against requests that fail because the connection that served them was given up at its
// limit of requests: a server with a long queue, or at its limit, resets new connections but goes
// on with those that it has accepted.
BOOST_AUTO_TEST_CASE(serverResetsNewConnections_keptOneCarriesManyRequests_allAreServed)
{
    constexpr unsigned kRequests = 300;
    ScriptedServer *server = nullptr;
    server = &addServer("s1", "desk", [&server](const ScriptedRequest &received) {
        if (server->connections() > 1)
            return ScriptedReply{ {}, End::Reset };
        return ScriptedReply{ { { sealed(200, "done", idField(received)) } } };
    });
    unsigned served = 0;
    for (unsigned i = 0; i < kRequests; ++i)
        served += statusOf(exchange(request("POST", "/order/x"))) == 200 ? 1 : 0;
    BOOST_TEST(served == kRequests);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
