// Tests the commands that ask the metrics port of a daemon.

#include "auburn/ctl/ctlprogram.h"
#include "auburn/ctl/statuscommand.h"
#include "auburn/ctl/statusformat.h"

#include "scriptedserver.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <sstream>
#include <thread>

namespace auburn {

namespace {

constexpr const char *kFollower =
        R"({"vm":"vm-1","is_holder":false,"holder":{"address":"10.0.0.2:7200","token":7,
            "renewal":12,"released":false,"renewal_age_ms":230}})";
constexpr const char *kHolder =
        R"({"vm":"vm-1","is_holder":true,"holder":{"address":"10.0.0.1:7200","token":7},
            "usage":{"newest":{"window":9,"age_ms":1500,"failures":2},"waiting_windows":1,
                     "waiting_failures":3},
            "servers":[{"service":"e","failure_domain":"a","kind":"spot","listed":3,"ordered":4,
                        "reason":"shortage","result":"accepted","age_ms":1200},
                       {"service":"e\u001b","failure_domain":"a","kind":"on_demand","listed":1}]})";
constexpr const char *kExplanation =
        R"({"service":"e","config_version":5,"urgency":{"on_time":2,"late":3},
            "outcome":{"decision":"rejected","reason":"no_server","retry_after_ms":[400,600]},
            "organisation":{"name":"org","urgencies":[{"route":"r","on_time":2,"late":3}]},
            "servers":[{"server":"s1","slots":4,"own_requests":1,"known_requests":4,"full":true,
                        "avoided":true,"report_age_ms":120,"uncached_tokens":10,"slowness":1.25,
                        "cost_ms":{"sum":12.5,"predicted":2.25}},
                       {"server":"s2","excluded":"backing_off","returns_in_ms":300}]})";

std::string targetOf(const std::vector<std::string> &words)
{
    const auto parsed = parseStatusCommand(words);
    const auto *command = std::get_if<StatusCommand>(&parsed);
    return command ? command->target : std::string();
}

struct StatusRun
{
    explicit StatusRun(const std::vector<std::string> &arguments)
        : exit(runCtl(arguments, { .variable = [](const std::string &)
                                           -> std::optional<std::string> { return std::nullopt; },
                                   .in = in,
                                   .out = out,
                                   .err = err }))
    {}

    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    CtlExit exit;
};

// A daemon's metrics port that gives one reply to every request, on a thread of its own.
class FakeDaemon
{
public:
    explicit FakeDaemon(ScriptedReply reply)
        : server_(io_, [reply = std::move(reply)](const ScriptedRequest &) { return reply; })
        , thread_([this] { io_.run(); })
    {}

    ~FakeDaemon()
    {
        io_.stop();
        thread_.join();
    }

    StatusRun ask(const std::vector<std::string> &words = { "duties" }) const
    {
        std::vector<std::string> arguments{ "--timeout", "2s", "--status=" + server_.address() };
        arguments.insert(arguments.end(), words.begin(), words.end());
        return StatusRun(arguments);
    }

private:
    boost::asio::io_context io_;
    ScriptedServer server_;
    std::thread thread_;
};

ScriptedReply answer(int status, const std::string &body)
{
    return { .parts = { { wholeAnswer(status, "", body) } } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(statusProgram)

// Guards against a name or a prompt that changes the rest of the query.
BOOST_AUTO_TEST_CASE(statusCommand_anyWords_isOneQuery)
{
    BOOST_TEST(targetOf({ "duties" }) == "/duties");
    BOOST_TEST(targetOf({ "explain", "e" }) == "/explain?service=e");
    BOOST_TEST(targetOf({ "explain", "a&b", "stream", "prompt", "0x1f:10,2:3", "urgency", "2",
                          "deadline", "900", "organisation", "x y" })
               == "/explain?service=a%26b&stream=1&prompt=0x1f%3A10%2C2%3A3&urgency=2&deadline=900"
                  "&organisation=x%20y");
    for (const std::vector<std::string> &words :
         std::vector<std::vector<std::string>>{ { "duties", "all" },
                                                { "explain" },
                                                { "explain", "e", "prompt" },
                                                { "explain", "e", "urgency", "high" },
                                                { "explain", "e", "deadline", "-5" },
                                                { "explain", "e", "stream", "stream" },
                                                { "explain", "e", "color", "red" } })
        BOOST_TEST(targetOf(words).empty());
}

BOOST_AUTO_TEST_CASE(dutiesTable_ofAFollower_namesTheHolder)
{
    BOOST_TEST(formatStatusTable(StatusView::Duties, kFollower).value()
               == "vm    is_holder  holder         token  renewal  released  renewal_age\n"
                  "vm-1  no         10.0.0.2:7200  7      12       no        230ms\n");
}

BOOST_AUTO_TEST_CASE(dutiesTable_ofTheHolder_showsReportsAndOrders)
{
    BOOST_TEST(formatStatusTable(StatusView::Duties, kHolder).value()
               == "vm    is_holder  holder         token  renewal  released  renewal_age\n"
                  "vm-1  yes        10.0.0.1:7200  7      -        -         -\n"
                  "\n"
                  "newest_window  age   failures  waiting_windows  waiting_failures\n"
                  "9              1.5s  2         1                3\n"
                  "\n"
                  "service  failure_domain  kind       listed  ordered  reason    result    "
                  "order_age\n"
                  "e        a               spot       3       4        shortage  accepted  1.2s\n"
                  "e?       a               on_demand  1       -        -         -         -\n");
}

BOOST_AUTO_TEST_CASE(explanationTable_showsTheOutcomeAndEachServer)
{
    const std::string table = formatStatusTable(StatusView::Explanation, kExplanation).value();
    for (const char *text : { "rejected  no_server  400ms-600ms", "org           r      2/3",
                              "s1      avoided,full        4      1    4      120ms       12.5ms  "
                              "2.25ms     10               1.25",
                              "s2      backing_off(300ms)" })
        BOOST_TEST(table.find(text) != std::string::npos, table);
}

// Guards against a document of another kind that is shown as an empty status.
BOOST_AUTO_TEST_CASE(format_unreadableDocuments_areRefused)
{
    for (const char *document :
         { "", "[]", "{}", "{\"is_holder\":", "auburn_x 1\n", kExplanation }) {
        BOOST_TEST(!formatStatusTable(StatusView::Duties, document).has_value());
        BOOST_TEST(!formatStatusJson(StatusView::Duties, document).has_value());
    }
    BOOST_TEST(!formatStatusTable(StatusView::Explanation, kHolder).has_value());
    BOOST_TEST(formatStatusJson(StatusView::Duties, kFollower)->find("\"token\": 7")
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(run_wrongWordsOrNoAddress_areUsageErrors)
{
    for (const std::vector<std::string> &arguments :
         std::vector<std::vector<std::string>>{ { "duties" },
                                                { "--status", "daemon", "duties" },
                                                { "--status", "127.0.0.1:1", "duties", "all" },
                                                { "--status", "127.0.0.1:1", "explain" } }) {
        const StatusRun run(arguments);
        BOOST_CHECK(run.exit == CtlExit::Usage);
        BOOST_TEST(!run.err.str().empty());
    }
}

// Guards against a response that scripts take for a status, or a failure that they take for another
// one.
BOOST_AUTO_TEST_CASE(run_eachResponse_hasItsExitCode)
{
    const StatusRun done = FakeDaemon(answer(200, kFollower)).ask();
    BOOST_CHECK(done.exit == CtlExit::Done);
    BOOST_TEST(done.out.str().find("10.0.0.2:7200") != std::string::npos);
    const auto exitOf = [](ScriptedReply reply) {
        const StatusRun run = FakeDaemon(std::move(reply)).ask();
        BOOST_TEST(run.out.str().empty());
        BOOST_TEST(!run.err.str().empty());
        return run.exit;
    };
    BOOST_CHECK(exitOf(answer(404, "the settings list no duties\n")) == CtlExit::NotFound);
    BOOST_CHECK(exitOf(answer(503, "")) == CtlExit::Unavailable);
    BOOST_CHECK(exitOf(answer(400, "")) == CtlExit::Usage);
    BOOST_CHECK(exitOf(answer(200, "no JSON")) == CtlExit::Failed);
    BOOST_CHECK(exitOf({ .parts = { { "no HTTP\r\n\r\n" } } }) == CtlExit::Failed);
    BOOST_CHECK(exitOf(answer(200, std::string(1100000, ' ') + kFollower)) == CtlExit::Failed);
    BOOST_CHECK(exitOf({ .parts = {}, .end = ScriptedReply::End::Close }) == CtlExit::Unavailable);
    BOOST_CHECK(exitOf({}) == CtlExit::Unavailable);
    BOOST_CHECK(StatusRun({ "--status", "127.0.0.1:1", "duties" }).exit == CtlExit::Unavailable);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
