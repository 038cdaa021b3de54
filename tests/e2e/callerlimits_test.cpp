// Abusive clients against a real daemon of the product's own path: whatever they send and leave
// unread, the daemon stays alive within the bounds of its memory and descriptors, and an ordinary
// request is answered.
//
// Nothing here depends on the speed of the machine: no test checks a time or the share of requests
// that is served. The time limits only end a test whose daemon hangs.

#include "abusiveclient.h"
#include "auburn/core/lasterror.h"
#include "childprocess.h"
#include "cluster.h"
#include "httpcaller.h"
#include "scriptedserver.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace auburn::testing {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;
// Settings of the daemon.
constexpr std::size_t kMemoryLimit = 48 * kMegabyte;
constexpr std::size_t kConnectionLimit = 300;
// Bounds of the process. An idle daemon has about 30 MiB of its own; a connection may need one
// descriptor to its caller and one to a backend server.
constexpr std::size_t kProcessBytes = 128 * kMegabyte;
constexpr std::size_t kProcessDescriptors = 800;
constexpr milliseconds kSendLimit{ 12000 };
// Time in which the abusive clients stay open after they have sent everything.
constexpr milliseconds kHoldTime{ 1500 };
// Longer than the time after which an incomplete body is rejected.
constexpr milliseconds kAnswerLimit{ 45000 };
constexpr milliseconds kRequestTimeout{ 3000 };

std::string requestHead(const std::string &line, const std::string &fields = {})
{
    return line + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer token-standard\r\n"
           + fields;
}

const std::string kChunkedHead = requestHead("POST /v1/chat/completions",
                                             "Transfer-Encoding: chunked\r\n\r\n");

struct CallerLimitsFixture
{
    CallerLimitsFixture()
        : cluster(Cluster::start(
                { .failureDomains = { { .name = "a1",
                                        .region = "region-a",
                                        .daemons = 1,
                                        .poolBackendServers = 1,
                                        .deskBackendServers = 0 } },
                  .daemonEnvironment = {
                          { "AUBURN_MEMORY_LIMIT", std::to_string(kMemoryLimit) },
                          { "AUBURN_CONNECTION_LIMIT", std::to_string(kConnectionLimit) } } }))
    {
        BOOST_REQUIRE_MESSAGE(cluster, lastError());
        BOOST_REQUIRE(isOrdinaryRequestAnswered());
        BOOST_TEST_MESSAGE("memory at start: " << peakMemory() / kKilobyte << " KiB");
    }

    ~CallerLimitsFixture()
    {
        for (const auto &client : clients)
            client->close();
    }

    DaemonSlot &daemon() const { return cluster->daemons().front(); }
    std::size_t peakMemory() const
    {
        return peakResidentBytes(daemon().process->pid()).value_or(0);
    }

    void startClients(unsigned count, AbusiveClient::Load load, const std::string &address)
    {
        const auto shared = std::make_shared<const AbusiveClient::Load>(std::move(load));
        for (unsigned i = 0; i < count; ++i) {
            clients.push_back(std::make_shared<AbusiveClient>(io, shared));
            clients.back()->start(address);
            // A burst larger than the backlog of the listening socket would be dropped.
            if (i % 64 == 63)
                runFor(io, milliseconds(20));
        }
    }

    void startClients(unsigned count, AbusiveClient::Load load)
    {
        startClients(count, std::move(load), daemon().callerAddress());
    }

    // Repeats an ordinary request, each time on a new connection, until it is served.
    bool isOrdinaryRequestAnswered()
    {
        const auto end = std::chrono::steady_clock::now() + kAnswerLimit;
        while (daemon().process->running() && std::chrono::steady_clock::now() < end) {
            HttpRequest request = cluster->chat(daemon(), "token-interactive", "hello", 4);
            request.timeout = kRequestTimeout;
            const HttpAnswer answer = httpCall(request);
            if (answer.status == 200 && !completionText(answer).empty())
                return true;
            // The clients go on meanwhile.
            runFor(io, milliseconds(100));
        }
        return false;
    }

    // Lets the clients send everything and hold their connections, then checks the daemon.
    void checkDaemon()
    {
        const int pid = daemon().process->pid();
        std::size_t descriptors = 0;
        const auto isDone = [&] {
            descriptors = std::max(descriptors, openDescriptors(pid));
            return !daemon().process->running()
                   || std::all_of(clients.begin(), clients.end(),
                                  [](const auto &client) { return client->isDone(); });
        };
        runUntil(io, isDone, kSendLimit);
        runFor(io, kHoldTime);
        descriptors = std::max(descriptors, openDescriptors(pid));
        const bool answered = isOrdinaryRequestAnswered();
        const std::size_t memory = peakMemory();
        BOOST_TEST_MESSAGE("memory: " << memory / kKilobyte
                                      << " KiB, descriptors: " << descriptors);
        // Otherwise nothing was tested.
        BOOST_TEST(std::any_of(clients.begin(), clients.end(),
                               [](const auto &client) { return client->hasConnected(); }));
        BOOST_TEST(descriptors > 0u);
        BOOST_TEST(daemon().process->running());
        BOOST_TEST(answered);
        BOOST_TEST(memory > 0u);
        BOOST_TEST(memory <= kProcessBytes);
        BOOST_TEST(descriptors <= kProcessDescriptors);
    }

    boost::asio::io_context io;
    std::unique_ptr<Cluster> cluster;
    std::vector<std::shared_ptr<AbusiveClient>> clients;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerLimits, CallerLimitsFixture)

// Guards against trailers that wait in the input without a bound: the parser consumes them only
// once they are complete.
BOOST_AUTO_TEST_CASE(trailers_endless_memoryBounded)
{
    startClients(8, { .start = kChunkedHead + chunk(16) + "0\r\n",
                      .block = repeated("X-Trailer: " + std::string(1000, 't') + "\r\n", 32),
                      .repetitions = 1000 });
    checkDaemon();
}

// Guards against bodies that are each within their limit but together exceed the memory.
BOOST_AUTO_TEST_CASE(largeChunks_stoppingShort_memoryBounded)
{
    startClients(60, { .start = kChunkedHead, .block = chunk(256 * kKilobyte), .repetitions = 15 });
    checkDaemon();
}

// Guards against the cost of a chunk of one byte, which is a parser call and a growth of the body.
BOOST_AUTO_TEST_CASE(oneByteChunks_stoppingShort_memoryBounded)
{
    startClients(250, { .start = kChunkedHead,
                        .block = repeated(chunk(1), 8 * kKilobyte),
                        .repetitions = 64 });
    checkDaemon();
}

// Guards against many fields of a few bytes, which take far more memory than the header has bytes,
// while the body of the request does not end.
BOOST_AUTO_TEST_CASE(smallBodies_stoppingShort_memoryBounded)
{
    startClients(400, { .start = requestHead("POST /v1/chat/completions",
                                             repeated("a:\r\n", 3900)
                                                     + "Transfer-Encoding: chunked\r\n\r\n"),
                        .block = chunk(30 * kKilobyte),
                        .repetitions = 2 });
    checkDaemon();
}

// Guards against the same fields in a header that does not end.
BOOST_AUTO_TEST_CASE(shortHeaderFields_headNotEnding_memoryBounded)
{
    startClients(600, { .start = requestHead("GET /v1/models"),
                        .block = repeated("a:\r\n", 3900),
                        .repetitions = 1 });
    checkDaemon();
}

// Guards against bodies of known length that are read before their request is rejected.
BOOST_AUTO_TEST_CASE(bodiesToUnknownPath_stoppingShort_memoryBounded)
{
    startClients(60, { .start = requestHead("POST /unknown", "Content-Length: 4000000\r\n\r\n"),
                       .block = std::string(3900 * kKilobyte, 'x'),
                       .repetitions = 1 });
    checkDaemon();
}

// Guards against requests sent ahead and large answers that are never read.
BOOST_AUTO_TEST_CASE(pipelinedRequests_unreadLargeAnswers_memoryBounded)
{
    // The plain backend server sends the body back.
    startClients(128, { .block = requestHead("POST /v1/services/inventory/x",
                                             "Content-Length: 1048576\r\n\r\n")
                                 + std::string(kMegabyte, 'x'),
                        .repetitions = 16,
                        .reads = false });
    checkDaemon();
}

// Guards against connections that carry a request now and then and are never idle for long enough
// to be closed by the keep-alive time.
BOOST_AUTO_TEST_CASE(idleConnections_moreThanTheLimit_descriptorsBounded)
{
    startClients(1000, { .block = requestHead("GET /v1/models", "\r\n"),
                         .repetitions = 100,
                         .pause = milliseconds(4000) });
    checkDaemon();
}

// Guards against a header without end on the port for probes, which has its own connections.
BOOST_AUTO_TEST_CASE(statusPort_headNotEnding_memoryBounded)
{
    startClients(8,
                 { .start = "GET / HTTP/1.1\r\n",
                   .block = repeated("a:\r\n", 256),
                   .repetitions = 1500,
                   .pause = milliseconds(1) },
                 daemon().statusAddress());
    checkDaemon();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::testing
