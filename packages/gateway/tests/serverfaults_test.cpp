// Tests faulty backend servers: endless responses, duplicate responses, and streams that stall or
// send only bytes without progress. Such a request must fail early, use bounded memory and never
// deliver data to the wrong caller.

#include "auburn/gateway/outboundconnection.h"
#include "gatewayfixture.h"

#include <boost/asio/write.hpp>

#include <array>
#include <list>
#include <utility>

namespace auburn::gateway {

using std::chrono::milliseconds;
using End = ScriptedReply::End;
using boost::asio::ip::tcp;

namespace {

// Responds to every request with a prefix and then repeats the same block until the peer closes the
// connection.
class EndlessServer
{
public:
    EndlessServer(boost::asio::io_context &io, std::string prefix, const std::string &block)
        : acceptor_(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , prefix_(std::move(prefix))
    {
        constexpr std::size_t kWriteSize = std::size_t{ 16 } * 1024;
        while (repeatedBlock_.size() < kWriteSize)
            repeatedBlock_ += block;
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    // True if at least one connection was accepted and the peer has closed all of them.
    bool areAllConnectionsClosed() const
    {
        return acceptedConnections_ > 0 && openConnections_ == 0;
    }
    unsigned acceptedConnections() const { return acceptedConnections_; }

private:
    void accept()
    {
        acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            ++acceptedConnections_;
            ++openConnections_;
            tcp::socket &accepted = sockets_.emplace_back(std::move(socket));
            accepted.async_read_some(
                    boost::asio::buffer(buffer_),
                    [this, &accepted](boost::system::error_code error, std::size_t) {
                        if (error)
                            --openConnections_;
                        else
                            write(accepted, prefix_);
                    });
            accept();
        });
    }

    void write(tcp::socket &socket, const std::string &bytes)
    {
        boost::asio::async_write(socket, boost::asio::buffer(bytes),
                                 [this, &socket](boost::system::error_code error, std::size_t) {
                                     if (error)
                                         --openConnections_;
                                     else
                                         write(socket, repeatedBlock_);
                                 });
    }

    tcp::acceptor acceptor_;
    std::list<tcp::socket> sockets_;
    std::array<char, 4096> buffer_{};
    std::string prefix_;
    std::string repeatedBlock_;
    unsigned acceptedConnections_ = 0;
    unsigned openConnections_ = 0;
};

struct ServerFaultFixture : GatewayFixture
{
    // Lets the only server of the service send an endless response. Expects that the request fails
    // long before its deadline and that the connection to the server is closed.
    void expectEarlyFailure(const std::string &service, const std::string &target,
                            const std::string &prefix, const std::string &block)
    {
        EndlessServer server(io, prefix, block);
        state.directory.update({ .id = "endless",
                                 .service = service,
                                 .address = server.address(),
                                 .failureDomain = "a",
                                 .slots = 8 },
                               ++logPosition);
        const auto begin = std::chrono::steady_clock::now();
        const std::string response = exchange(request("POST", target, {}, "b"));
        const auto elapsed = std::chrono::steady_clock::now() - begin;
        BOOST_TEST(!(isComplete(response) && statusOf(response) == 200));
        BOOST_TEST((elapsed < milliseconds(1000)));
        BOOST_TEST(runUntil(
                io, [&] { return server.areAllConnectionsClosed(); }, milliseconds(300)));
        BOOST_TEST(server.acceptedConnections() == 1U);
    }

    static ScriptedReply pausedEvents(unsigned first, unsigned last, milliseconds pause)
    {
        ScriptedReply reply{ .parts = { { streamHead() } } };
        for (unsigned id = first; id <= last; ++id)
            reply.parts.push_back({ chunk(event(id)), pause });
        reply.parts.push_back({ "0\r\n\r\n" });
        return reply;
    }

    // Sends one event, then pieces that complete no further event.
    static ScriptedReply oneEventThen(const std::string &piece, unsigned pieces)
    {
        ScriptedReply reply{ .parts = { { streamHead() }, { chunk(event(1)) } } };
        for (unsigned i = 0; i < pieces; ++i)
            reply.parts.push_back({ chunk(piece), milliseconds(100) });
        return reply;
    }

    static inline const std::string kUnframedStreamHead =
            "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n";
    static constexpr const char *kResponseHead = "HTTP/1.1 200 OK\r\nX-Seal: s\r\n";
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(serverFaults, ServerFaultFixture)

BOOST_AUTO_TEST_CASE(statusLine_withoutEnd_isGivenUp)
{
    expectEarlyFailure("desk", "/order/x", "HTTP/1.1 200 ", "a");
}

BOOST_AUTO_TEST_CASE(head_withoutEnd_isGivenUp)
{
    expectEarlyFailure("desk", "/order/x", "HTTP/1.1 200 OK\r\n", "X-F: abc\r\n");
}

BOOST_AUTO_TEST_CASE(interimAnswers_withoutEnd_areGivenUp)
{
    expectEarlyFailure("desk", "/order/x", "", "HTTP/1.1 100 Continue\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(body_withoutEnd_isGivenUp)
{
    expectEarlyFailure("desk", "/order/x",
                       std::string(kResponseHead) + "Transfer-Encoding: chunked\r\n\r\n",
                       chunk(std::string(1000, 'x')));
}

BOOST_AUTO_TEST_CASE(bodyOfAnotherAnswer_withoutEnd_isGivenUp)
{
    expectEarlyFailure("desk", "/order/x",
                       std::string(kResponseHead)
                               + "X-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
                       chunk(std::string(1000, 'x')));
}

BOOST_AUTO_TEST_CASE(answersToAnotherRequest_withoutEnd_areGivenUp)
{
    expectEarlyFailure("desk", "/order/x", "", sealed(200, "abc", "X-Id: other\r\n"));
}

BOOST_AUTO_TEST_CASE(chunkExtension_withoutEnd_isGivenUp)
{
    expectEarlyFailure("desk", "/order/x",
                       std::string(kResponseHead) + "Transfer-Encoding: chunked\r\n\r\n1;", "a");
}

BOOST_AUTO_TEST_CASE(trailer_withoutEnd_isGivenUp)
{
    expectEarlyFailure("desk", "/order/x",
                       std::string(kResponseHead) + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                       "X-F: abc\r\n");
}

BOOST_AUTO_TEST_CASE(event_withoutEnd_isGivenUp)
{
    expectEarlyFailure("engines", "/digest/x", streamHead(), chunk("data: abc\n"));
}

// The duplicate arrives while the connection carries the request of the next caller.
BOOST_AUTO_TEST_CASE(copyOfAnAnswer_onAConnectionInUse_reachesNobody)
{
    std::string previous;
    ScriptedServer &server = addServer("s1", "desk", [&previous](const ScriptedRequest &received) {
        const std::string id(received["X-Id"]);
        const std::string response = sealed(200, "answer to " + id, "X-Id: " + id + "\r\n");
        const std::string copy = std::exchange(previous, response);
        return ScriptedReply{ .parts = { { copy }, { response, milliseconds(20) } } };
    });
    for (int i = 0; i < 4; ++i) {
        const std::string text = request("POST", "/order/x", {}, "b");
        const std::size_t at = text.find("X-Id: ") + 6;
        const std::string id = text.substr(at, text.find("\r\n", at) - at);
        const std::string response = exchange(text);
        BOOST_TEST(statusOf(response) == 200);
        BOOST_TEST(response.find("answer to " + id) != std::string::npos, response);
    }
    BOOST_TEST(server.connections() == 1U);
}

// A server that echoes the request id must do so in every response. A response without an id on a
// reused connection may belong to an earlier request.
BOOST_AUTO_TEST_CASE(answerWithoutId_afterAnswersWithIds_isNotTrusted)
{
    unsigned calls = 0;
    addServer("s1", "desk", [&calls](const ScriptedRequest &received) {
        const std::string id(received["X-Id"]);
        const std::string fields = calls++ == 0 ? "X-Id: " + id + "\r\n" : std::string();
        return ScriptedReply{ .parts = { { sealed(200, "x", fields) } } };
    });
    BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 200);
    BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 502);
}

// The duplicate arrives between two requests. The connection must not be reused.
BOOST_AUTO_TEST_CASE(copyOfAnAnswer_onAnIdleConnection_endsIt)
{
    ScriptedServer &server = addServer("s1", "desk", [](const ScriptedRequest &received) {
        const std::string response = sealed(200, "x",
                                            "X-Id: " + std::string(received["X-Id"]) + "\r\n");
        return ScriptedReply{ .parts = { { response }, { response, milliseconds(30) } } };
    });
    for (int i = 0; i < 2; ++i) {
        BOOST_TEST(statusOf(exchange(request("GET", "/read/x"))) == 200);
        runFor(io, milliseconds(60));
    }
    BOOST_TEST(server.connections() == 2U);
}

// Every event exceeds the gap target of the route, but none by so much that the stream counts as
// stalled.
BOOST_AUTO_TEST_CASE(slowButSteadyStream_isNotCut)
{
    const auto slow = [](const ScriptedRequest &) { return pausedEvents(1, 6, milliseconds(350)); };
    ScriptedServer &first = addServer("e1", "engines", slow);
    ScriptedServer &second = addServer("e2", "engines", slow);
    BOOST_TEST(chunkedBody(exchange(request("POST", "/chat/x", {}, "b"))) == eventsUpTo(6));
    BOOST_TEST(first.requests().size() + second.requests().size() == 1U);
}

// No other server could resume the stream, so it must not be aborted for its pauses.
BOOST_AUTO_TEST_CASE(slowStream_onlyServer_isNotCut)
{
    ScriptedServer &server = addServer("e1", "engines", [](const ScriptedRequest &) {
        return pausedEvents(1, 4, milliseconds(800));
    });
    BOOST_TEST(chunkedBody(exchange(request("POST", "/chat/x", {}, "b"))) == eventsUpTo(4));
    BOOST_TEST(server.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(stalledStream_sendsAByteNowAndThen_goesOnElsewhere)
{
    const auto stalling = [](const ScriptedRequest &received) {
        return received["X-Last"].empty() ? oneEventThen("d", 60)
                                          : pausedEvents(2, 4, milliseconds(2));
    };
    addServer("e1", "engines", stalling);
    addServer("e2", "engines", stalling);
    const auto begin = std::chrono::steady_clock::now();
    BOOST_TEST(chunkedBody(exchange(request("POST", "/chat/x", {}, "b"))) == eventsUpTo(4));
    BOOST_TEST((std::chrono::steady_clock::now() - begin < milliseconds(1500)));
}

// Comment lines keep a connection open but do not count as progress.
BOOST_AUTO_TEST_CASE(stalledStream_sendsCommentsOnly_goesOnElsewhere)
{
    const auto stalling = [](const ScriptedRequest &received) {
        return received["X-Last"].empty() ? oneEventThen(": wait\n\n", 60)
                                          : pausedEvents(2, 4, milliseconds(2));
    };
    addServer("e1", "engines", stalling);
    addServer("e2", "engines", stalling);
    const auto begin = std::chrono::steady_clock::now();
    const std::string body = chunkedBody(exchange(request("POST", "/chat/x", {}, "b")));
    BOOST_TEST((std::chrono::steady_clock::now() - begin < milliseconds(1500)));
    for (unsigned id = 1; id <= 4; ++id)
        BOOST_TEST(body.find(event(id)) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(stalledStream_sendsAByteNowAndThen_endsAtTheRoutesTimeout)
{
    addServer("e1", "engines", [](const ScriptedRequest &) { return oneEventThen("d", 60); });
    const auto begin = std::chrono::steady_clock::now();
    const std::string response = exchange(request("POST", "/digest/x", {}, "b"));
    BOOST_TEST(!isComplete(response));
    BOOST_TEST((std::chrono::steady_clock::now() - begin < milliseconds(2000)));
}

// The second server is added after the first stall check.
BOOST_AUTO_TEST_CASE(stalledStream_anotherServerComesLater_goesOnThere)
{
    addServer("e1", "engines", [](const ScriptedRequest &) { return oneEventThen("d", 100); });
    ScriptedClient client(io, address);
    client.send(request("POST", "/chat/x", {}, "b"));
    runFor(io, milliseconds(1100));
    addServer("e2", "engines",
              [](const ScriptedRequest &) { return pausedEvents(2, 4, milliseconds(2)); });
    BOOST_TEST(runUntil(
            io, [&] { return isComplete(client.received()); }, milliseconds(1500)));
    BOOST_TEST(chunkedBody(client.received()) == eventsUpTo(4));
}

// The registry removes a server that reports late. Requests in progress on it must run to
// completion.
BOOST_AUTO_TEST_CASE(serverLeavesTheRegistry_itsRunningWorkGoesOn)
{
    ScriptedServer &first = addServer("e1", "engines", [](const ScriptedRequest &) {
        return pausedEvents(1, 6, milliseconds(60));
    });
    ScriptedClient client(io, address);
    client.send(request("POST", "/chat/x", {}, "b"));
    BOOST_REQUIRE(runUntil(io, [&] { return client.received().size() > 200; }));
    state.directory.removeImmediately("e1", ++logPosition);
    state.placement.removeServer("e1");
    ScriptedServer &second = addServer("e2", "engines", [](const ScriptedRequest &) {
        return pausedEvents(1, 6, milliseconds(2));
    });
    BOOST_TEST(runUntil(io, [&] { return isComplete(client.received()); }));
    BOOST_TEST(chunkedBody(client.received()) == eventsUpTo(6));
    BOOST_TEST(first.requests().size() == 1U);
    BOOST_TEST(second.requests().empty());
}

// Guards against a stream without a length that is broken off, at any byte, and ended as complete.
BOOST_AUTO_TEST_CASE(streamWithoutLength_connectionClosesAtAnyByte_isCompleteOnlyAfterAnEvent)
{
    const std::string events = eventsUpTo(2);
    std::size_t sent = 0;
    addServer("s1", "engines", [&](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { kUnframedStreamHead + events.substr(0, sent) } },
                              .end = End::Close };
    });
    for (; sent <= events.size(); ++sent) {
        const bool isAfterEvent = sent == event(1).size() || sent == events.size();
        // Equal requests would be rejected after some that crash their server.
        const std::string response = exchange(
                request("POST", "/digest/x", {}, std::to_string(sent)));
        const bool endedAsComplete = isComplete(response) && statusOf(response) == 200;
        BOOST_TEST(endedAsComplete == isAfterEvent, "cut after " << sent << " bytes");
        BOOST_TEST(statusOf(response) == (sent < event(1).size() ? 502 : 200));
    }
}

// Guards against the orderly close of the connections of a server that crashed being taken for the
// end of a stream.
BOOST_AUTO_TEST_CASE(streamWithoutLength_serverCrashesAfterAnEvent_isBrokenOff)
{
    addServer("s1", "engines", [](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { kUnframedStreamHead + event(1) } }, .end = End::Crash };
    });
    const std::string response = exchange(request("POST", "/digest/x", {}, "b"));
    BOOST_TEST(!isComplete(response));
    BOOST_TEST(chunkedBody(response) == event(1));
}

// The same for a stream that another server can go on with.
BOOST_AUTO_TEST_CASE(resumableStreamWithoutLength_serverCrashesAfterAnEvent_goesOnElsewhere)
{
    const auto crashing = [](const ScriptedRequest &received) {
        if (received["X-Last"].empty())
            return ScriptedReply{ .parts = { { kUnframedStreamHead + event(1) } },
                                  .end = End::Crash };
        return ScriptedReply{ .parts = { { kUnframedStreamHead + event(2) + event(3) } },
                              .end = End::Close };
    };
    addServer("e1", "engines", crashing);
    addServer("e2", "engines", crashing);
    const std::string response = exchange(request("POST", "/chat/x", {}, "b"));
    BOOST_TEST(isComplete(response));
    BOOST_TEST(chunkedBody(response) == eventsUpTo(3));
}

// The same for a response that is no stream: its caller would get a part of the body as a success.
BOOST_AUTO_TEST_CASE(responseWithoutLength_serverCrashes_isNotASuccess)
{
    addServer("s1", "desk", [](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { kResponseHead + std::string("\r\npart of the bo") } },
                              .end = End::Crash };
    });
    BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 502);
}

BOOST_AUTO_TEST_CASE(responseWithoutLength_serverGoesOn_isForwarded)
{
    ScriptedServer &server = addServer("s1", "desk", [](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { kResponseHead + std::string("\r\nthe body") } },
                              .end = End::Close };
    });
    for (int i = 0; i < 3; ++i) {
        const std::string response = exchange(request("POST", "/order/x", {}, "b"));
        BOOST_TEST(statusOf(response) == 200);
        BOOST_TEST(response.substr(response.size() - 8) == "the body");
    }
    BOOST_TEST(server.requests().size() == 3U);
}

// Guards against a stream without a length that breaks off inside an event and is ended as
// complete.
BOOST_AUTO_TEST_CASE(streamWithoutLength_endsInsideAnEvent_isBrokenOff)
{
    addServer("s1", "engines", [](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { kUnframedStreamHead + event(1) + "id: 2\ndata: d" } },
                              .end = End::Close };
    });
    const std::string response = exchange(request("POST", "/digest/x", {}, "b"));
    BOOST_TEST(!isComplete(response));
    BOOST_TEST(chunkedBody(response) == event(1));
}

BOOST_AUTO_TEST_CASE(streamWithoutLength_endsAfterAnEvent_isComplete)
{
    addServer("s1", "engines", [](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { kUnframedStreamHead + eventsUpTo(2) } },
                              .end = End::Close };
    });
    const std::string response = exchange(request("POST", "/digest/x", {}, "b"));
    BOOST_TEST(isComplete(response));
    BOOST_TEST(chunkedBody(response) == eventsUpTo(2));
}

// Guards against a connection that stays paused after the end of a response because its caller was
// slow: the next response on it was never read.
BOOST_AUTO_TEST_CASE(connection_isPausedAtTheEndOfAResponse_isReadInTheNextCall)
{
    struct PausingHandler : CallHandler
    {
        ResponseMatch matchResponse(const ResponseHeader & /*header*/) override
        {
            return ResponseMatch::Unidentified;
        }
        void responseStarted(const ResponseHeader & /*header*/) override {}
        void responseData(const std::vector<std::string_view> & /*data*/) override
        {
            connection->pause();
        }
        void callEnded(const CallResult &result) override
        {
            completed += result.outcome == CallOutcome::Complete ? 1 : 0;
        }
        std::shared_ptr<OutboundConnection> connection;
        unsigned completed = 0;
    };
    const ScriptedServer &server = addServer("s1", "desk", [](const ScriptedRequest &) {
        return ScriptedReply{ { { sealed(200, "x") } } };
    });
    PausingHandler handler;
    handler.connection = std::make_shared<OutboundConnection>(io, server.address());
    for (unsigned call = 1; call <= 3; ++call) {
        handler.connection->call({ .head = "GET / HTTP/1.1\r\nHost: h\r\n\r\n" }, milliseconds(300),
                                 &handler);
        BOOST_TEST(runUntil(
                io, [&] { return handler.completed == call; }, milliseconds(1000)));
        handler.connection->watchIdle([] {});
    }
    BOOST_TEST(server.connections() == 1U);
    handler.connection->close();
}

// Guards against a server that writes an earlier rejection once more on a kept connection: the
// caller would be told that its request has not run while the server runs it, or it would run on a
// second server.
BOOST_AUTO_TEST_CASE(rejectionWithoutId_isRepeatedOnAKeptConnection_isNotTrusted)
{
    const std::string rejection = wholeAnswer(503, "X-Not-Executed: 1\r\n", "");
    const ScriptedServer *server = nullptr;
    server = &addServer("s1", "desk", [&](const ScriptedRequest &received) {
        if (received.target() == "/order/rejected")
            return ScriptedReply{ { { rejection } } };
        const ScriptedPart result{ sealed(200, "done"), milliseconds(100) };
        const bool isKept = server->connections() == 1;
        return isKept ? ScriptedReply{ { { rejection }, result } } : ScriptedReply{ { result } };
    });
    BOOST_TEST(statusOf(exchange(request("POST", "/order/rejected", {}, "b"))) == 503);
    BOOST_TEST(statusOf(exchange(request("POST", "/order/runs", {}, "b"))) == 200);
    BOOST_TEST(server->requests().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
