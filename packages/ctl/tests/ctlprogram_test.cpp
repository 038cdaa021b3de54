#include "auburn/core/hash.h"
#include "auburn/ctl/ctlprogram.h"
#include "auburn/ctl/duration.h"
#include "auburn/ctl/replyformat.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace auburn {

namespace {

struct Run
{
    explicit Run(const std::vector<std::string> &arguments, const std::string &input = {})
        : in(input)
        , exit(runCtl(arguments, { .variable = [](const std::string &)
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

proto::OperatorReply backendServersReply()
{
    proto::OperatorReply reply;
    for (const char *column : { "name", "slots", "draining" })
        reply.add_columns(column);
    for (const auto &[name, slots] : { std::pair("r1", "4"), std::pair("größer\x1b", "16") }) {
        proto::OperatorRow *row = reply.add_rows();
        row->add_cells()->set_text(name);
        row->add_cells()->set_text(slots);
        row->add_cells()->set_text("true");
    }
    return reply;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ctlprogram)

// Guards against durations that change on the way through the language.
BOOST_AUTO_TEST_CASE(duration_texts_roundTrip)
{
    for (const std::string text : { "1.8s", "26ms", "250us", "900s", "1.5ms" }) {
        const auto duration = parseDuration(text);
        BOOST_REQUIRE(duration.has_value());
        BOOST_TEST(formatDuration(*duration) == text);
    }
    BOOST_TEST(parseDuration("15m")->count() == 900'000'000);
    for (const std::string text :
         { "", "s", "5", "-1s", "1 s", "1..2s", "1sec", "1e9h", "9999999h" })
        BOOST_TEST(!parseDuration(text).has_value(), text);
}

// Guards against columns that are out of line and against control characters in a terminal.
BOOST_AUTO_TEST_CASE(formatTable_unicodeAndControl_isAligned)
{
    BOOST_TEST(formatTable(backendServersReply())
               == "name     slots  draining\n"
                  "r1       4      true\n"
                  "größer?  16     true\n");
}

// Guards against numbers and booleans that scripts get as strings.
BOOST_AUTO_TEST_CASE(formatJson_backendServers_hasTypes)
{
    const std::string json = formatJson(backendServersReply(), TableId::BackendServers);
    BOOST_TEST(json.find("\"slots\": 16") != std::string::npos);
    BOOST_TEST(json.find("\"draining\": true") != std::string::npos);
    BOOST_TEST(json.find("\"name\": \"r1\"") != std::string::npos);
}

// Guards against a syntax error that needs a daemon to be found, or a caret in the wrong failure
// domain.
BOOST_AUTO_TEST_CASE(run_syntaxError_showsCaret)
{
    const Run run({ "show", "classes", "limit", "many" });
    BOOST_CHECK(run.exit == CtlExit::Usage);
    BOOST_TEST(run.err.str().find("show classes limit many\n                   ^\n")
               != std::string::npos);
}

// Guards against wrong options that look like a failure of the daemon.
BOOST_AUTO_TEST_CASE(run_wrongOptions_areUsageErrors)
{
    for (const std::vector<std::string> &arguments : std::vector<std::vector<std::string>>{
                 {},
                 { "--endpoint" },
                 { "--output", "xml", "show", "classes" },
                 { "--timeout", "soon", "show", "classes" },
                 { "show", "classes" },
                 { "--endpoint", "tcp://127.0.0.1:1", "--server-key", "short", "show", "classes" },
         }) {
        const Run run(arguments);
        BOOST_CHECK(run.exit == CtlExit::Usage);
        BOOST_TEST(!run.err.str().empty());
    }
}

// Guards against keys and hashes that a daemon does not accept.
BOOST_AUTO_TEST_CASE(run_keygenAndHashToken_printUsableValues)
{
    const Run keys({ "keygen" });
    BOOST_CHECK(keys.exit == CtlExit::Done);
    BOOST_TEST(keys.out.str().size() == std::string("public-key secret-key ").size() + 40 + 40 + 2);
    const Run hash({ "hash-token" }, "secret\r\n");
    BOOST_TEST(hash.out.str() == sha256Hex("secret") + '\n');
    BOOST_CHECK(Run({ "hash-token" }).exit == CtlExit::Usage);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
