#include "auburn/core/hash.h"
#include "auburn/daemon/commandexecutor.h"
#include "fakebackend.h"

#include <boost/test/unit_test.hpp>

namespace auburn {

namespace {

struct Fixture
{
    std::optional<proto::OperatorReply> reply;
    FakeBackend backend;
    CommandExecutor executor{ backend };

    proto::OperatorReply run(const std::string &command)
    {
        proto::OperatorRequest request;
        request.set_request_id("q");
        request.set_command(command);
        return run(request);
    }

    proto::OperatorReply run(const proto::OperatorRequest &request)
    {
        reply.reset();
        executor.execute(request, "alice",
                         [this](proto::OperatorReply message) { reply = std::move(message); });
        return reply.value_or(proto::OperatorReply());
    }

    proto::OperatorRequest waitingChange() const
    {
        proto::OperatorRequest request;
        request.set_request_id("q");
        request.set_command("drain backend_server r1");
        request.set_wait(true);
        request.set_timeout_ms(1000);
        return request;
    }
};

std::string columnText(const proto::OperatorReply &reply, int index)
{
    std::string text;
    for (const proto::OperatorRow &row : reply.rows())
        text += (text.empty() ? "" : " ") + row.cells(index).text();
    return text;
}

struct InvalidCommand
{
    std::string command;
    proto::OperatorStatus status;
    unsigned column;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(commandexecutor, Fixture)

// Guards against comparing or sorting numbers and durations as text.
BOOST_AUTO_TEST_CASE(execute_queryOnTypedColumns_comparesByType)
{
    BOOST_TEST(columnText(run("show backend_servers sort slots desc"), 0) == "r2 r3 r1");
    BOOST_TEST(columnText(run("show backend_servers where slots > 4 and failure_domain = a"), 0)
               == "r2");
    BOOST_TEST(columnText(run("show backend_servers where leaving = true"), 0) == "r2");
    BOOST_TEST(columnText(run("show backend_servers sort slots limit 1"), 0) == "r1");
    BOOST_TEST(columnText(run("show classes where first_token > 2s"), 0) == "bulk");
    BOOST_TEST(columnText(run("show classes where name ~ ol"), 0) == "gold");
    BOOST_TEST(columnText(run("show load"), 6) == "3");
    BOOST_TEST(columnText(run("show daemons where status != dead"), 0) == "d1");
    BOOST_TEST(columnText(run("show failure_domains where region = south"), 4) == "8");
    BOOST_TEST(run("show config").rows_size() == 8);
    BOOST_TEST(run("show callers").rows(0).cells(3).text().size() < 64U);
}

// Guards against accepting an invalid command, and against reporting its error with the wrong
// status or column.
BOOST_AUTO_TEST_CASE(execute_invalidCommand_reportsStatusAndColumn)
{
    const auto invalid = proto::OPERATOR_STATUS_INVALID;
    const std::vector<InvalidCommand> cases{
        { "show runers", proto::OPERATOR_STATUS_SYNTAX_ERROR, 6 },
        { "show backend_servers where slot = 1", invalid, 28 },
        { "show backend_servers where slots = many", invalid, 36 },
        { "show backend_servers where draining < true", invalid, 28 },
        { "show backend_servers where slots ~ 1", invalid, 28 },
        { "show backend_servers sort size", invalid, 27 },
        { "set class gold tier=8", invalid, 21 },
        { "set class gold tier=1 tier=2", invalid, 23 },
        { "set class gold first_token=fast", invalid, 28 },
        { "set class gold first_token=250us", invalid, 28 },
        { "set class gold colour=red", invalid, 16 },
        { "set class new token_gap=26ms", invalid, 11 },
        { "set class \"a b\" tier=1", invalid, 11 },
        { "set caller web organisation=none", invalid, 29 },
        { "set caller web token_sha256=ABC", invalid, 29 },
        { "set caller x organisation=acme class=gold token_sha256=" + std::string(64, 'a'), invalid,
          56 },
        { "set backend_server r1 address=host", invalid, 31 },
        { "set backend_server r1 slots=0", invalid, 29 },
        { "set backend_server r9 slots=4", invalid, 20 },
        { "unset service chat", invalid, 15 },
        { "unset service none", proto::OPERATOR_STATUS_NOT_FOUND, 15 },
        { "drain backend_server none", proto::OPERATOR_STATUS_NOT_FOUND, 22 },
        { "drain backend_server r1 if revision 5", proto::OPERATOR_STATUS_CONFLICT, 0 },
        { "set class gold tier=1 if revision 0", proto::OPERATOR_STATUS_CONFLICT, 0 },
    };
    for (const InvalidCommand &item : cases) {
        BOOST_TEST_CONTEXT(item.command)
        {
            const proto::OperatorReply answer = run(item.command);
            BOOST_TEST(answer.status() == item.status);
            BOOST_TEST(answer.error_column() == item.column);
            BOOST_TEST(answer.request_id() == "q");
        }
    }
    BOOST_TEST(backend.changes().empty());
}

// Guards against a change that overwrites fields which the command does not name, or has a wrong
// base revision.
BOOST_AUTO_TEST_CASE(execute_setCommand_keepsOtherFieldsAndSetsBase)
{
    const proto::OperatorReply answer = run("set backend_server r1 slots=6 if revision 6");
    BOOST_TEST(answer.status() == proto::OPERATOR_STATUS_OK);
    BOOST_TEST(answer.revision() == 9U);
    BOOST_REQUIRE(backend.changes().size() == 1U);
    const proto::ConfigChange change = backend.changes()[0];
    BOOST_TEST(change.base_revision() == 6U);
    BOOST_TEST(change.operator_name() == "alice");
    BOOST_TEST(change.change_id() == sha256Hex("alice/q"));
    BOOST_TEST(change.item().backend_server().slots() == 6U);
    BOOST_TEST(change.item().backend_server().address() == "127.0.0.1:1");
    BOOST_TEST(run("set class new tier=3").status() == proto::OPERATOR_STATUS_OK);
    BOOST_TEST(run("unset class new").status() == proto::OPERATOR_STATUS_OK);
    BOOST_TEST(backend.changes().back().remove());
    BOOST_TEST(run("undrain backend_server r2").status() == proto::OPERATOR_STATUS_OK);
    BOOST_TEST(columnText(run("show history"), 3) == "set set unset set");
}

// Guards against reporting a conflict or an unknown outcome as another status.
BOOST_AUTO_TEST_CASE(execute_backendResult_mapsToStatus)
{
    const std::vector<std::pair<ChangeResult, proto::OperatorStatus>> results{
        { ChangeConflict{ "race" }, proto::OPERATOR_STATUS_CONFLICT },
        { ChangeInvalid{ "no" }, proto::OPERATOR_STATUS_INVALID },
        { ChangeUnavailable{ "log" }, proto::OPERATOR_STATUS_UNAVAILABLE },
        { ChangeUnknown{ "log" }, proto::OPERATOR_STATUS_UNKNOWN },
    };
    for (const auto &[result, status] : results) {
        backend.setResult(result);
        BOOST_TEST(run("drain backend_server r1").status() == status);
    }
    backend.clearConfigState();
    BOOST_TEST(run("drain backend_server r1").status() == proto::OPERATOR_STATUS_UNAVAILABLE);
    BOOST_TEST(run("show backend_servers").status() == proto::OPERATOR_STATUS_UNAVAILABLE);
}

// Guards against a log that never responds: the operator must be told that the outcome is unknown,
// and a late result must not produce a second reply.
BOOST_AUTO_TEST_CASE(execute_noResultBeforeTimeout_repliesUnknownOnce)
{
    backend.holdCallbacks();
    run(waitingChange());
    BOOST_TEST(!reply.has_value());
    executor.tick(CommandExecutor::Clock::now());
    BOOST_TEST(!reply.has_value());
    executor.tick(CommandExecutor::Clock::now() + std::chrono::seconds(2));
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->status() == proto::OPERATOR_STATUS_UNKNOWN);
    reply.reset();
    backend.takeHeldCallback()(ChangeAccepted{ 9 });
    BOOST_TEST(!reply.has_value());
}

// Guards against reporting a change as in force while a failure domain still has the old revision.
BOOST_AUTO_TEST_CASE(execute_waitForAllFailureDomains_repliesWhenInForce)
{
    run(waitingChange());
    executor.tick();
    BOOST_TEST(!reply.has_value());
    backend.setProgress(9);
    executor.tick();
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->status() == proto::OPERATOR_STATUS_OK);
}

// Guards against a wait without an end, and checks that the reply names the failure domains that
// lag behind.
BOOST_AUTO_TEST_CASE(execute_waitTimesOut_namesLaggingFailureDomains)
{
    run(waitingChange());
    executor.tick(CommandExecutor::Clock::now() + std::chrono::seconds(2));
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->status() == proto::OPERATOR_STATUS_NOT_IN_FORCE);
    BOOST_TEST(reply->revision() == 9U);
    BOOST_TEST(reply->message().find("a, b") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
