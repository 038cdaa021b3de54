// Tests backend servers that stop inside a response.

#include "relayfixture.h"
#include "scriptedserver.h"

#include <boost/test/unit_test.hpp>

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
                    standins.context(), [this](const ScriptedRequest &) { return reply(); });
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
        standins.run([&] { reply_ = reply; });
    }

    Response send() { return exchange(httpRequest("POST", "/v1/services/svc/x", "", "1")); }

private:
    ScriptedReply reply() const { return reply_; }

    ScriptedReply reply_;
    std::unique_ptr<ScriptedServer> server_;
};

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

// Guards against the status of an answer that its server never finished, before the answer to the
// next request on the connection.
BOOST_AUTO_TEST_CASE(service_startOfAnotherAnswerComesFirst_isNotTakenForTheAnswer)
{
    serve();
    setReply({ .parts = { { wholeAnswer(200, "", "body") } } });
    BOOST_TEST(send().status == 200);
    setReply({ .parts = { { "HTTP/1.1 404 Not Found\r\nX-Note: cu" },
                          { wholeAnswer(200, "", "body"), milliseconds(5) } } });
    BOOST_TEST(send().status == 502);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
