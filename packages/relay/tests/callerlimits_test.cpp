// Tests of what the relay does with callers when memory or connections are short: whom it closes
// first, what its refusals promise, and that requests inside the limits are served as before.

#include "relayfixture.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace auburn {

using namespace test;

namespace {

constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;

struct CallerLimitsFixture : RelayFixture
{
    CallerLimitsFixture() { options.metrics = &metrics; }

    static std::string head(const std::string &target, const std::string &fields)
    {
        return "POST " + target + " HTTP/1.1\r\nAuthorization: Bearer " + std::string(kToken)
               + "\r\n" + fields + "\r\n";
    }

    static std::string chunk(const std::string &text)
    {
        char size[24];
        std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
        return size + text + "\r\n";
    }

    bool areConnections(std::size_t count)
    {
        return waitFor([&] { return server->connections() == count; });
    }

    Metrics metrics;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(callerLimits, CallerLimitsFixture)

// Guards against stalled bodies that keep the memory until the body time, and against a refusal of
// a request that a backend server got.
BOOST_AUTO_TEST_CASE(stalledBodies_memoryShort_refusedAsDidNotRun)
{
    // Seven bodies are above 60% of the limit, and below the 75% at which they are refused at once.
    options.limits.memoryBytes = 10 * kMegabyte;
    addService("s1");
    serve();
    const std::string length = "Content-Length: " + std::to_string(kMegabyte) + "\r\n";
    std::vector<std::unique_ptr<Client>> stalled;
    for (int i = 0; i < 7; ++i) {
        stalled.push_back(std::make_unique<Client>(server->port()));
        stalled.back()->send(head("/v1/services/svc/x", length) + std::string(1000, 'b'));
    }
    const auto isShed = [this] {
        return metrics.text().find("auburn_connections_shed_total{reason=\"memory\"}")
               != std::string::npos;
    };
    BOOST_TEST(waitFor(isShed));
    BOOST_TEST(waitFor([&] { return server->heldBytes() <= 5 * kMegabyte; }));
    std::size_t refused = 0;
    for (const auto &client : stalled) {
        client->send(std::string(kMegabyte - 1000, 'b'));
        const Response response = client->receive();
        if (response.status == 200)
            continue;
        ++refused;
        BOOST_TEST(response.status == 503);
        BOOST_TEST(response.errorCode() == "memory_shortage");
        BOOST_TEST(response.fields.at("Auburn-Verdict") == "did-not-run");
        BOOST_TEST(!response.fields.at("Retry-After").empty());
    }
    BOOST_TEST(refused >= 3U);
    BOOST_TEST(refused < stalled.size());
    BOOST_TEST(serviceArrivals(0) == stalled.size() - refused);
    stalled.clear();
    BOOST_TEST(areConnections(0));
    BOOST_TEST(waitFor([&] { return server->heldBytes() == 0; }));
}

// Guards against a limit that a request inside the documented limits meets, at the smallest memory
// limit that the daemon accepts.
BOOST_AUTO_TEST_CASE(requestAtTheLimits_smallestMemoryLimit_isServed)
{
    options.limits.memoryBytes = 48 * kMegabyte;
    addService("s1");
    serve();
    std::string fields;
    while (fields.size() < 6000)
        fields += "a:\r\n";
    const std::string body(options.limits.bodyBytes, 'b');
    Response response = exchange(
            head("/v1/services/svc/x",
                 fields + "Content-Length: " + std::to_string(body.size()) + "\r\n")
            + body);
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body.size() > body.size());
    std::string chunks;
    for (std::size_t i = 0; i < 200000; ++i)
        chunks += "1\r\nx\r\n";
    response = exchange(head("/v1/services/svc/x", fields + "Transfer-Encoding: chunked\r\n")
                        + chunks + "0\r\nX-Trailer: " + std::string(500, 't') + "\r\n\r\n");
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body.size() > 200000U);
}

// Guards against trailers, or a chunk line, that fill the buffer and keep the connection until the
// body time.
BOOST_AUTO_TEST_CASE(trailers_fillingTheBuffer_refusedAtOnce)
{
    addService("s1");
    serve();
    const std::string start = head("/v1/services/svc/x", "Transfer-Encoding: chunked\r\n")
                              + chunk("x");
    for (const std::string &rest :
         { "0\r\nX-Trailer: " + std::string(40000, 't'), "1;" + std::string(40000, 'e') }) {
        const Response response = exchange(start + rest);
        BOOST_TEST(response.status == 431);
        BOOST_TEST(response.fields.at("Auburn-Verdict") == "did-not-run");
    }
    BOOST_TEST(serviceArrivals(0) == 0U);
}

// Guards against answers that are each within their limit but together exceed the memory, and
// against a refusal that says that such a request did not run.
BOOST_AUTO_TEST_CASE(answer_memoryShort_refusedAsRan)
{
    options.limits.memoryBytes = 4 * kMegabyte;
    addService("s1");
    serve();
    // The request takes its body twice, the answer needs the same again.
    const Response response = exchange(
            httpRequest("POST", "/v1/services/svc/x", "", std::string(5 * kMegabyte / 4, 'b')));
    BOOST_TEST(response.status == 502);
    BOOST_TEST(response.errorCode() == "backend_server_failed");
    BOOST_TEST(response.fields.at("Auburn-Verdict") == "ran");
    // Neither repeated nor held against the backend server.
    BOOST_TEST(serviceArrivals(0) == 1U);
    BOOST_REQUIRE(slots.released().size() == 1U);
    BOOST_CHECK(slots.released()[0].report.outcome == SlotOutcome::Cancelled);
}

// Guards against a crowd of idle connections that keeps a new caller out.
BOOST_AUTO_TEST_CASE(newCaller_allConnectionsIdle_displacesTheOldest)
{
    options.limits.connections = 10;
    // One worker, so that the connections become idle in the order in which they are made.
    options.threads = 1;
    addEngine("r1");
    serve();
    std::vector<std::unique_ptr<Client>> idle;
    for (std::size_t i = 0; i < 10; ++i) {
        idle.push_back(std::make_unique<Client>(server->port()));
        BOOST_TEST(areConnections(i + 1));
    }
    Client caller(server->port());
    caller.send(chatRequest("p", false, 1));
    BOOST_TEST(caller.receive().status == 200);
    BOOST_TEST(idle.front()->waitClosed());
    idle.back()->send(chatRequest("p", false, 1));
    BOOST_TEST(idle.back()->receive().status == 200);
    // The connection that was displaced ends a little later.
    BOOST_TEST(waitFor([&] { return server->connections() <= 10U; }));
}

// Guards against refused callers that keep their connections for the time to read the refusal, so
// that a new caller is closed.
BOOST_AUTO_TEST_CASE(newCaller_allConnectionsRefused_displacesTheOldest)
{
    options.limits.connections = 4;
    addEngine("r1");
    serve();
    std::vector<std::unique_ptr<Client>> refused;
    for (std::size_t i = 0; i < 4; ++i) {
        refused.push_back(std::make_unique<Client>(server->port()));
        refused.back()->send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 9\r\n\r\n");
        BOOST_TEST(refused.back()->receive().status == 401);
    }
    BOOST_TEST(server->connections() == 4U);
    BOOST_TEST(exchange(chatRequest("p", false, 1)).status == 200);
}

// Guards against a new connection that displaces one with a request in progress.
BOOST_AUTO_TEST_CASE(newCaller_allConnectionsBusy_isClosed)
{
    options.limits.connections = 4;
    addEngine("r1");
    slots.setMode(FakeSlots::Mode::Hold);
    serve();
    std::vector<std::unique_ptr<Client>> busy;
    for (std::size_t i = 0; i < 4; ++i) {
        busy.push_back(std::make_unique<Client>(server->port()));
        busy.back()->send(chatRequest("p", false, 1));
    }
    BOOST_TEST(waitFor([&] { return slots.waiting() == 4; }));
    Client refused(server->port());
    BOOST_TEST(refused.waitClosed());
    BOOST_TEST(slots.waiting() == 4U);
    BOOST_TEST(waitFor([&] {
        return metrics.text().find("auburn_connections_shed_total{reason=\"refused\"}")
               != std::string::npos;
    }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
