// Tests copies of earlier responses that a server writes where the next response is expected. They
// bear the id of their request. If a request with the same id is in progress on the connection, the
// id does not tell the copy from the response.

#include "gatewayfixture.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

// Time between the copy and the response itself.
constexpr milliseconds kRunTime{ 20 };

// What the servers of the fixture do with one id.
struct IdHistory
{
    unsigned refusals = 0;
    unsigned executions = 0;
};

struct RefusalCopiesFixture : GatewayFixture
{
    static std::string idOf(const ScriptedRequest &received)
    {
        return std::string(received["X-Id"]);
    }

    static std::string idField(const ScriptedRequest &received)
    {
        return "X-Id: " + idOf(received) + "\r\n";
    }

    // Adds a server that runs the requests for one id and refuses those for any other, like a
    // server that was started under a new id at the address of an earlier one. It answers each
    // refused request a second time, where the next response on the connection is due.
    ScriptedServer &addRestartedServer(const std::string &oldId, const std::string &newId,
                                       const std::string &service)
    {
        const std::size_t index = servers.size();
        const auto copy = std::make_shared<Copy>();
        return addServer(oldId, service,
                         [this, index, copy, newId, service](const ScriptedRequest &received) {
                             if (received["X-Server"] == newId)
                                 return runAfterCopy(received, *copy,
                                                     servers[index]->connections());
                             ++history[idOf(received)].refusals;
                             // The registry lists the new id while it still lists the old one.
                             state.directory.update({ .id = newId,
                                                      .service = service,
                                                      .address = servers[index]->address(),
                                                      .failureDomain = "a",
                                                      .slots = 8 },
                                                    ++logPosition);
                             const std::string refusal = wholeAnswer(421, idField(received), "");
                             *copy = { refusal, servers[index]->connections() };
                             return ScriptedReply{ { { refusal } } };
                         });
    }

    // Adds a server that answers the first request with a response of this status, and writes it
    // again before the response to the next request on the connection.
    void addCopyingServer(const std::string &id, int firstStatus, const std::string &firstFields)
    {
        const std::size_t index = servers.size();
        const auto copy = std::make_shared<Copy>();
        addServer(id, "desk",
                  [this, index, copy, firstStatus, firstFields](const ScriptedRequest &received) {
                      if (!copy->bytes.empty())
                          return runAfterCopy(received, *copy, servers[index]->connections());
                      ++history[idOf(received)].refusals;
                      const std::string first = wholeAnswer(
                              firstStatus, firstFields + idField(received), "first");
                      *copy = { first, servers[index]->connections() };
                      return ScriptedReply{ { { first } } };
                  });
    }

    std::map<std::string, IdHistory> history;
    // Called once, when a server runs a request.
    std::function<void()> onExecution;

private:
    // A response and the number of connections when it was written. Another number later means that
    // the next request came on another connection.
    struct Copy
    {
        std::string bytes;
        unsigned connections = 0;
    };

    ScriptedReply runAfterCopy(const ScriptedRequest &received, const Copy &copy,
                               unsigned connections)
    {
        ++history[idOf(received)].executions;
        if (const auto callback = std::exchange(onExecution, nullptr))
            callback();
        const bool isStream = received.target().find("/order/") != 0;
        const std::string response = isStream ? streamOf(received)
                                              : sealed(200, "done", idField(received));
        if (connections != copy.connections)
            return { { { response } } };
        return { { { copy.bytes }, { response, kRunTime } } };
    }

    static std::string streamOf(const ScriptedRequest &received)
    {
        return "HTTP/1.1 200 OK\r\nX-Seal: s\r\n" + idField(received)
               + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
               + chunk(event(1)) + "0\r\n\r\n";
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(refusalCopies, RefusalCopiesFixture)

// Guards against a caller that is told that its request has not run, although it runs: a server
// came back under a new id at its old address, and the copy of its refusal to the old id arrived
// after the request was sent to the new one on the same connection.
BOOST_AUTO_TEST_CASE(serverReturnsUnderANewId_copyOfItsRefusal_doesNotAnswerTheNextAttempt)
{
    addRestartedServer("old", "new", "desk");
    const std::string response = exchange(request("POST", "/order/x"));
    BOOST_TEST(statusOf(response) == 200, response);
    for (const auto &[id, seen] : history) {
        BOOST_TEST(seen.refusals == 1U, id);
        BOOST_TEST(seen.executions == 1U, id);
    }
}

// The same for a stream that may not be repeated.
BOOST_AUTO_TEST_CASE(serverReturnsUnderANewId_copyOfItsRefusal_doesNotAnswerAStream)
{
    addRestartedServer("old", "new", "engines");
    const std::string response = exchange(request("POST", "/digest/x"));
    BOOST_TEST(statusOf(response) == 200, response);
    BOOST_TEST(response.find("data: d1") != std::string::npos, response);
}

// Guards against a request that runs at two servers, because the copy of a refusal was believed
// while the first of them ran it.
BOOST_AUTO_TEST_CASE(serverReturnsUnderANewId_copyOfItsRefusal_doesNotLetASecondServerRun)
{
    addRestartedServer("old", "new", "desk");
    onExecution = [this] {
        addServer("other", "desk", [this](const ScriptedRequest &received) {
            ++history[idOf(received)].executions;
            return ScriptedReply{ { { sealed(200, "done", idField(received)) } } };
        });
    };
    exchange(request("POST", "/order/x"));
    wait(2 * kRunTime);
    for (const auto &[id, seen] : history)
        BOOST_TEST(seen.executions == 1U, id << " ran " << seen.executions << " times");
}

// Guards against the copy of a refusal when a caller sends an id again. Callers should not, but the
// daemon must not make a false promise to one that does.
BOOST_AUTO_TEST_CASE(callerRepeatsAnId_copyOfTheRefusal_doesNotAnswerTheNextRequest)
{
    addCopyingServer("s1", 503, "X-Not-Executed: 1\r\n");
    const std::string text = request("POST", "/order/x");
    BOOST_TEST(statusOf(exchange(text)) == 503);
    const std::string response = exchange(text);
    BOOST_TEST(statusOf(response) == 200, response);
}

// Guards against the copy of any other response that is taken for that to a repeated id.
BOOST_AUTO_TEST_CASE(callerRepeatsAnId_copyOfAnyResponse_doesNotAnswerTheNextRequest)
{
    for (const int status : { 200, 404, 500 }) {
        const std::string id = "s" + std::to_string(status);
        addCopyingServer(id, status, "X-Seal: s\r\n");
        const std::string text = request("POST", "/order/" + id);
        BOOST_TEST(statusOf(exchange(text)) == status);
        const std::string response = exchange(text);
        BOOST_TEST(statusOf(response) == 200, "after status " << status << ": " << response);
        BOOST_TEST(response.find("done") != std::string::npos, response);
        state.directory.removeImmediately(id, ++logPosition);
        state.placement.removeServer(id);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
