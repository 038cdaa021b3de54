// Tests bytes that a server leaves behind on a kept connection: the start of a response that it
// never finishes, or a response without the id of its request. They arrive where the response to
// the next request is expected, and must not decide what its caller is told.

#include "gatewayfixture.h"

#include <map>
#include <string>

namespace auburn::gateway {

using std::chrono::milliseconds;
using End = ScriptedReply::End;

namespace {

// Time between the bytes that were left behind and the response itself.
constexpr milliseconds kRunTime{ 5 };

struct LeftoverBytesFixture : GatewayFixture
{
    static std::string idField(const ScriptedRequest &received)
    {
        return "X-Id: " + std::string(received["X-Id"]) + "\r\n";
    }

    // Adds a server that responds completely and then, once the connection carries the next
    // request, writes the leftover before the response to that request.
    void addLeftoverServer(const std::string &id, const std::string &service = "desk")
    {
        auto connections = std::make_shared<unsigned>(0);
        const std::size_t index = servers.size();
        addServer(id, service, [this, index, connections](const ScriptedRequest &received) {
            ++executions[std::string(received["X-Id"])];
            const bool isKept = servers[index]->connections() == *connections;
            *connections = servers[index]->connections();
            const std::string response = sealed(status, "done", idField(received));
            if (!isKept)
                return ScriptedReply{ { { response } } };
            ++leftovers;
            return ScriptedReply{ { { leftover }, { response, kRunTime } } };
        });
    }

    // Sends a request, then a second one, and returns the response to the second. Bodies differ
    // because equal requests would be rejected after some that crash their server.
    std::string exchangeTwice(const std::string &target)
    {
        const auto send = [&] {
            return exchange(request("POST", target, {}, std::to_string(++sent)));
        };
        status = 200;
        send();
        status = secondStatus;
        return send();
    }

    std::string leftover;
    // The status of the response to the second request.
    int secondStatus = 200;
    int status = 200;
    unsigned sent = 0;
    unsigned leftovers = 0;
    // Executions by request id.
    std::map<std::string, unsigned> executions;
};

const std::string kRejection = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Reason: queue\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(leftoverBytes, LeftoverBytesFixture)

// Guards against the start of an earlier rejection that joins with the head of the next response:
// the caller would be told that its request has not run although it has.
BOOST_AUTO_TEST_CASE(rejection_stopsAtAnyByteBeforeTheNextResponse_doesNotRejectTheNextRequest)
{
    addLeftoverServer("s1");
    for (std::size_t size = 1; size <= kRejection.size(); ++size) {
        leftover = kRejection.substr(0, size);
        const std::string response = exchangeTwice("/order/x");
        BOOST_TEST(statusOf(response) == 502, "after " << size << " bytes: " << response);
    }
    BOOST_TEST(leftovers == kRejection.size());
}

// The same joined head must not let a second server run the request.
BOOST_AUTO_TEST_CASE(rejection_stopsInsideAField_doesNotLetASecondServerRunTheNextRequest)
{
    addLeftoverServer("s1");
    addLeftoverServer("s2");
    leftover = kRejection.substr(0, kRejection.find("queue") + 2);
    for (unsigned i = 0; i < 10; ++i)
        exchangeTwice("/order/x");
    BOOST_TEST(leftovers > 0U);
    for (const auto &[id, count] : executions)
        BOOST_TEST(count == 1U, id << " ran " << count << " times");
}

// Guards against a failure that a caller gets as a success, and the reverse, because an earlier
// status joined with the head of the response.
BOOST_AUTO_TEST_CASE(head_stopsInsideAField_itsStatusIsNotTakenForTheNextResponse)
{
    struct Case
    {
        int leftoverStatus;
        int status;
    };
    addLeftoverServer("s1");
    for (const Case &item :
         { Case{ 200, 500 }, Case{ 200, 404 }, Case{ 204, 200 }, Case{ 404, 200 }, Case{ 421, 200 },
           Case{ 429, 200 }, Case{ 500, 200 } }) {
        leftover = "HTTP/1.1 " + std::to_string(item.leftoverStatus) + " Status\r\nX-Note: cut";
        secondStatus = item.status;
        const std::string response = exchangeTwice("/order/x");
        BOOST_TEST(statusOf(response) == 502,
                   item.leftoverStatus << " before " << item.status << ": " << response);
    }
}

// The status line itself may be cut, also that of an interim response.
BOOST_AUTO_TEST_CASE(statusLine_stopsInsideItsReason_isNotTakenForTheNextResponse)
{
    addLeftoverServer("s1");
    for (const char *line : { "HTTP/1.1 503 Ful", "HTTP/1.1 503 ", "HTTP/1.1 100 Con" }) {
        leftover = line;
        const std::string response = exchangeTwice("/order/x");
        BOOST_TEST(statusOf(response) == 502, line << ": " << response);
    }
}

// A request that may be repeated is sent to another server instead.
BOOST_AUTO_TEST_CASE(rejection_stopsInsideAField_safeRequestIsServedElsewhere)
{
    addLeftoverServer("s1");
    addLeftoverServer("s2");
    leftover = kRejection.substr(0, kRejection.find("queue") + 2);
    for (unsigned i = 0; i < 5; ++i)
        BOOST_TEST(statusOf(exchangeTwice("/read/x")) == 200);
    BOOST_TEST(leftovers > 0U);
}

// Guards against a server that leaves the ids out: a rejection that it writes late would be taken
// for that of the next request.
BOOST_AUTO_TEST_CASE(rejectionWithoutId_comesLateAfterASuccessWithoutId_isNotTrusted)
{
    const std::string rejection = wholeAnswer(503, "X-Not-Executed: 1\r\n", "");
    for (const int first : { 200, 404, 500 }) {
        unsigned connections = 0;
        const std::size_t index = servers.size();
        const std::string id = "s" + std::to_string(first);
        addServer(id, "desk", [&, index](const ScriptedRequest &received) {
            const bool isFirst = received.target() == "/order/first";
            const bool isKept = servers[index]->connections() == connections;
            connections = servers[index]->connections();
            const ScriptedPart response{ sealed(isFirst ? first : 200, "done"), kRunTime };
            return isKept ? ScriptedReply{ { { rejection }, response } }
                          : ScriptedReply{ { response } };
        });
        BOOST_TEST(statusOf(exchange(request("POST", "/order/first", {}, id))) == first);
        BOOST_TEST(statusOf(exchange(request("POST", "/order/second", {}, id))) == 200,
                   "after status " << first);
        state.directory.removeImmediately(id, ++logPosition);
        state.placement.removeServer(id);
    }
}

// Guards against a server that stops inside a response and closes: its caller would get a part of
// the body, or an empty one, as a success.
BOOST_AUTO_TEST_CASE(response_endsAtAnyByte_isASuccessOnlyIfWhole)
{
    std::string bytes;
    End end = End::Close;
    addServer("s1", "desk", [&](const ScriptedRequest &) {
        return ScriptedReply{ { { bytes } }, end };
    });
    const std::string head = "HTTP/1.1 200 OK\r\nX-Seal: s\r\n";
    for (const std::string &whole : { head + "Content-Length: 4\r\n\r\nbody",
                                      head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("bo")
                                              + chunk("dy") + "0\r\n\r\n" }) {
        for (const End how : { End::Close, End::Reset }) {
            end = how;
            for (std::size_t size = 0; size < whole.size(); ++size) {
                bytes = whole.substr(0, size);
                const std::string response = exchange(
                        request("POST", "/order/x", {}, std::to_string(++sent)));
                BOOST_TEST(statusOf(response) == 502, "after " << size << " bytes: " << response);
            }
        }
        end = End::Close;
        bytes = whole;
        const std::string response = exchange(
                request("POST", "/order/x", {}, std::to_string(++sent)));
        BOOST_TEST(statusOf(response) == 200);
    }
}

// The same for a stream of events in chunks.
BOOST_AUTO_TEST_CASE(stream_endsAtAnyByte_isCompleteOnlyIfWhole)
{
    const std::string whole = streamHead() + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n";
    std::string bytes;
    addServer("e1", "engines", [&](const ScriptedRequest &) {
        return ScriptedReply{ { { bytes } }, End::Close };
    });
    for (std::size_t size = 0; size <= whole.size(); ++size) {
        bytes = whole.substr(0, size);
        const std::string response = exchange(
                request("POST", "/digest/x", {}, std::to_string(++sent)));
        const bool endedAsComplete = isComplete(response) && statusOf(response) == 200;
        BOOST_TEST(endedAsComplete == (size == whole.size()),
                   "after " << size << " bytes: " << response);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
