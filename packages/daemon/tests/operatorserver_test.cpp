#include "auburn/ctl/ctlprogram.h"
#include "auburn/ctl/operatorclient.h"
#include "auburn/daemon/operatorserver.h"
#include "fakebackend.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <sstream>
#include <zmq.hpp>

namespace auburn {

namespace {

struct Keys
{
    Keys() { zmq_curve_keypair(publicKey.data(), secretKey.data()); }
    std::array<char, 41> publicKey{};
    std::array<char, 41> secretKey{};
};

struct CtlResult
{
    CtlExit exit = CtlExit::Failed;
    std::string out;
    std::string err;
};

struct Fixture
{
    Keys fleet;
    Keys alice;
    Keys untrusted;
    FakeBackend backend;
    std::unique_ptr<OperatorServer> server = OperatorServer::make(
            { .bind = "tcp://127.0.0.1:*",
              .publicKey = fleet.publicKey.data(),
              .secretKey = fleet.secretKey.data(),
              .operators = { { .name = "alice", .publicKey = alice.publicKey.data() } } },
            backend);

    CtlResult run(const std::vector<std::string> &arguments, const Keys &keys)
    {
        const std::map<std::string, std::string> environment{
            { "AUBURN_CTL_ENDPOINT", server->endpoint() },
            { "AUBURN_CTL_SERVER_KEY", fleet.publicKey.data() },
            { "AUBURN_CTL_PUBLIC_KEY", keys.publicKey.data() },
            { "AUBURN_CTL_SECRET_KEY", keys.secretKey.data() },
        };
        std::istringstream in;
        std::ostringstream out;
        std::ostringstream err;
        const auto lookUp = [&](const std::string &name) -> std::optional<std::string> {
            const auto found = environment.find(name);
            if (found == environment.end())
                return std::nullopt;
            return found->second;
        };
        const CtlExit exit = runCtl(arguments,
                                    { .variable = lookUp, .in = in, .out = out, .err = err });
        return { exit, out.str(), err.str() };
    }

    CtlResult run(const std::vector<std::string> &arguments) { return run(arguments, alice); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(operatorserver, Fixture)

// Guards against query results that are altered on the way through the endpoint and auburnctl.
BOOST_AUTO_TEST_CASE(show_authorizedOperator_printsTableAndJson)
{
    BOOST_REQUIRE(server);
    const CtlResult table = run({ "show", "classes", "sort", "tier", "limit", "1" });
    BOOST_CHECK(table.exit == CtlExit::Done);
    BOOST_TEST(table.out
               == "name  tier  first_token  token_gap  revision\n"
                  "gold  0     1.8s         26ms       2\n");
    const CtlResult json = run(
            { "--output", "json", "show", "backend_servers", "where", "slots", "=", "16" });
    BOOST_TEST(json.out.find("\"leaving\": true") != std::string::npos);
    BOOST_TEST(json.out.find("\"slots\": 16") != std::string::npos);
}

// Guards against exit codes that differ from the outcome of the command; scripts rely on them.
BOOST_AUTO_TEST_CASE(run_eachOutcome_setsExitCode)
{
    BOOST_CHECK(run({ "drain", "backend_server", "r1" }).exit == CtlExit::Done);
    BOOST_CHECK(run({ "set", "class", "gold", "tier=9" }).exit == CtlExit::Usage);
    BOOST_CHECK(run({ "drain", "backend_server", "none" }).exit == CtlExit::NotFound);
    BOOST_CHECK(run({ "drain", "backend_server", "r1", "if", "revision", "1" }).exit
                == CtlExit::Conflict);
    backend.setResult(ChangeUnavailable{ "log" });
    BOOST_CHECK(run({ "drain", "backend_server", "r1" }).exit == CtlExit::Unavailable);
    backend.setResult(ChangeUnknown{ "log" });
    BOOST_CHECK(run({ "drain", "backend_server", "r1" }).exit == CtlExit::Unknown);
    backend.setResult(ChangeAccepted{ 99 });
    const CtlResult late = run({ "--wait", "--timeout", "200ms", "drain", "backend_server", "r1" });
    BOOST_CHECK(late.exit == CtlExit::NotInForce);
    BOOST_TEST(late.err.find("revision 99") != std::string::npos);
    backend.setProgress(99);
    const CtlResult done = run({ "--wait", "--output=json", "drain", "backend_server", "r1" });
    BOOST_CHECK(done.exit == CtlExit::Done);
    BOOST_TEST(done.out.find("\"revision\": 99") != std::string::npos);
    BOOST_TEST(backend.changes().back().operator_name() == "alice");
}

// Guards against a missing or misplaced caret for an error that only the daemon can detect.
BOOST_AUTO_TEST_CASE(run_unknownField_showsCaret)
{
    const CtlResult result = run({ "show", "backend_servers", "where", "slot", "=", "1" });
    BOOST_CHECK(result.exit == CtlExit::Usage);
    BOOST_TEST(
            result.err.find("show backend_servers where slot = 1\n                           ^\n")
            != std::string::npos);
}

// Guards against serving a client whose key is not in the allow-list: it must neither read nor
// change anything.
BOOST_AUTO_TEST_CASE(run_unknownKey_isRejected)
{
    for (const std::vector<std::string> &command : std::vector<std::vector<std::string>>{
                 { "show", "callers" }, { "drain", "backend_server", "r1" } }) {
        const CtlResult result = run(command, untrusted);
        BOOST_CHECK(result.exit == CtlExit::Failed);
        BOOST_TEST(result.out.empty());
    }
    BOOST_TEST(backend.changes().empty());
}

// Guards against a client without CURVE that bypasses the ZAP handler. The encrypted request that
// follows shows that the server has had time to handle the plain one.
BOOST_AUTO_TEST_CASE(plainClient_request_isNotServed)
{
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.connect(server->endpoint());
    proto::Envelope envelope;
    envelope.mutable_operator_request()->set_command("drain backend_server r1");
    socket.send(zmq::buffer(envelope.SerializeAsString()), zmq::send_flags::dontwait);
    BOOST_CHECK(run({ "show", "backend_servers" }).exit == CtlExit::Done);
    BOOST_TEST(backend.changes().empty());
}

// Guards against an oversized request that exhausts the server's memory or stops the server.
BOOST_AUTO_TEST_CASE(request_tooLarge_isDroppedAndServerKeepsRunning)
{
    proto::OperatorRequest request;
    request.set_command("drain backend_server r1");
    request.set_request_id(std::string(kMaxOperatorRequestBytes, 'x'));
    const auto result = callOperator({ .endpoint = server->endpoint(),
                                       .serverKey = fleet.publicKey.data(),
                                       .publicKey = alice.publicKey.data(),
                                       .secretKey = alice.secretKey.data(),
                                       .timeout = std::chrono::milliseconds(300) },
                                     request);
    BOOST_REQUIRE(std::holds_alternative<ClientError>(result));
    BOOST_CHECK(std::get<ClientError>(result).failure == ClientFailure::NoReply);
    BOOST_TEST(backend.changes().empty());
    BOOST_CHECK(run({ "show", "backend_servers" }).exit == CtlExit::Done);
}

// Guards against reporting "may have been done" for a command that was never sent, because no
// daemon listens or the server key is not the daemon's.
BOOST_AUTO_TEST_CASE(run_noConnection_isUnavailable)
{
    const std::vector<std::string> drain{ "--timeout", "300ms", "drain", "backend_server", "r1" };
    std::vector<std::string> wrongKey = drain;
    wrongKey.insert(wrongKey.begin(), { "--server-key", untrusted.publicKey.data() });
    BOOST_CHECK(run(wrongKey).exit == CtlExit::Unavailable);
    std::vector<std::string> unusedEndpoint = drain;
    unusedEndpoint.insert(unusedEndpoint.begin(), { "--endpoint", "tcp://127.0.0.1:1" });
    BOOST_CHECK(run(unusedEndpoint).exit == CtlExit::Unavailable);
    BOOST_TEST(backend.changes().empty());
}

// Guards against reporting that a change was certainly not done when only its reply is lost.
BOOST_AUTO_TEST_CASE(run_replyLost_isUnknown)
{
    backend.holdCallbacks();
    BOOST_CHECK(run({ "--timeout", "200ms", "drain", "backend_server", "r1" }).exit
                == CtlExit::Unknown);
    server.reset();
    backend.takeHeldCallback()(ChangeAccepted{ 9 });
}

// Guards against a server that reports a successful start on an endpoint that is in use.
BOOST_AUTO_TEST_CASE(make_endpointInUse_fails)
{
    BOOST_TEST(!OperatorServer::make({ .bind = server->endpoint(),
                                       .publicKey = fleet.publicKey.data(),
                                       .secretKey = fleet.secretKey.data() },
                                     backend));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
