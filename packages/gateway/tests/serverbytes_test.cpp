// Tests random bytes that a faulty server writes before its response to a request on a kept
// connection: starts of responses, whole responses to other requests, interim responses, garbage.
// None of them may make the gateway say that the request did not run, run it twice, or deliver
// anything but the server's own response.

#include "gatewayfixture.h"

#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

constexpr unsigned kDefaultRounds = 150;

// Reads a number from the environment, for longer runs by hand.
unsigned numberFromEnvironment(const char *name, unsigned otherwise)
{
    const char *text = std::getenv(name);
    return text ? static_cast<unsigned>(std::strtoul(text, nullptr, 10)) : otherwise;
}

struct ServerBytesFixture : GatewayFixture
{
    ServerBytesFixture()
    {
        for (std::size_t i = 0; i < kServers; ++i)
            addFaultyServer(i);
    }

    void addFaultyServer(std::size_t index)
    {
        addServer("s" + std::to_string(index), "desk", [this, index](const ScriptedRequest &got) {
            const bool isKept = servers[index]->connections() == lastConnections[index];
            lastConnections[index] = servers[index]->connections();
            return reply(std::string(got["X-Id"]), isKept);
        });
    }

    ScriptedReply reply(const std::string &id, bool isKept)
    {
        const std::string idField = "X-Id: " + id + "\r\n";
        ScriptedPart response{ sealed(200, "answer to " + id, idField), milliseconds(2) };
        switch (random() % 4) {
        case 0:
            response.bytes = sealed(503, "", "X-Not-Executed: 1\r\n" + idField);
            break;
        case 1:
            response.bytes = sealed(500, "failure of " + id, idField);
            ++runs[id];
            failed.insert(id);
            break;
        default:
            ++runs[id];
            break;
        }
        if (!isKept)
            return { { response } };
        return { { { randomBytes() }, response } };
    }

    // Returns up to three pieces, most of them cut at a random byte.
    std::string randomBytes()
    {
        const std::string other = "X-Id: other\r\n";
        const std::string pieces[] = {
            "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Reason: queue full\r\n\r\n",
            sealed(503, "full", "X-Not-Executed: 1\r\n"),
            sealed(503, "full", "X-Not-Executed: 1\r\n" + other),
            sealed(200, "answer to another request", other),
            "HTTP/1.1 200 OK\r\nX-Seal: s\r\n" + other + "Transfer-Encoding: chunked\r\n\r\n"
                    + chunk("answer") + "0\r\nX-Trailer: value\r\n\r\n",
            "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 204 No Content\r\nX-Seal: s\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n",
            "\r\n \t\r\n",
            std::string("\0\x01 garbage: HTTP/", 17),
        };
        std::string bytes;
        const unsigned count = random() % 3 + 1;
        for (unsigned i = 0; i < count; ++i) {
            const std::string &piece = pieces[random() % std::size(pieces)];
            bytes += random() % 4 == 0 ? piece : piece.substr(0, random() % piece.size());
        }
        return bytes;
    }

    void checkResponse(const std::string &id, const std::string &response)
    {
        const int status = statusOf(response);
        BOOST_TEST(runs[id] <= 1U, id << " ran " << runs[id] << " times");
        if (status == 503)
            BOOST_TEST(runs[id] == 0U, id << " ran and was rejected");
        else if (status == 500)
            BOOST_TEST(failed.contains(id), id << " got a failure that no server sent");
        else if (status == 200)
            BOOST_TEST((!failed.contains(id) && response.ends_with("\r\n\r\nanswer to " + id)),
                       id << " got " << response);
        else
            BOOST_TEST((status == 502 || status == 504), id << " got " << response);
    }

    static constexpr std::size_t kServers = 2;
    const unsigned seed = numberFromEnvironment("AUBURN_TEST_SEED", 1);
    std::mt19937 random{ seed };
    unsigned lastConnections[kServers] = {};
    // Executions by request id, and the requests whose execution ended with a failure.
    std::map<std::string, unsigned> runs;
    std::set<std::string> failed;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(serverBytes, ServerBytesFixture)

// Guards against any bytes before a response that decide what its caller is told.
BOOST_AUTO_TEST_CASE(randomBytesBeforeAResponse_neverDecide)
{
    const unsigned rounds = numberFromEnvironment("AUBURN_TEST_ROUNDS", kDefaultRounds);
    BOOST_TEST_MESSAGE("seed " << seed << ", rounds " << rounds);
    for (unsigned i = 0; i < rounds; ++i) {
        // Bodies differ because equal requests would be rejected after some that crash their
        // server.
        const std::string text = request("POST", "/order/x", "X-Deadline: 150\r\n",
                                         std::to_string(i));
        const std::size_t at = text.find("X-Id: ") + 6;
        const std::string id = text.substr(at, text.find("\r\n", at) - at);
        checkResponse(id, exchange(text));
    }
    BOOST_TEST(servers[0]->requests().size() > servers[0]->connections());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
