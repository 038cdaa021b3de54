#include "relayfixture.h"

#include "engineanswer.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

namespace auburn {

using namespace test;

namespace {

struct StreamingFixture : RelayFixture
{
    StreamText stream(const std::string &prompt, unsigned tokens)
    {
        const Response response = exchange(chatRequest(prompt, true, tokens));
        BOOST_TEST(response.status == 200);
        BOOST_TEST(response.complete);
        return parseStream(response.body);
    }

    static void checkWhole(const StreamText &text, const std::string &prompt, unsigned tokens)
    {
        BOOST_TEST(text.done);
        BOOST_TEST(!text.error);
        BOOST_TEST(!text.mixed);
        BOOST_TEST(text.tokens == tokens);
        BOOST_TEST(text.text == standin::answerText(prompt + "\n", text.engineRequestId, tokens));
    }

    // What came is a prefix of one attempt's answer, and the caller is told that it is no more.
    static void checkBroken(const StreamText &text, const std::string &prompt, unsigned tokens)
    {
        BOOST_TEST(!text.done);
        BOOST_TEST(text.error);
        BOOST_TEST(!text.mixed);
        BOOST_TEST(text.tokens == tokens);
        BOOST_TEST(text.text == standin::answerText(prompt + "\n", text.engineRequestId, tokens));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(streaming, StreamingFixture)

// Guards against lost, repeated or reordered tokens.
BOOST_AUTO_TEST_CASE(stream_healthyBackendServer_whole)
{
    addEngine("r1");
    serve();
    checkWhole(stream("hello", 50), "hello", 50);
    BOOST_TEST(waitFor([this] { return server->inFlight() == 0; }));
    const auto released = slots.released();
    BOOST_REQUIRE(released.size() == 1U);
    BOOST_CHECK(released[0].report.outcome == SlotOutcome::Completed);
    BOOST_TEST(released[0].report.tokens == 50U);
    BOOST_TEST(released[0].report.firstToken.count() > 0);
    BOOST_TEST(released[0].report.tokenGap.count() > 0);
    BOOST_REQUIRE(observer.ends().size() == 1U);
    BOOST_TEST(observer.ends()[0].tokens == 50U);
    BOOST_TEST(observer.ends()[0].wastedTokens == 0U);
}

// Guards against a crash before the first token that the caller notices.
BOOST_AUTO_TEST_CASE(stream_crashBeforeFirstToken_retriedWhole)
{
    addEngine("r1");
    addEngine("r2");
    controlEngine(0, { { "action", "crash_on_word" }, { "word", "boom" } });
    serve();
    checkWhole(stream("boom", 30), "boom", 30);
}

// Guards against a broken connection that ends a stream the backend server could still complete.
BOOST_AUTO_TEST_CASE(stream_cutAfterFirstToken_resumed)
{
    addEngine("r1");
    controlEngine(0, { { "action", "break_streams" }, { "count", 1 }, { "tokens", 5 } });
    serve();
    checkWhole(stream("hello", 40), "hello", 40);
    BOOST_TEST(engineRecord(0).size() == 1U);
}

// Guards against a stream whose backend server is gone looking complete, or going on with another
// attempt's output.
BOOST_AUTO_TEST_CASE(stream_lostAfterFirstToken_errorEventWithoutDone)
{
    addEngine("r1");
    addEngine("r2");
    controlEngine(
            0,
            { { "action", "break_streams" }, { "count", 1 }, { "tokens", 5 }, { "forget", true } });
    serve();
    checkBroken(stream("hello", 40), "hello", 5);
    BOOST_TEST(engineRecord(1).empty());
    BOOST_TEST(waitFor([this] { return server->inFlight() == 0; }));
    BOOST_CHECK(slots.released()[0].report.outcome == SlotOutcome::Failed);
}

// Guards against the same when the whole process dies in the middle of the stream.
BOOST_AUTO_TEST_CASE(stream_crashAfterFirstToken_errorEventWithoutDone)
{
    standin::EngineOptions slow = fastEngine();
    slow.tokensPerSecond = 50;
    addEngine("r1", slow);
    serve();
    Client client(server->port());
    client.send(chatRequest("hello", true, 1000));
    std::string body = client.receiveSome();
    while (body.find("\ndata: {") == std::string::npos)
        body += client.receiveSome();
    controlEngine(0, { { "action", "crash" } });
    for (std::string more = client.receiveSome(); !more.empty(); more = client.receiveSome())
        body += more;
    BOOST_TEST(body.find("event: error") != std::string::npos);
    BOOST_TEST(body.find("[DONE]") == std::string::npos);
}

// Guards against a connection that goes silent in the middle of a stream while new ones work.
BOOST_AUTO_TEST_CASE(stream_connectionGoesSilent_resumedOnNewOne)
{
    items[{ ItemKind::Service, "m" }] = std::make_shared<const Item>(
            Item{ Service{ .name = "m", .idleTimeout = std::chrono::milliseconds(300) }, 1 });
    standin::EngineOptions slow = fastEngine();
    slow.tokensPerSecond = 50;
    addEngine("r1", slow);
    serve();
    Client client(server->port());
    client.send(chatRequest("hello", true, 30));
    BOOST_TEST(waitFor([this] {
        const auto record = engineRecord(0);
        return !record.empty() && record[0].tokens > 3;
    }));
    controlEngine(0, { { "action", "silence" } });
    checkWhole(parseStream(client.receive().body), "hello", 30);
    BOOST_TEST(engineRecord(0).size() == 1U);
}

// Guards against backend servers that keep working for callers that have gone.
BOOST_AUTO_TEST_CASE(stream_callerHangsUp_cancelledAtBackendServer)
{
    addEngine("r1");
    serve();
    Client client(server->port());
    client.send(chatRequest("hello", true, 100000));
    BOOST_TEST(!client.receiveSome().empty());
    client.close();
    BOOST_TEST(waitFor([this] { return engineRecord(0)[0].cancelled; }));
    BOOST_TEST(waitFor([this] { return server->inFlight() == 0; }));
    BOOST_CHECK(slots.released()[0].report.outcome == SlotOutcome::Cancelled);
}

// Guards against the same while a plain answer is being computed.
BOOST_AUTO_TEST_CASE(plain_callerHangsUp_cancelledAtBackendServer)
{
    addEngine("r1");
    serve();
    Client client(server->port());
    client.send(chatRequest("hello", false, 100000));
    BOOST_TEST(waitFor([this] { return !engineRecord(0).empty(); }));
    client.close();
    BOOST_TEST(waitFor([this] { return engineRecord(0)[0].cancelled; }));
}

// Guards against a caller without chunked encoding getting chunk sizes in its text.
BOOST_AUTO_TEST_CASE(stream_http10Caller_plainTextUntilClose)
{
    addEngine("r1");
    serve();
    std::string request = chatRequest("hello", true, 10);
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    const Response response = exchange(request);
    BOOST_TEST(response.fields.count("Transfer-Encoding") == 0U);
    checkWhole(parseStream(response.body), "hello", 10);
}

// Guards against pipelined requests that are lost or answered out of order.
BOOST_AUTO_TEST_CASE(pipelining_threeRequests_answeredInOrder)
{
    addEngine("r1");
    serve();
    Client client(server->port());
    client.send(chatRequest("one", false, 3) + chatRequest("two", true, 4)
                + httpRequest("GET", "/v1/models", "", ""));
    BOOST_TEST(client.receive().json().value("usage").toObject().value("completion_tokens").toInt()
               == 3);
    checkWhole(parseStream(client.receive().body), "two", 4);
    BOOST_TEST(client.receive().body.find("\"id\":\"m\"") != std::string::npos);
}

// Guards against a request that is parsed from the input while a read into the same buffer is
// pending: the previous request ran again in the place of the next one.
BOOST_AUTO_TEST_CASE(pipelining_requestsArriveDuringAnswers_eachRunsOnce)
{
    addEngine("r1");
    serve();
    Client client(server->port());
    client.send(chatRequest("same", false, 401));
    BOOST_TEST(waitFor([&] { return slots.granted() == 1; }));
    client.send(chatRequest("same", false, 402));
    BOOST_TEST(waitFor([&] { return slots.granted() == 2; }));
    client.send(chatRequest("same", false, 403));
    for (const int tokens : { 401, 402, 403 })
        BOOST_TEST(
                client.receive().json().value("usage").toObject().value("completion_tokens").toInt()
                == tokens);
}

// Guards against clients that wait for the go-ahead before they send a body.
BOOST_AUTO_TEST_CASE(expectContinue_bodyFollows_answered)
{
    addEngine("r1");
    serve();
    const std::string request = chatRequest("hello", false, 3, "Expect: 100-continue\r\n");
    const std::size_t bodyBegin = request.find("\r\n\r\n") + 4;
    Client client(server->port());
    client.send(request.substr(0, bodyBegin));
    BOOST_TEST(client.receiveSome() == "HTTP/1.1 100 Continue\r\n\r\n");
    client.send(request.substr(bodyBegin));
    BOOST_TEST(client.receive().status == 200);
}

// Guards against a drain that cuts streams, refuses queued requests or never ends.
BOOST_AUTO_TEST_CASE(drain_underLoad_cutsNothing)
{
    constexpr unsigned kClients = 40;
    options.limits.drainIdleTime = std::chrono::milliseconds(200);
    addEngine("r1");
    addEngine("r2");
    serve();
    std::atomic<unsigned> whole{ 0 };
    std::atomic<unsigned> started{ 0 };
    std::vector<std::thread> clients;
    for (unsigned i = 0; i < kClients; ++i) {
        clients.emplace_back([this, i, &whole, &started] {
            Client client(server->port());
            client.send(chatRequest("p" + std::to_string(i), i % 2 == 0, 100));
            ++started;
            const Response response = client.receive();
            const StreamText text = parseStream(response.body);
            const bool isWhole = i % 2 == 0 ? text.done && text.tokens == 100
                                            : response.status == 200 && response.complete;
            whole += isWhole ? 1 : 0;
        });
    }
    BOOST_TEST(waitFor([&started] { return started == kClients; }));
    std::atomic<unsigned> drained{ 0 };
    server->drain([&drained] { ++drained; });
    for (std::thread &thread : clients)
        thread.join();
    BOOST_TEST(whole == kClients);
    BOOST_TEST(waitFor([&drained] { return drained == 1; }));
    BOOST_TEST(server->inFlight() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
