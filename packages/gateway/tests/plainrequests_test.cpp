// Tests requests with a single complete response: which are retried, which responses are forwarded,
// and which statuses tell the caller that the request did not run.

#include "gatewayfixture.h"

#include "auburn/core/log.h"

namespace auburn::gateway {

using std::chrono::milliseconds;
using End = ScriptedReply::End;

namespace {

ScriptedServer::Handler respondWith(const std::string &bytes, End end = End::KeepOpen)
{
    return [bytes, end](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { bytes } }, .end = end };
    };
}

std::string sealedHead(const std::string &status, const std::string &fields)
{
    return "HTTP/1.1 " + status + " Odd\r\nX-Seal: s\r\n" + fields;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(plainRequests, GatewayFixture)

BOOST_AUTO_TEST_CASE(request_isForwarded_unchangedWithTheDaemonsHeaders)
{
    ScriptedServer &server = addServer("s1", "desk", respondWith(sealed(200, "done")));
    const std::string response = exchange(
            request("POST", "/order/x?y=1", "X-Deadline: 900\r\nX-Org: forged\r\n", "body"));
    BOOST_TEST(statusOf(response) == 200);
    BOOST_TEST(response.find("X-Seal: s") != std::string::npos);
    BOOST_REQUIRE(server.requests().size() == 1U);
    const ScriptedRequest &received = server.requests()[0];
    BOOST_TEST(received.target() == "/order/x?y=1");
    BOOST_TEST(received.body() == "body");
    BOOST_TEST(received["X-Org"] == "org");
    BOOST_TEST(received["X-Server"] == "s1");
    BOOST_TEST(received.count("X-Key") == 0U);
    BOOST_TEST(received.count("X-Org") == 1U);
    const int remaining = std::stoi(std::string(received["X-Deadline"]));
    BOOST_TEST(remaining <= 900);
    BOOST_TEST(remaining > 700);
}

// Guards against a request without its id at the server, which then can't identify its response.
BOOST_AUTO_TEST_CASE(request_connectionFieldNamesTheId_idIsForwarded)
{
    ScriptedServer &server = addServer("s1", "desk", respondWith(sealed(200, "done")));
    exchange(request("POST", "/order/x", "Connection: x-id, X-Extra\r\nX-Extra: 1\r\n", "body"));
    BOOST_REQUIRE(server.requests().size() == 1U);
    const ScriptedRequest &received = server.requests()[0];
    BOOST_TEST(received.count("X-Id") == 1U);
    BOOST_TEST(received.count("X-Extra") == 0U);
}

BOOST_AUTO_TEST_CASE(request_withoutDeadline_getsTheRoutesTimeout)
{
    ScriptedServer &server = addServer("s1", "desk", respondWith(sealed(200, "done")));
    exchange(request("GET", "/read/x"));
    const int remaining = std::stoi(std::string(server.requests()[0]["X-Deadline"]));
    BOOST_TEST(remaining <= 1500);
    BOOST_TEST(remaining > 1300);
}

// At most once: an unsafe request whose response is lost must not be sent again.
BOOST_AUTO_TEST_CASE(unsafe_serverBreaksOff_isNotRepeatedAndPromisesNothing)
{
    ScriptedServer &first = addServer("s1", "desk", respondWith("", End::Reset));
    ScriptedServer &second = addServer("s2", "desk", respondWith("", End::Reset));
    BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 502);
    BOOST_TEST(first.requests().size() + second.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(safe_serverDisconnects_isRetriedElsewhere)
{
    addServer("s1", "desk", respondWith("", End::Close));
    addServer("s2", "desk", respondWith("", End::Close));
    addServer("s3", "desk", respondWith(sealed(200, "yes")));
    unsigned served = 0;
    for (int i = 0; i < 4; ++i)
        served += statusOf(exchange(request("GET", "/read/x"))) == 200 ? 1 : 0;
    BOOST_TEST(served >= 3U);
}

BOOST_AUTO_TEST_CASE(safe_serverError_isRepeatedOnceAndThenPassedOn)
{
    ScriptedServer &first = addServer("s1", "desk", respondWith(sealed(500, "bad")));
    ScriptedServer &second = addServer("s2", "desk", respondWith(sealed(500, "bad")));
    const std::string response = exchange(request("GET", "/read/x"));
    BOOST_TEST(statusOf(response) == 500);
    BOOST_TEST(response.find("X-Seal: s") != std::string::npos);
    BOOST_TEST(first.requests().size() == 1U);
    BOOST_TEST(second.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(unsafe_serverDidNotRunIt_isRetriedElsewhere)
{
    addServer("s1", "desk", respondWith(wholeAnswer(503, "X-Not-Executed: 1\r\n", "")));
    addServer("s2", "desk", respondWith(wholeAnswer(421, "", "")));
    addServer("s3", "desk", respondWith(sealed(200, "yes")));
    BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 200);
}

// Status 503 tells the caller that the request did not run, and when to retry.
BOOST_AUTO_TEST_CASE(unsafe_everyServerIsFull_isRefusedWithARetryTime)
{
    addServer("s1", "desk", respondWith(wholeAnswer(503, "X-Not-Executed: 1\r\n", "")));
    const std::string response = exchange(request("POST", "/order/x", {}, "b"));
    BOOST_TEST(statusOf(response) == 503);
    BOOST_TEST(response.find("Retry-After: ") != std::string::npos);
}

// Guards against a daemon that has just started and sends rejected requests to further servers as
// if the process before it had sent none.
BOOST_AUTO_TEST_CASE(rejections_daemonHasJustStarted_costOneArrivalForEachRequest)
{
    state.retries = routing::RetryBudget({ .allowance = 100 });
    const auto reject = respondWith(wholeAnswer(503, "X-Not-Executed: 1\r\n", ""));
    const ScriptedServer &first = addServer("s1", "desk", reject);
    const ScriptedServer &second = addServer("s2", "desk", reject);
    constexpr unsigned kRequests = 5;
    for (unsigned i = 0; i < kRequests; ++i)
        BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 503);
    BOOST_TEST(first.requests().size() + second.requests().size() == kRequests);
}

// A 503 from a server that may have run the request must not be forwarded, because the caller would
// retry.
BOOST_AUTO_TEST_CASE(unsafe_serverAnswers503AfterRunning_becomesAnUnknownOutcome)
{
    addServer("s1", "desk", respondWith(sealed(503, "")));
    BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 502);
}

BOOST_AUTO_TEST_CASE(safe_successWithoutSeal_isNotPassedOn)
{
    addServer("s1", "desk", respondWith(wholeAnswer(200, "", "spoiled")));
    BOOST_TEST(statusOf(exchange(request("GET", "/read/x"))) == 502);
}

// Guards against a status that no response in the protocol has and that reaches the caller as an
// answer.
BOOST_AUTO_TEST_CASE(status_outsideTheProtocol_isNotPassedOn)
{
    std::string head;
    const auto respond = [&head](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { head + "\r\nno" } }, .end = End::Close };
    };
    addServer("s1", "desk", respond);
    addServer("e1", "engines", respond);
    for (const std::string status : { "000", "007", "099", "600", "999" }) {
        for (const std::string length : { "Content-Length: 2\r\n", "" }) {
            head = sealedHead(status, length);
            for (const char *target : { "/order/x", "/read/x", "/chat/x", "/digest/x" })
                BOOST_TEST(statusOf(exchange(request("POST", target, {}, head))) == 502,
                           head << target);
        }
    }
}

BOOST_AUTO_TEST_CASE(safe_answerIsCutOff_isNotPassedOn)
{
    addServer("s1", "desk",
              respondWith("HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 10\r\n\r\nabc",
                          End::Close));
    BOOST_TEST(statusOf(exchange(request("GET", "/read/x"))) == 502);
}

BOOST_AUTO_TEST_CASE(response_withoutLengthEndsWithClose_isComplete)
{
    addServer("s1", "desk", respondWith("HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\nabc", End::Close));
    const std::string response = exchange(request("POST", "/order/x", {}, "b"));
    BOOST_TEST(statusOf(response) == 200);
    BOOST_TEST(response.substr(response.size() - 3) == "abc");
}

BOOST_AUTO_TEST_CASE(answer_withoutLengthEndsWithReset_isNotWhole)
{
    addServer("s1", "desk", respondWith("HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\nabc", End::Reset));
    BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 502);
}

// A faulty server sends a second response to one request. No caller may receive it.
BOOST_AUTO_TEST_CASE(server_sendsASecondAnswer_connectionIsNotUsedAgain)
{
    ScriptedServer &server = addServer("s1", "desk",
                                       respondWith(sealed(200, "one") + sealed(200, "two")));
    for (int i = 0; i < 3; ++i) {
        const std::string response = exchange(request("GET", "/read/x"));
        BOOST_TEST(response.substr(response.size() - 3) == "one");
    }
    BOOST_TEST(server.connections() == 3U);
}

// Guards against daemons that together keep more idle connections than a server accepts. The server
// then resets new connections, and unsafe requests sent on them may have run.
BOOST_AUTO_TEST_CASE(server_lowConnectionLimitWithManyDaemons_fewStayIdle)
{
    state.liveDaemons = 10;
    ScriptedServer &server = addServer("s1", "desk", [](const ScriptedRequest &received) {
        const std::string id = "X-Id: " + std::string(received["X-Id"]) + "\r\n";
        return ScriptedReply{ .parts = {
                                      { sealed(200, "x", id), std::chrono::milliseconds(100) } } };
    });
    std::vector<std::unique_ptr<ScriptedClient>> clients;
    for (int i = 0; i < 6; ++i) {
        clients.push_back(std::make_unique<ScriptedClient>(io, address));
        clients.back()->send(request("GET", "/read/x"));
    }
    BOOST_TEST(runUntil(io, [&] { return server.closedByPeer() == 4; }));
    runFor(io, std::chrono::milliseconds(50));
    BOOST_TEST(server.connections() == 6U);
    BOOST_TEST(server.closedByPeer() == 4U);
}

BOOST_AUTO_TEST_CASE(server_answersAnEarlierRequestFirst_isToldByItsId)
{
    addServer("s1", "desk", [](const ScriptedRequest &received) {
        const std::string id(received["X-Id"]);
        return ScriptedReply{ .parts = { { sealed(200, "old", "X-Id: other\r\n")
                                           + sealed(200, "own", "X-Id: " + id + "\r\n") } } };
    });
    const std::string response = exchange(request("GET", "/read/x"));
    BOOST_TEST(response.substr(response.size() - 3) == "own");
}

// Guards against reusing a connection that the server closes: the remainder of a body would be read
// as the next request.
BOOST_AUTO_TEST_CASE(server_sendsConnectionClose_connectionIsNotReused)
{
    ScriptedServer &server = addServer("s1", "desk",
                                       respondWith(sealed(200, "x", "Connection: close\r\n")));
    exchange(request("GET", "/read/x"));
    exchange(request("GET", "/read/x"));
    BOOST_TEST(server.connections() == 2U);
}

BOOST_AUTO_TEST_CASE(safe_serverHangs_isRetriedElsewhereBeforeTheDeadline)
{
    const auto hang = [](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { "", milliseconds(5000) } } };
    };
    addServer("s1", "desk", hang);
    addServer("s2", "desk", respondWith(sealed(200, "yes")));
    BOOST_TEST(statusOf(exchange(request("GET", "/read/x"))) == 200);
    BOOST_TEST(statusOf(exchange(request("GET", "/read/x"))) == 200);
}

BOOST_AUTO_TEST_CASE(unsafe_serverHangs_endsAtTheRoutesTimeout)
{
    addServer("s1", "desk", [](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { "", milliseconds(5000) } } };
    });
    const auto begin = std::chrono::steady_clock::now();
    BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 504);
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    BOOST_TEST((elapsed >= milliseconds(1400) && elapsed < milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(server_unreachable_anotherIsUsed)
{
    state.directory.update({ .id = "gone",
                             .service = "desk",
                             .address = "127.0.0.1:1",
                             .failureDomain = "a",
                             .slots = 8 },
                           ++logPosition);
    addServer("s2", "desk", respondWith(sealed(200, "yes")));
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 200);
}

BOOST_AUTO_TEST_CASE(request_withoutAnyServer_is503)
{
    BOOST_TEST(statusOf(exchange(request("POST", "/order/x", {}, "b"))) == 503);
}

BOOST_AUTO_TEST_CASE(crashingRequest_afterThreeCrashes_reachesNoServer)
{
    ScriptedServer &server = addServer("s1", "desk", respondWith("", End::Reset));
    for (int i = 0; i < 6; ++i)
        exchange(request("POST", "/order/poison", {}, "same"));
    BOOST_TEST(server.requests().size() == routing::kCrashLimit);
    BOOST_TEST(statusOf(exchange(request("POST", "/order/poison", {}, "same"))) == 503);
}

// Work for a caller that has disconnected is cancelled, except that of unsafe requests.
BOOST_AUTO_TEST_CASE(callerLeaves_safeRequest_isCancelled)
{
    ScriptedServer &server = addServer("s1", "desk", [](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { "", milliseconds(300) }, { "x" }, { "y" } } };
    });
    ScriptedClient client(io, address);
    client.send(request("GET", "/read/x"));
    BOOST_REQUIRE(runUntil(io, [&] { return server.requests().size() == 1; }));
    client.close();
    BOOST_TEST(runUntil(
            io, [&] { return gateway->requestsInProgress() == 0; }, milliseconds(200)));
}

// Guards against a log entry that reports a request in progress as not run.
BOOST_AUTO_TEST_CASE(callerDisconnects_requestInProgress_logSaysItMayHaveRun)
{
    std::vector<std::string> lines;
    setLogSink([&lines](std::string_view line) { lines.emplace_back(line); });
    ScriptedServer &server = addServer("s1", "desk", [](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { "", milliseconds(300) } } };
    });
    ScriptedClient client(io, address);
    client.send(request("GET", "/read/x"));
    BOOST_REQUIRE(runUntil(io, [&] { return server.requests().size() == 1; }));
    client.close();
    runUntil(
            io, [&] { return gateway->requestsInProgress() == 0; }, milliseconds(200));
    setLogSink({});
    unsigned matchingLines = 0;
    for (const std::string &line : lines) {
        if (line.find("caller_gone") == std::string::npos)
            continue;
        ++matchingLines;
        BOOST_TEST(line.find("verdict=may-have-run") != std::string::npos, line);
    }
    BOOST_TEST(matchingLines == 2U);
}

BOOST_AUTO_TEST_CASE(callerLeaves_order_goesOn)
{
    ScriptedServer &server = addServer("s1", "desk", [](const ScriptedRequest &) {
        return ScriptedReply{ .parts = { { sealed(200, "x"), milliseconds(200) } } };
    });
    ScriptedClient client(io, address);
    client.send(request("POST", "/order/x", {}, "b"));
    BOOST_REQUIRE(runUntil(io, [&] { return server.requests().size() == 1; }));
    client.close();
    runFor(io, milliseconds(100));
    BOOST_TEST(gateway->requestsInProgress() == 1U);
    BOOST_TEST(runUntil(io, [&] { return gateway->requestsInProgress() == 0; }));
    BOOST_TEST(server.closedByPeer() == 0U);
}

// Guards against a request that is parsed from the input while a read into the same buffer is
// pending: the bytes of the next request were taken from a wrong position, and the previous request
// ran again in its place.
BOOST_AUTO_TEST_CASE(pipelinedRequests_arriveDuringResponses_eachRunsOnce)
{
    ScriptedServer &server = addServer("s1", "desk", [](const ScriptedRequest &received) {
        const std::string body = sealed(200, "<" + std::string(received["X-Number"]) + ">");
        return ScriptedReply{ .parts = { { body, milliseconds(100) } } };
    });
    ScriptedClient client(io, address);
    const auto send = [&client](const std::string &number) {
        client.send(request("POST", "/order/x", "X-Number: " + number + "\r\n"));
    };
    send("1");
    runUntil(io, [&] { return server.requests().size() == 1; });
    send("2");
    runUntil(io, [&] { return server.requests().size() == 2; });
    send("3");
    runUntil(
            io, [&] { return client.received().find("<3>") != std::string::npos; },
            milliseconds(1500));
    std::string numbers;
    for (const ScriptedRequest &received : server.requests())
        numbers += std::string(received["X-Number"]);
    BOOST_TEST(numbers == "123");
    BOOST_TEST(client.received().find("<3>") != std::string::npos);
}

// Guards against a connection that is destroyed under its request because too many pipelined bytes
// wait for it to be read any further: the response was written to a dangling pointer.
BOOST_AUTO_TEST_CASE(pipelinedRequests_moreThanTheInputLimit_areAllAnsweredInOrder)
{
    constexpr int kRequests = 20;
    addServer("s1", "desk", [](const ScriptedRequest &received) {
        const std::string body = sealed(200, "<" + std::string(received["X-Number"]) + ">");
        return ScriptedReply{ .parts = { { body, milliseconds(10) } } };
    });
    ScriptedClient client(io, address);
    std::string expected;
    std::string sent;
    for (int i = 0; i < kRequests; ++i) {
        const std::string number = std::to_string(i);
        sent += request("POST", "/order/x", "X-Number: " + number + "\r\n", std::string(9000, 'b'));
        expected += "<" + number + ">";
    }
    client.send(sent);
    const std::string last = "<" + std::to_string(kRequests - 1) + ">";
    runUntil(io, [&] {
        return client.isClosed() || client.received().find(last) != std::string::npos;
    });
    std::string bodies;
    for (std::size_t at = 0; (at = client.received().find('<', at)) != std::string::npos; ++at)
        bodies += client.received().substr(at, client.received().find('>', at) + 1 - at);
    BOOST_TEST(bodies == expected);
    BOOST_TEST(!client.isClosed());
}

BOOST_AUTO_TEST_CASE(drain_requestOnAKeptConnection_isAnsweredAndClosed)
{
    addServer("s1", "desk", respondWith(sealed(200, "yes")));
    ScriptedClient client(io, address);
    client.send(request("GET", "/read/x"));
    BOOST_REQUIRE(runUntil(io, [&] { return isComplete(client.received()); }));
    gateway->drain(milliseconds(2000));
    const std::size_t before = client.received().size();
    client.send(request("GET", "/read/x"));
    BOOST_TEST(runUntil(io, [&] { return client.isClosed(); }));
    const std::string second = client.received().substr(before);
    BOOST_TEST(statusOf(second) == 200);
    BOOST_TEST(second.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(drain_lateRequest_isRefused)
{
    ScriptedServer &server = addServer("s1", "desk", respondWith(sealed(200, "yes")));
    gateway->drain(milliseconds(2000));
    gateway->refuseNewRequests();
    BOOST_TEST(statusOf(exchange(request("GET", "/read/x"))) == 503);
    BOOST_TEST(server.requests().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
