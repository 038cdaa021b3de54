#include "auburn/gateway/httpclient.h"

#include "scriptedserver.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <list>
#include <optional>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Responds on each connection as soon as its first bytes arrive, and reads nothing after them.
class EarlyResponseServer
{
public:
    explicit EarlyResponseServer(asio::io_context &io)
        : acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    std::size_t connections() const { return sockets_.size(); }

private:
    void accept()
    {
        acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            tcp::socket &accepted = sockets_.emplace_back(std::move(socket));
            accepted.async_read_some(asio::buffer(buffer_),
                                     [this, &accepted](boost::system::error_code, std::size_t) {
                                         asio::write(accepted, asio::buffer(response_));
                                     });
            accept();
        });
    }

    tcp::acceptor acceptor_;
    std::list<tcp::socket> sockets_;
    std::array<char, 1024> buffer_{};
    const std::string response_ = wholeAnswer(413, "", "too long");
};

struct HttpClientFixture
{
    HttpResponse get(HttpClient &client, milliseconds timeout = milliseconds(1000))
    {
        std::optional<HttpResponse> response;
        unsigned calls = 0;
        client.get("/x", timeout, [&](HttpResponse received) {
            ++calls;
            response = std::move(received);
        });
        BOOST_REQUIRE(runUntil(io, [&] { return response.has_value(); }));
        runFor(io, milliseconds(20));
        BOOST_TEST(calls == 1U);
        return *response;
    }

    boost::asio::io_context io;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(httpClient, HttpClientFixture)

// Guards against a call on a connection that has carried another one, and against connections that
// stay open after their calls.
BOOST_AUTO_TEST_CASE(calls_oneAfterAnother_eachUsesItsOwnConnectionAndClosesIt)
{
    ScriptedServer server(io, [](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { wholeAnswer(200, "", "yes") } } };
    });
    HttpClient client(io, server.address());
    for (unsigned calls = 1; calls <= 3; ++calls) {
        BOOST_TEST(get(client).body == "yes");
        BOOST_TEST(!server.requests().back().keep_alive());
        BOOST_TEST(server.connections() == calls);
        BOOST_TEST(server.closedByPeer() == calls);
    }
}

// A call is never sent twice, even if the server closes the connection without a response.
BOOST_AUTO_TEST_CASE(get_serverClosesWithoutResponse_isSentOnceAndFails)
{
    ScriptedServer server(io, [](const ScriptedRequest &) {
        return ScriptedReply{ .end = ScriptedReply::End::Close };
    });
    HttpClient client(io, server.address());
    const HttpResponse response = get(client);
    BOOST_TEST(response.status == 0);
    BOOST_TEST(!response.error.empty());
    BOOST_TEST(server.requests().size() == 1U);
}

// Guards against a response whose status means nothing and that is taken for the store's word.
BOOST_AUTO_TEST_CASE(get_statusOutsideTheProtocol_isInvalid)
{
    for (const int status : { 0, 99, 600 }) {
        std::string text = wholeAnswer(100 + status, "", "odd");
        const std::string code = std::to_string(1000 + status).substr(1);
        text.replace(text.find(' ') + 1, 3, code);
        ScriptedServer server(io, [text](const ScriptedRequest &) {
            return ScriptedReply{ .parts = { { text } } };
        });
        HttpClient client(io, server.address());
        const HttpResponse response = get(client);
        BOOST_TEST(response.status == 0, code);
        BOOST_TEST(response.isInvalid, code);
        BOOST_TEST(!response.error.empty(), code);
    }
}

BOOST_AUTO_TEST_CASE(get_serverSilent_failsAtTheTimeout)
{
    ScriptedServer server(io, [](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { "", milliseconds(3000) } } };
    });
    HttpClient client(io, server.address());
    BOOST_TEST(!get(client, milliseconds(100)).error.empty());
}

// Guards against reusing a connection whose previous request has not been sent completely: the
// server would read the next request as a part of that one.
BOOST_AUTO_TEST_CASE(post_answeredBeforeItIsSent_itsConnectionIsNotUsedAgain)
{
    EarlyResponseServer server(io);
    HttpClient client(io, server.address());
    // Exceeds the socket buffers of both ends of a connection.
    const std::size_t bodyBytes = std::size_t{ 64 } * 1024 * 1024;
    std::optional<HttpResponse> response;
    client.post("/x", "text/plain", std::string(bodyBytes, 'b'), milliseconds(3000),
                [&](HttpResponse received) { response = std::move(received); });
    BOOST_REQUIRE(runUntil(io, [&] { return response.has_value(); }));
    BOOST_TEST(response->status == 413);
    BOOST_TEST(get(client).status == 413);
    BOOST_TEST(server.connections() == 2U);
}

// Guards against a part of a document that is taken for the whole.
BOOST_AUTO_TEST_CASE(get_responseEndsAtAnyByte_isASuccessOnlyIfWhole)
{
    const std::string whole = wholeAnswer(200, "", "yes");
    std::size_t size = 0;
    ScriptedServer server(io, [&](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { whole.substr(0, size) } },
                              .end = ScriptedReply::End::Close };
    });
    HttpClient client(io, server.address());
    for (; size <= whole.size(); ++size)
        BOOST_TEST(get(client).isSuccess() == (size == whole.size()), "after " << size << " bytes");
}

// Guards against the status of a response that its server never finished, before the response to
// the next request.
BOOST_AUTO_TEST_CASE(get_startOfAnotherResponseComesFirst_fails)
{
    unsigned calls = 0;
    ScriptedServer server(io, [&calls](const ScriptedRequest &) {
        if (++calls == 1)
            return ScriptedReply{ { { wholeAnswer(200, "", "yes") } } };
        return ScriptedReply{ { { "HTTP/1.1 404 Not Found\r\nX-Note: cu" },
                                { wholeAnswer(200, "", "yes"), milliseconds(5) } } };
    });
    HttpClient client(io, server.address());
    BOOST_TEST(get(client).isSuccess());
    const HttpResponse response = get(client);
    BOOST_TEST(response.status == 0);
    BOOST_TEST(!response.error.empty());
}

// Guards against a late copy of an earlier response that is taken for that to the next request.
// These responses carry no request id, so nothing else tells them apart.
BOOST_AUTO_TEST_CASE(get_copyOfAnEarlierResponseComesLate_isNotBelieved)
{
    for (const int status : { 200, 404, 409, 503 }) {
        const std::string first = wholeAnswer(status, "", "first");
        unsigned calls = 0;
        const ScriptedServer *server = nullptr;
        ScriptedServer scripted(io, [&](const ScriptedRequest &) {
            if (++calls == 1)
                return ScriptedReply{ { { first } } };
            const std::string second = wholeAnswer(200, "", "second");
            if (server->connections() > 1)
                return ScriptedReply{ { { second } } };
            return ScriptedReply{ { { first }, { second, milliseconds(20) } } };
        });
        server = &scripted;
        HttpClient client(io, scripted.address());
        BOOST_TEST(get(client).status == status);
        BOOST_TEST(get(client).body == "second", "after status " << status);
    }
}

BOOST_AUTO_TEST_CASE(get_noListener_fails)
{
    HttpClient client(io, "127.0.0.1:1");
    const HttpResponse response = get(client);
    BOOST_TEST(!response.error.empty());
    BOOST_TEST(response.notSent);
}

// Guards against a request that is sent although its condition ended while the client connected.
BOOST_AUTO_TEST_CASE(post_conditionDoesNotHold_isNotSent)
{
    ScriptedServer server(io, [](const ScriptedRequest &) { return ScriptedReply{}; });
    HttpClient client(io, server.address());
    std::optional<HttpResponse> response;
    client.post({ .target = "/x", .sendCondition = [] { return false; } },
                [&](HttpResponse received) { response = std::move(received); });
    BOOST_REQUIRE(runUntil(io, [&] { return response.has_value(); }));
    BOOST_TEST(response->notSent);
    runFor(io, milliseconds(50));
    BOOST_TEST(server.requests().empty());
}

// Guards against the rest of a request that the kernel transmits after the timeout: the connection
// is reset, so a server that had not read the request does not receive it.
BOOST_AUTO_TEST_CASE(post_withConditionTimesOut_resetsTheConnection)
{
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    HttpClient client(io, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    std::optional<HttpResponse> response;
    client.post(
            { .target = "/x", .timeout = milliseconds(100), .sendCondition = [] { return true; } },
            [&](HttpResponse received) { response = std::move(received); });
    tcp::socket accepted = acceptor.accept();
    BOOST_REQUIRE(runUntil(io, [&] { return response.has_value(); }));
    BOOST_TEST(!response->notSent);
    std::array<char, 1024> buffer{};
    boost::system::error_code error;
    while (!error)
        accepted.read_some(asio::buffer(buffer), error);
    BOOST_TEST((error == asio::error::connection_reset));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
