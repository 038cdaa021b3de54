// Non-idempotent requests with real processes: a backend server never executes one key twice.

#include "auburn/core/lasterror.h"
#include "cluster.h"
#include "httpcaller.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <map>
#include <thread>

namespace auburn::testing {

namespace {

struct OnceFixture
{
    OnceFixture()
    {
        cluster = Cluster::start(
                { .failureDomains = {
                          { .name = "a1", .region = "region-a", .poolBackendServers = 1 },
                          { .name = "a2", .region = "region-a", .poolBackendServers = 1 },
                          { .name = "b1", .region = "region-b", .poolBackendServers = 1 } } });
        BOOST_REQUIRE_MESSAGE(cluster, lastError());
    }

    DaemonSlot &daemon(std::size_t index) const { return cluster->daemons()[index]; }

    HttpRequest order(const DaemonSlot &target, const std::string &key,
                      const std::string &body = "order 1",
                      const std::string &token = "token-standard") const
    {
        return HttpRequest{ .method = "POST",
                            .address = target.callerAddress(),
                            .target = "/v1/services/inventory/orders",
                            .headers = { { "Authorization", "Bearer " + token },
                                         { "Auburn-Non-Idempotent", "true" },
                                         { "Idempotency-Key", key } },
                            .body = body,
                            .timeout = std::chrono::seconds(30) };
    }

    // Executions of each key, summed over all backend servers, as the stand-ins counted them.
    std::map<std::string, int> executions() const
    {
        std::map<std::string, int> counts;
        for (const BackendServerSlot &backendServer : cluster->backendServers()) {
            const HttpAnswer answer = Cluster::get(backendServer.address, "/control/executions");
            const QJsonArray list = QJsonDocument::fromJson(QByteArray::fromStdString(answer.body))
                                            .object()["executions"]
                                            .toArray();
            for (const auto &entry : list)
                ++counts[entry.toObject()["idempotency_key"].toString().toStdString()];
        }
        return counts;
    }

    void controlPlainBackendServers(const std::string &json) const
    {
        for (const BackendServerSlot &backendServer : cluster->backendServers()) {
            if (backendServer.service == "inventory")
                BOOST_REQUIRE(Cluster::control(backendServer.address, json).status == 200);
        }
    }

    void controlLog(const std::string &json) const
    {
        BOOST_REQUIRE(Cluster::control(cluster->logAddress(), json).status == 200);
    }

    std::unique_ptr<Cluster> cluster;
};

bool refusedWith(const HttpAnswer &answer, const std::string &code)
{
    return answer.body.find("\"" + code + "\"") != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(atmostonce, OnceFixture)

// Guards against two daemons that both dispatch one key: the same request enters through all six at
// one moment.
BOOST_AUTO_TEST_CASE(order_sameKeyThroughAllDaemons_runsOnce)
{
    for (int round = 0; round < 10; ++round) {
        const std::string key = makeUuid7();
        std::vector<HttpAnswer> answers(cluster->daemons().size());
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < answers.size(); ++i)
            callers.emplace_back([&, i] { answers[i] = httpCall(order(daemon(i), key)); });
        for (std::thread &caller : callers)
            caller.join();
        int served = 0;
        for (const HttpAnswer &answer : answers) {
            served += answer.status == 200 ? 1 : 0;
            if (answer.status != 200)
                BOOST_TEST((refusedWith(answer, "idempotency_key_held")
                            || refusedWith(answer, "already_completed")),
                           answer.status << " " << answer.body);
        }
        BOOST_TEST(served == 1);
        BOOST_TEST(executions()[key] == 1);
    }
}

// Guards against a repeated key that runs again, with the same body or another one, and against
// keys that are shared between organisations.
BOOST_AUTO_TEST_CASE(order_keyUsedBefore_refusedByReason)
{
    const std::string key = makeUuid7();
    BOOST_REQUIRE(httpCall(order(daemon(0), key)).status == 200);
    BOOST_TEST(waitFor(
            [&] { return refusedWith(httpCall(order(daemon(5), key)), "already_completed"); }));
    BOOST_TEST(refusedWith(httpCall(order(daemon(3), key, "order 2")), "idempotency_key_reused"));
    BOOST_TEST(executions()[key] == 1);
    BOOST_TEST(httpCall(order(daemon(2), key, "order 1", "token-batch")).status == 200);
    BOOST_TEST(executions()[key] == 2);
}

// Guards against a key that outlived its claim on the log.
BOOST_AUTO_TEST_CASE(order_keyOlderThanItsLifetime_refused)
{
    const std::string key = makeUuid7(std::chrono::system_clock::now() - std::chrono::hours(1));
    const HttpAnswer answer = httpCall(order(daemon(0), key));
    BOOST_TEST(refusedWith(answer, "idempotency_key_expired"));
    BOOST_TEST(executions()[key] == 0);
}

// Guards against a backend server that reads the request and closes: the relay must not send it
// again.
BOOST_AUTO_TEST_CASE(order_backendServerClosesAfterReading_mayHaveRunOnce)
{
    controlPlainBackendServers(R"({"action":"drop","count":1})");
    const std::string key = makeUuid7();
    const HttpAnswer answer = httpCall(order(daemon(0), key));
    BOOST_TEST(answer.header("auburn-verdict") == "may-have-run");
    BOOST_TEST(refusedWith(httpCall(order(daemon(4), key)), "idempotency_key_held"));
    BOOST_TEST(executions()[key] == 1);
}

// Guards against a claim that counts twice, or not at all, because the append's answer was lost
// after the effect.
BOOST_AUTO_TEST_CASE(order_claimAnswerLost_runsAtMostOnce)
{
    for (int round = 0; round < 5; ++round) {
        controlLog(R"({"drop_answers":1})");
        const std::string key = makeUuid7();
        const HttpAnswer first = httpCall(order(daemon(0), key));
        const HttpAnswer second = httpCall(order(daemon(3), key));
        BOOST_TEST(executions()[key] <= 1);
        if (first.header("auburn-verdict") == "did-not-run"
            && second.header("auburn-verdict") == "did-not-run")
            BOOST_TEST(executions()[key] == 0);
    }
}

// Guards against a non-idempotent request that waits for, or runs without, the log; idempotent ones
// must go on.
BOOST_AUTO_TEST_CASE(order_logAway_refusedAsDidNotRun)
{
    controlLog(R"({"outage":true})");
    const std::string key = makeUuid7();
    const HttpAnswer refused = httpCall(order(daemon(0), key));
    BOOST_TEST(refused.status == 503, refused.body);
    BOOST_TEST(refused.header("auburn-verdict") == "did-not-run");
    BOOST_TEST(httpCall(cluster->chat(daemon(0), "token-standard", "x", 4)).status == 200);
    controlLog(R"({"outage":false})");
    BOOST_TEST(executions()[key] == 0);
    BOOST_TEST(waitFor([&] { return httpCall(order(daemon(1), key)).status == 200; }));
    BOOST_TEST(executions()[key] == 1);
}

// Guards against a daemon that was frozen between its claim and its dispatch, or whose owner was:
// the caller sends the request through another failure domain meanwhile.
BOOST_AUTO_TEST_CASE(order_daemonFrozenWhileCallerRetries_runsAtMostOnce)
{
    for (int round = 0; round < 6; ++round) {
        const std::string key = makeUuid7();
        HttpAnswer first;
        std::thread caller([&] { first = httpCall(order(daemon(0), key)); });
        std::this_thread::sleep_for(std::chrono::milliseconds(25 * round));
        daemon(0).process->sendSignal(SIGSTOP);
        const HttpAnswer second = httpCall(order(daemon(5), key));
        daemon(0).process->sendSignal(SIGCONT);
        caller.join();
        BOOST_TEST(executions()[key] <= 1);
        if (second.status == 200 || first.status == 200)
            BOOST_TEST(executions()[key] == 1);
    }
}

// Guards against a second execution after the daemon that dispatched the request was killed.
BOOST_AUTO_TEST_CASE(order_daemonKilledAfterDispatch_runsAtMostOnce)
{
    const std::string key = makeUuid7();
    controlPlainBackendServers(R"({"action":"freeze"})");
    HttpAnswer first;
    std::thread caller([&] { first = httpCall(order(daemon(0), key)); });
    // The claim is on the log once the second daemon is told that the key is held.
    BOOST_TEST(waitFor(
            [&] { return refusedWith(httpCall(order(daemon(5), key)), "idempotency_key_held"); }));
    daemon(0).process->sendSignal(SIGKILL);
    caller.join();
    controlPlainBackendServers(R"({"action":"thaw"})");
    for (std::size_t i = 1; i < cluster->daemons().size(); ++i)
        httpCall(order(daemon(i), key));
    BOOST_TEST(executions()[key] <= 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::testing
