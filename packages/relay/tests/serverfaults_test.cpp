// Tests backend servers that stop inside a response.

#include "relayfixture.h"
#include "scriptedserver.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>

namespace auburn {

using namespace test;
using std::chrono::milliseconds;

namespace {

struct ServerFaultFixture : RelayFixture
{
    ServerFaultFixture()
    {
        options.threads = 1;
        options.backendServers.attempts = 1;
        server_ = standins.run([this] {
            return std::make_unique<ScriptedServer>(
                    standins.context(),
                    [this](const ScriptedRequest &received) { return handler_(received); });
        });
        slots.addBackendServer("s1", server_->address());
    }

    ~ServerFaultFixture()
    {
        server.reset();
        standins.run([this] { server_.reset(); });
    }

    ServerFaultFixture(const ServerFaultFixture &) = delete;
    ServerFaultFixture &operator=(const ServerFaultFixture &) = delete;

    // Sets what the server replies with from now on.
    void setReply(const ScriptedReply &reply)
    {
        setHandler([reply](const ScriptedRequest &) { return reply; });
    }

    void setHandler(const ScriptedServer::Handler &handler)
    {
        standins.run([&] { handler_ = handler; });
    }

    // Makes the server write its first answer again before that to the next request on the
    // connection. Answers are made by the function, from a text and the request.
    void copyFirstAnswer(
            const std::function<std::string(const char *, const ScriptedRequest &)> &answer)
    {
        setHandler([this, answer, first = std::string()](const ScriptedRequest &received) mutable {
            if (first.empty()) {
                first = answer("first", received);
                return ScriptedReply{ { { first } } };
            }
            const std::string second = answer("second", received);
            if (server_->connections() > 1)
                return ScriptedReply{ { { second } } };
            return ScriptedReply{ { { first }, { second, milliseconds(20) } } };
        });
    }

    unsigned connections()
    {
        return standins.run([this] { return server_->connections(); });
    }

    Response send() { return exchange(httpRequest("POST", "/v1/services/svc/x", "", "1")); }

private:
    ScriptedServer::Handler handler_;
    std::unique_ptr<ScriptedServer> server_;
};

// A field that repeats the id of the request.
std::string idField(const ScriptedRequest &received)
{
    return "X-Request-Id: " + std::string(received["X-Request-Id"]) + "\r\n";
}

std::string eventsOf(const std::string &text, const ScriptedRequest &received)
{
    const std::string events = "data: {\"id\":\"" + text + R"(","choices":[]})"
                               + "\n\ndata: [DONE]\n\n";
    return wholeAnswer(200, "Content-Type: text/event-stream\r\n" + idField(received), events);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(relayServerFaults, ServerFaultFixture)

// Guards against a part of an answer, or an empty one, that reaches its caller as the whole.
BOOST_AUTO_TEST_CASE(service_answerEndsAtAnyByte_isASuccessOnlyIfWhole)
{
    serve();
    const std::string whole = wholeAnswer(200, "", "body");
    for (std::size_t size = 0; size <= whole.size(); ++size) {
        setReply({ .parts = { { whole.substr(0, size) } }, .end = ScriptedReply::End::Close });
        const Response response = send();
        BOOST_TEST((response.status == 200) == (size == whole.size()),
                   "after " << size << " bytes");
    }
}

// Guards against a status that no response in the protocol has and that reaches the caller as an
// answer.
BOOST_AUTO_TEST_CASE(service_statusOutsideTheProtocol_isNotPassedOn)
{
    serve();
    for (const std::string status : { "000", "099", "600", "999" }) {
        std::string text = wholeAnswer(200, "", "no");
        text.replace(text.find(' ') + 1, status.size(), status);
        setReply({ { { text } } });
        BOOST_TEST(send().status == 502, status);
    }
}

// Guards against the status of an answer that its server never finished, before the answer to the
// next request on the connection.
BOOST_AUTO_TEST_CASE(service_startOfAnotherAnswerComesFirst_isNotTakenForTheAnswer)
{
    serve();
    setHandler([](const ScriptedRequest &received) {
        return ScriptedReply{ { { wholeAnswer(200, idField(received), "body") } } };
    });
    BOOST_TEST(send().status == 200);
    setReply({ .parts = { { "HTTP/1.1 404 Not Found\r\nX-Note: cu" },
                          { wholeAnswer(200, "", "body"), milliseconds(5) } } });
    BOOST_TEST(send().status == 502);
    BOOST_TEST(connections() == 1U);
}

// Guards against a late copy of an earlier answer that is taken for that to the next request, from
// servers that repeat the id of the request and from those that do not.
BOOST_AUTO_TEST_CASE(service_copyOfAnEarlierAnswerComesLate_isNotBelieved)
{
    options.backendServers.attempts = 2;
    serve();
    copyFirstAnswer([](const char *text, const ScriptedRequest &received) {
        return wholeAnswer(200, idField(received), text);
    });
    BOOST_TEST(send().body == "first");
    BOOST_TEST(send().body == "second");
}

BOOST_AUTO_TEST_CASE(service_copyOfAnEarlierAnswerWithoutIdComesLate_isNotBelieved)
{
    serve();
    copyFirstAnswer(
            [](const char *text, const ScriptedRequest &) { return wholeAnswer(404, "", text); });
    BOOST_TEST(send().body == "first");
    BOOST_TEST(send().body == "second");
}

// Guards against a caller that receives the stream of another one.
BOOST_AUTO_TEST_CASE(stream_copyOfAnEarlierStreamComesLate_isNotBelieved)
{
    options.backendServers.attempts = 2;
    serve();
    copyFirstAnswer(eventsOf);
    const std::string request = chatRequest("hello", true, 1);
    BOOST_TEST(parseStream(exchange(request).body).engineRequestId == "first");
    BOOST_TEST(parseStream(exchange(request).body).engineRequestId == "second");
}

// Guards against a reuse of connections that never happens.
BOOST_AUTO_TEST_CASE(answers_repeatTheId_connectionIsReused)
{
    serve();
    setHandler([](const ScriptedRequest &received) {
        return ScriptedReply{ { { wholeAnswer(200, idField(received), "body") } } };
    });
    BOOST_TEST(send().status == 200);
    BOOST_TEST(send().status == 200);
    setHandler([](const ScriptedRequest &received) {
        return ScriptedReply{ { { eventsOf("stream", received) } } };
    });
    const std::string request = chatRequest("hello", true, 1);
    BOOST_TEST(parseStream(exchange(request).body).done);
    BOOST_TEST(parseStream(exchange(request).body).done);
    BOOST_TEST(connections() == 1U);
}

// Guards against a connection whose answers cannot be told apart carrying another request, and
// against servers that write an id of their own being taken for faulty.
BOOST_AUTO_TEST_CASE(answer_hasNoIdOrAnother_connectionIsNotReused)
{
    serve();
    for (const char *fields : { "", "X-Request-Id: own\r\n" }) {
        const unsigned before = connections();
        setReply({ .parts = { { wholeAnswer(200, fields, "body") } } });
        BOOST_TEST(send().status == 200);
        BOOST_TEST(send().status == 200);
        BOOST_TEST(connections() == before + 2);
    }
}

// Guards against an answer without the id on a reused connection: another server may answer at the
// address, or the answer is left over. It is no evidence of a crash.
BOOST_AUTO_TEST_CASE(answer_hasNoIdOrAnotherOnAReusedConnection_isNotBelieved)
{
    serve();
    for (const char *fields : { "", "X-Request-Id: own\r\n" }) {
        setHandler([](const ScriptedRequest &received) {
            return ScriptedReply{ { { wholeAnswer(200, idField(received), "body") } } };
        });
        BOOST_TEST(send().status == 200);
        setReply({ .parts = { { wholeAnswer(200, fields, "body") } } });
        const Response response = send();
        BOOST_TEST(response.status == 502);
        BOOST_TEST(response.fields.at("Auburn-Verdict") == "may-have-run");
        BOOST_TEST(!slots.released().back().report.crashed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
