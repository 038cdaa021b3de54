// Tests that the bytes held by all connections together stay within the memory of the process,
// whatever callers and faulty servers send, and that small requests are served meanwhile.

#include "gatewayfixture.h"

#include "auburn/core/endpoint.h"
#include "auburn/core/memorybudget.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;
constexpr std::size_t kLimit = 4 * kMegabyte;
// Long enough that all requests of a test are held at the same time.
constexpr milliseconds kHoldTime{ 1000 };

struct MemoryFixture : GatewayFixture
{
    MemoryFixture()
    {
        memoryLimit = kLimit;
        gateway.reset();
        startGateway(placementSource);
    }

    // Lets callers send bodies of up to this number of bytes.
    void allowBodies(std::size_t bytes)
    {
        routing::TrafficConfigData data = testConfig();
        data.limits.bodyBytes = bytes;
        state.config = std::make_shared<const routing::TrafficConfig>(std::move(data));
    }

    // Equal requests would be rejected after some that crash their server.
    static std::vector<std::string> differentRequests(const std::string &target, int count)
    {
        std::vector<std::string> texts;
        texts.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            texts.push_back(request("POST", target, {}, std::to_string(i)));
        return texts;
    }

    // Sends the texts at the same time, each on a connection of its own, and runs the gateway until
    // each has an end. Records the largest number of bytes that the gateway held meanwhile.
    std::vector<std::string> exchangeAll(const std::vector<std::string> &texts)
    {
        std::vector<ScriptedClient> clients;
        clients.reserve(texts.size());
        for (const std::string &text : texts) {
            clients.emplace_back(io, address);
            clients.back().send(text);
        }
        runUntil(io, [&] {
            peakBytes = std::max(peakBytes, gateway->heldBytes());
            return std::all_of(clients.begin(), clients.end(), [](const ScriptedClient &client) {
                return client.isClosed() || isComplete(client.received());
            });
        });
        std::vector<std::string> responses;
        responses.reserve(clients.size());
        for (const ScriptedClient &client : clients)
            responses.push_back(client.received());
        return responses;
    }

    std::size_t peakBytes = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(memoryBudget, MemoryFixture)

BOOST_AUTO_TEST_CASE(holder_growsBeyondTheLimit_keepsItsSize)
{
    const auto budget = std::make_shared<MemoryBudget>(kMegabyte);
    HeldMemory large(budget);
    BOOST_TEST(large.tryResize(kMegabyte / 2));
    BOOST_TEST(!large.tryResize(kMegabyte));
    BOOST_TEST(large.size() == kMegabyte / 2);
    BOOST_TEST(budget->used() == kMegabyte / 2);
}

BOOST_AUTO_TEST_CASE(smallHolder_largeOnesUseTheirPart_stillGrows)
{
    const auto budget = std::make_shared<MemoryBudget>(kMegabyte);
    HeldMemory large(budget);
    BOOST_TEST(large.tryResize(budget->largeHolderLimit()));
    HeldMemory small(budget);
    BOOST_TEST(small.tryResize(MemoryBudget::kSmallHolderBytes));
    BOOST_TEST(!HeldMemory(budget).tryResize(MemoryBudget::kSmallHolderBytes + 1));
}

BOOST_AUTO_TEST_CASE(holder_isMovedAndDestroyed_itsBytesReturnOnce)
{
    const auto budget = std::make_shared<MemoryBudget>(kMegabyte);
    {
        HeldMemory first(budget);
        BOOST_TEST(first.tryResize(1000));
        const HeldMemory second(std::move(first));
        BOOST_TEST(budget->used() == 1000U);
    }
    BOOST_TEST(budget->used() == 0U);
}

// Guards against large requests that exceed the memory of the process together although each is
// within its limit.
BOOST_AUTO_TEST_CASE(largeRequests_manyAtOnce_areRefusedBeyondTheLimit)
{
    constexpr std::size_t kRequests = 12;
    allowBodies(kMegabyte);
    ScriptedServer &desk = addServer("d1", "desk", [](const ScriptedRequest &) {
        return ScriptedReply{ { { sealed(200, "ok"), kHoldTime } } };
    });
    std::vector<std::string> texts;
    texts.reserve(kRequests + 1);
    for (std::size_t i = 0; i < kRequests; ++i)
        texts.push_back(request("POST", "/order/x", {}, std::string(kMegabyte - i, 'b')));
    texts.push_back(request("POST", "/order/small", {}, "small"));
    const auto responses = exchangeAll(texts);
    BOOST_TEST(peakBytes <= kLimit);
    std::size_t served = 0;
    for (std::size_t i = 0; i < kRequests; ++i) {
        const int status = statusOf(responses[i]);
        BOOST_TEST((status == 200 || status == 503));
        served += status == 200 ? 1 : 0;
        BOOST_TEST((status == 200) != (responses[i].find("Retry-After: ") != std::string::npos));
    }
    BOOST_TEST(served >= 2U);
    BOOST_TEST(served * kMegabyte <= kLimit);
    BOOST_TEST(statusOf(responses.back()) == 200);
    BOOST_TEST(desk.requests().size() == served + 1);
    BOOST_TEST(gateway->heldBytes() < kMegabyte / 2);
}

// The same for bodies of unknown length.
BOOST_AUTO_TEST_CASE(largeChunkedRequests_manyAtOnce_areRefusedBeyondTheLimit)
{
    constexpr std::size_t kRequests = 12;
    allowBodies(kMegabyte);
    addServer("d1", "desk", [](const ScriptedRequest &) {
        return ScriptedReply{ { { sealed(200, "ok"), kHoldTime } } };
    });
    std::vector<std::string> texts;
    texts.reserve(kRequests + 1);
    for (std::size_t i = 0; i < kRequests; ++i) {
        std::string text = request("POST", "/order/x", "Transfer-Encoding: chunked\r\n");
        for (int part = 0; part < 10; ++part)
            text += chunk(std::string(100000, 'b'));
        texts.push_back(text + "0\r\n\r\n");
    }
    const auto responses = exchangeAll(texts);
    BOOST_TEST(peakBytes <= kLimit);
    std::size_t served = 0;
    for (const std::string &response : responses) {
        BOOST_TEST((statusOf(response) == 200 || statusOf(response) == 503));
        served += statusOf(response) == 200 ? 1 : 0;
    }
    BOOST_TEST(served * kMegabyte <= kLimit);
}

// Guards against a faulty server that answers many requests with bodies without end: each is
// bounded, but their sum exceeded the memory of the process.
BOOST_AUTO_TEST_CASE(bodiesWithoutEnd_manyAtOnce_stayWithinTheLimit)
{
    const auto endless = [](const ScriptedRequest &) {
        ScriptedReply reply{
            { { "HTTP/1.1 200 OK\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" } }
        };
        for (int i = 0; i < 40; ++i)
            reply.parts.push_back({ chunk(std::string(kMegabyte / 2, 'x')), milliseconds(1) });
        return reply;
    };
    addServer("d1", "desk", endless);
    const auto responses = exchangeAll(differentRequests("/order/x", 10));
    BOOST_TEST(peakBytes <= kLimit);
    BOOST_TEST(peakBytes > kLimit / 4);
    for (const std::string &response : responses)
        BOOST_TEST(statusOf(response) == 502);
    BOOST_TEST(gateway->heldBytes() < kMegabyte / 2);
}

// Guards against the same sum in the output to callers that do not read.
BOOST_AUTO_TEST_CASE(largeResponses_callersDoNotRead_stayWithinTheLimit)
{
    constexpr int kCallers = 10;
    addServer("d1", "desk", [](const ScriptedRequest &) {
        return ScriptedReply{ { { sealed(200, std::string(kMegabyte, 'x')) } } };
    });
    std::vector<boost::asio::ip::tcp::socket> callers;
    for (int i = 0; i < kCallers; ++i) {
        callers.emplace_back(io).connect(*parseEndpoint(address));
        callers.back().set_option(boost::asio::socket_base::receive_buffer_size(4096));
        const std::string text = request("POST", "/order/x", {}, std::to_string(i));
        boost::asio::write(callers.back(), boost::asio::buffer(text));
    }
    runUntil(
            io,
            [&] {
                peakBytes = std::max(peakBytes, gateway->heldBytes());
                return false;
            },
            milliseconds(500));
    BOOST_TEST(peakBytes <= kLimit + 2 * kMegabyte);
    callers.clear();
    BOOST_TEST(runUntil(io, [&] { return gateway->connections() == 0; }));
    BOOST_TEST(gateway->heldBytes() == 0U);
}

// The same for streams, whose events never end.
BOOST_AUTO_TEST_CASE(eventsWithoutEnd_manyAtOnce_stayWithinTheLimit)
{
    addServer("e1", "engines", [](const ScriptedRequest &) {
        ScriptedReply reply{ { { streamHead() } } };
        for (int i = 0; i < 30; ++i)
            reply.parts.push_back(
                    { chunk(std::string(std::size_t{ 32 } * 1024, 'x')), milliseconds(1) });
        reply.parts.push_back({ "", milliseconds(300) });
        return reply;
    });
    exchangeAll(differentRequests("/digest/x", 20));
    BOOST_TEST(peakBytes <= kLimit);
    BOOST_TEST(peakBytes > kLimit / 4);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
