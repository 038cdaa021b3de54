#include "relayfixture.h"

#include "engineanswer.h"

#include <boost/test/unit_test.hpp>

#include <QJsonArray>

namespace auburn {

using namespace test;

namespace {

struct AttemptsFixture : RelayFixture
{
    std::string pay(const std::string &key = "k1")
    {
        return httpRequest("POST", "/v1/services/pay/charge", "Idempotency-Key: " + key + "\r\n",
                           "amount");
    }

    void checkClaims(const std::vector<ExecutionOutcome> &expected)
    {
        BOOST_TEST(waitFor([&] { return claims.finished().size() >= expected.size(); }));
        BOOST_CHECK(claims.finished() == expected);
    }

    // Every granted slot must be given back exactly once.
    void checkSlotsReleased()
    {
        BOOST_TEST(waitFor([this] { return server->inFlight() == 0; }));
        BOOST_TEST(slots.released().size() == slots.granted());
    }
};

std::string contentOf(const Response &response)
{
    const QJsonObject choice = response.json().value("choices").toArray().at(0).toObject();
    return choice.value("message").toObject().value("content").toString().toStdString();
}

// The answer must be whole and from one attempt.
void checkWholeAnswer(const Response &response, const std::string &prompt, unsigned tokens)
{
    BOOST_TEST(response.status == 200);
    const std::string id = response.json().value("id").toString().toStdString();
    BOOST_TEST(id.starts_with(response.fields.at("X-Request-Id")));
    BOOST_TEST(contentOf(response) == standin::answerText(prompt + "\n", id, tokens));
    BOOST_TEST(response.fields.at("Auburn-Verdict") == "ran");
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(attempts, AttemptsFixture)

// Guards against an answer that differs from the engine's, and against wrong routing fields.
BOOST_AUTO_TEST_CASE(chat_plain_wholeAnswer)
{
    addEngine("r1");
    serve();
    checkWholeAnswer(exchange(chatRequest("hello", false, 20, "Auburn-Class: batch\r\n")), "hello",
                     20);
    checkSlotsReleased();
    BOOST_CHECK(slots.released()[0].report.outcome == SlotOutcome::Completed);
    const SlotRequest demand = slots.demands()[0];
    BOOST_TEST(demand.service == "m");
    BOOST_TEST(demand.tier == 7U);
    BOOST_TEST(demand.organisation == "org");
    BOOST_TEST(demand.prefixHash != 0U);
}

// Guards against a plain answer that mixes two attempts when the backend server dies in between.
BOOST_AUTO_TEST_CASE(chat_backendServerCrashes_answerReplacedWhole)
{
    addEngine("r1");
    addEngine("r2");
    controlEngine(0, { { "action", "crash_on_word" }, { "word", "boom" } });
    serve();
    checkWholeAnswer(exchange(chatRequest("boom", false, 20)), "boom", 20);
    checkSlotsReleased();
    const auto released = slots.released();
    BOOST_REQUIRE(released.size() == 2U);
    BOOST_CHECK(released[0].report.outcome == SlotOutcome::Failed);
    BOOST_TEST(released[0].report.fingerprint == slots.demands()[0].fingerprint);
    BOOST_TEST(released[0].report.crashed);
    BOOST_TEST(slots.demands()[1].excludedBackendServers.size() == 1U);
}

// Guards against an unreachable backend server being reported as one that may have run the request.
BOOST_AUTO_TEST_CASE(chat_noBackendServerReachable_didNotRun)
{
    addEngine("r1");
    controlEngine(0, { { "action", "crash" } });
    options.backendServers.attempts = 2;
    serve();
    const Response response = exchange(chatRequest("hello", false, 5));
    BOOST_TEST(response.status == 502);
    BOOST_TEST(response.errorCode() == "backend_server_failed");
    BOOST_TEST(response.fields.at("Auburn-Verdict") == "did-not-run");
    checkSlotsReleased();
    BOOST_TEST(slots.granted() == 2U);
    BOOST_CHECK(slots.released()[0].report.outcome == SlotOutcome::BackendServerUnreachable);
}

// Guards against a backend server that accepts and never answers holding the request until its
// deadline.
BOOST_AUTO_TEST_CASE(chat_silentBackendServer_retriedElsewhere)
{
    items[{ ItemKind::Service, "m" }] = std::make_shared<const Item>(
            Item{ Service{ .name = "m", .idleTimeout = std::chrono::milliseconds(200) }, 1 });
    addEngine("r1");
    addEngine("r2");
    controlEngine(0, { { "action", "freeze" } });
    serve();
    checkWholeAnswer(exchange(chatRequest("hello", false, 5)), "hello", 5);
    checkSlotsReleased();
    // A frozen backend server is not evidence that the request crashes backend servers.
    BOOST_TEST(!slots.released()[0].report.crashed);
}

// Guards against a pooled connection that went silent or was closed being used for the next
// request without a way out.
BOOST_AUTO_TEST_CASE(chat_pooledConnectionDies_requestServed)
{
    items[{ ItemKind::Service, "m" }] = std::make_shared<const Item>(
            Item{ Service{ .name = "m", .idleTimeout = std::chrono::milliseconds(200) }, 1 });
    options.threads = 1;
    addEngine("r1");
    serve();
    checkWholeAnswer(exchange(chatRequest("one", false, 5)), "one", 5);
    controlEngine(0, { { "action", "silence" } });
    checkWholeAnswer(exchange(chatRequest("two", false, 5)), "two", 5);
    checkSlotsReleased();
}

// Guards against retries that multiply the load of a failing pool.
BOOST_AUTO_TEST_CASE(retries_budgetSpent_requestsFail)
{
    options.backendServers.retryShare = 0.1;
    options.backendServers.retryBurst = 2;
    addEngine("r1");
    controlEngine(0, { { "action", "drop" }, { "count", 1000 } });
    serve();
    for (int i = 0; i < 20; ++i) {
        const Response response = exchange(chatRequest("p", false, 2));
        BOOST_TEST(response.errorCode() == "backend_server_failed");
        BOOST_TEST(response.fields.at("Auburn-Verdict") == "may-have-run");
    }
    checkSlotsReleased();
    // 20 first attempts, 2 retries of the initial balance and at most 20 x 0.1 more.
    BOOST_TEST(slots.granted() >= 22U);
    BOOST_TEST(slots.granted() <= 24U);
}

// Guards against a server error of one backend server that reaches the caller although another is
// well.
BOOST_AUTO_TEST_CASE(chat_serverError_retried)
{
    addEngine("r1");
    addEngine("r2");
    controlEngine(0, { { "action", "fail" }, { "count", 1 }, { "status", 503 } });
    serve();
    checkWholeAnswer(exchange(chatRequest("hello", false, 5)), "hello", 5);
}

// Guards against spans and counters that miss or repeat a step.
BOOST_AUTO_TEST_CASE(observer_retriedClaimedRequest_seesEveryStep)
{
    addService("s1");
    addService("s2");
    controlService(0, { { "action", "crash" } });
    serve();
    BOOST_TEST(exchange(pay()).status == 200);
    BOOST_TEST(waitFor([this] { return observer.ends().size() == 1; }));
    const std::vector<std::string> expected{
        "received",      "claimBegin", "won",     "queueBegin", "granted",         "attempt:s1",
        "attemptFailed", "queueBegin", "granted", "attempt:s2", "attemptComplete",
    };
    const auto events = observer.events();
    BOOST_TEST(events == expected, boost::test_tools::per_element());
    const RequestEnd end = observer.ends()[0];
    BOOST_TEST(end.complete);
    BOOST_TEST(end.httpStatus == 200);
    BOOST_TEST(end.attempts == 2U);
    BOOST_TEST(end.bytesToCaller > 0U);
    BOOST_CHECK(end.verdict == Verdict::Ran);
}

// Guards against plain services losing path, query, method or body on the way.
BOOST_AUTO_TEST_CASE(service_plainCall_passedThrough)
{
    addService("s1");
    serve();
    const Response response = exchange(
            httpRequest("PUT", "/v1/services/svc/a/b?c=d", "X-Extra: 1\r\n", "payload"));
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.json().value("path").toString().toStdString() == "/a/b?c=d");
    BOOST_TEST(response.json().value("echo").toString().toStdString() == "payload");
}

// Guards against a non-idempotent request that is sent twice after a backend server read it and
// closed.
BOOST_AUTO_TEST_CASE(nonIdempotent_backendServerReadsAndCloses_oneArrival)
{
    addService("s1");
    addService("s2");
    controlService(0, { { "action", "drop" }, { "count", 1 } });
    serve();
    const Response response = exchange(pay());
    BOOST_TEST(response.status == 502);
    BOOST_TEST(response.fields.at("Auburn-Verdict") == "may-have-run");
    checkClaims({ ExecutionOutcome::Unknown });
    checkSlotsReleased();
    BOOST_TEST(serviceArrivals(0) == 1U);
    BOOST_TEST(serviceArrivals(1) == 0U);
}

// Guards against non-idempotent requests on a pooled connection: the backend server could close it,
// and the outcome would be unknown without need.
BOOST_AUTO_TEST_CASE(nonIdempotent_afterPooledCall_usesFreshConnection)
{
    options.threads = 1;
    addService("s1");
    serve();
    BOOST_TEST(exchange(httpRequest("POST", "/v1/services/svc/x", "", "1")).status == 200);
    controlService(0, { { "action", "silence" } });
    const Response response = exchange(pay());
    BOOST_TEST(response.status == 200);
    checkClaims({ ExecutionOutcome::Completed });
    BOOST_TEST(serviceArrivals(0) == 2U);
}

// Guards against a claim that stays open when no backend server could be reached: a repeat must be
// able to run.
BOOST_AUTO_TEST_CASE(nonIdempotent_backendServerUnreachable_retriedElsewhere)
{
    addService("s1");
    addService("s2");
    controlService(0, { { "action", "crash" } });
    serve();
    BOOST_TEST(exchange(pay()).status == 200);
    checkClaims({ ExecutionOutcome::Completed });
    BOOST_TEST(serviceArrivals(1) == 1U);
}

// Guards against a claim that is not released after the slot was refused.
BOOST_AUTO_TEST_CASE(nonIdempotent_slotRefused_claimReleased)
{
    addService("s1");
    slots.setMode(FakeSlots::Mode::Refuse);
    serve();
    const Response response = exchange(pay());
    BOOST_TEST(response.errorCode() == "overloaded");
    BOOST_TEST(response.fields.at("Auburn-Verdict") == "did-not-run");
    checkClaims({ ExecutionOutcome::Released });
}

// Guards against a dispatch without a claim.
BOOST_AUTO_TEST_CASE(nonIdempotent_claimLost_notDispatched)
{
    addService("s1");
    claims.setMode(FakeClaims::Mode::Lose);
    serve();
    const Response response = exchange(pay());
    BOOST_TEST(response.status == 409);
    BOOST_TEST(response.errorCode() == "already_completed");
    BOOST_TEST(slots.granted() == 0U);
    checkClaims({});
}

// Guards against a claim that is won after the caller has gone and is then never finished, or runs.
BOOST_AUTO_TEST_CASE(nonIdempotent_callerGoneWhileClaiming_claimReleased)
{
    addService("s1");
    claims.setMode(FakeClaims::Mode::Hold);
    serve();
    Client client(server->port());
    client.send(pay());
    BOOST_TEST(waitFor([this] { return claims.held() == 1; }));
    client.close();
    BOOST_TEST(waitFor([this] { return observer.ends().size() == 1; }));
    claims.answerHeld();
    checkClaims({ ExecutionOutcome::Released });
    BOOST_TEST(waitFor([this] { return server->inFlight() == 0; }));
    BOOST_TEST(serviceArrivals(0) == 0U);
}

// Guards against a queued request that stays queued after its caller hung up.
BOOST_AUTO_TEST_CASE(caller_hangsUpWhileQueued_requestWithdrawn)
{
    addEngine("r1");
    slots.setMode(FakeSlots::Mode::Hold);
    serve();
    Client client(server->port());
    client.send(chatRequest("p", false, 5));
    BOOST_TEST(waitFor([this] { return slots.waiting() == 1; }));
    client.close();
    BOOST_TEST(waitFor([this] { return slots.cancelled() == 1; }));
    BOOST_TEST(waitFor([this] { return server->inFlight() == 0; }));
    BOOST_TEST(slots.waiting() == 0U);
}

// Guards against a request that waits beyond the caller's own time limit.
BOOST_AUTO_TEST_CASE(deadline_passesWhileQueued_refused)
{
    addEngine("r1");
    slots.setMode(FakeSlots::Mode::Hold);
    serve();
    const Response response = exchange(chatRequest("p", false, 5, "Auburn-Timeout-Ms: 50\r\n"));
    BOOST_TEST(response.status == 504);
    BOOST_TEST(response.errorCode() == "deadline_exceeded");
    BOOST_TEST(response.fields.at("Auburn-Verdict") == "did-not-run");
    // The answer is sent before the request is withdrawn.
    BOOST_TEST(waitFor([this] { return slots.cancelled() == 1; }));
}

// Guards against one organisation taking more than its share, and against a count that is not given
// back.
BOOST_AUTO_TEST_CASE(organisation_overLimit_refusedUntilDone)
{
    addEngine("r1");
    slots.setMode(FakeSlots::Mode::Hold);
    serve();
    const std::string request = httpRequest("POST", "/v1/chat/completions", "",
                                            chatBody("p", false, 1), "small-token");
    Client first(server->port());
    first.send(request);
    BOOST_TEST(waitFor([this] { return slots.waiting() == 1; }));
    const Response refused = exchange(request);
    BOOST_TEST(refused.errorCode() == "organisation_limit");
    BOOST_TEST(refused.fields.at("Retry-After") == "1");
    first.close();
    BOOST_TEST(waitFor([this] { return server->inFlight() == 0; }));
    slots.setMode(FakeSlots::Mode::Grant);
    BOOST_TEST(exchange(request).status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
