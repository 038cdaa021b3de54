#include "auburn/ctl/commandparser.h"

#include <QRandomGenerator>

#include <boost/test/unit_test.hpp>

namespace auburn {

namespace {

struct Mistake
{
    std::string command;
    unsigned column;
};

const std::vector<std::string> kGood{
    "show backend_servers where failure_domain = a and slots >= 4 sort slots desc limit 10",
    "show history",
    "set class gold tier=0 first_token=1.8s token_gap=26ms if revision 12",
    "set backend_server \"r 1\" address=127.0.0.1:8000 draining=false",
    "unset caller web if revision 7",
    "drain backend_server r1",
    "undrain backend_server r1 if revision 3",
};

const Command &commandOf(const ParsedCommand &parsed)
{
    BOOST_REQUIRE(std::holds_alternative<Command>(parsed));
    return std::get<Command>(parsed);
}

// Mostly ASCII, because a command that is not valid UTF-8 is refused before the parser sees it.
char randomByte(QRandomGenerator &random)
{
    return static_cast<char>(random.bounded(random.bounded(8) == 0 ? 256 : 128));
}

std::string mutate(std::string text, QRandomGenerator &random)
{
    const int edits = 1 + random.bounded(4);
    for (int i = 0; i < edits; ++i) {
        const auto at = static_cast<std::size_t>(random.bounded(static_cast<int>(text.size()) + 1));
        const char byte = randomByte(random);
        const int kind = random.bounded(4);
        if (kind == 0)
            text.insert(at, 1, byte);
        else if (kind == 1 && at < text.size())
            text.erase(at, 1 + static_cast<std::size_t>(random.bounded(6)));
        else if (kind == 2 && at < text.size())
            text[at] = byte;
        else
            text.insert(at, text.substr(at / 2, 8));
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(commandparser)

// Guards against a query whose parts end up in the wrong part of the tree.
BOOST_AUTO_TEST_CASE(parse_show_hasAllParts)
{
    const ParsedCommand parsed = CommandParser::parse(kGood[0]);
    const auto &show = std::get<ShowCommand>(commandOf(parsed));
    BOOST_CHECK(show.table == TableId::BackendServers);
    BOOST_REQUIRE(show.conditions.size() == 2U);
    BOOST_TEST(show.conditions[1].field.text == "slots");
    BOOST_CHECK(show.conditions[1].comparison == Comparison::GreaterOrEqual);
    BOOST_TEST(show.conditions[1].value.column == 60U);
    BOOST_REQUIRE(show.sort.has_value());
    BOOST_TEST(show.sort->descending);
    BOOST_TEST(*show.limit == 10U);
}

// Guards against lost assignments and a lost condition on the revision.
BOOST_AUTO_TEST_CASE(parse_set_hasAssignmentsAndRevision)
{
    const ParsedCommand parsed = CommandParser::parse(kGood[2]);
    const auto &set = std::get<SetCommand>(commandOf(parsed));
    BOOST_CHECK(set.kind == ItemKind::RequestClass);
    BOOST_TEST(set.name.text == "gold");
    BOOST_REQUIRE(set.assignments.size() == 3U);
    BOOST_TEST(set.assignments[2].value.text == "26ms");
    BOOST_TEST(*set.ifRevision == 12U);
    for (const std::string &good : kGood)
        BOOST_TEST(std::holds_alternative<Command>(CommandParser::parse(good)), good);
}

// Guards against messages that point to the wrong column.
BOOST_AUTO_TEST_CASE(parse_mistake_reportsItsColumn)
{
    const std::vector<Mistake> mistakes{
        { "", 1 },
        { "  list", 3 },
        { "show", 5 },
        { "show runers", 6 },
        { "show backend_servers where", 27 },
        { "show backend_servers where failure_domain", 42 },
        { "show backend_servers where failure_domain = ", 45 },
        { "show backend_servers where failure_domain == a", 44 },
        { "show backend_servers where failure_domain = a or slots = 1", 47 },
        { "show backend_servers limit x", 28 },
        { "show backend_servers limit 99999999999999999999", 28 },
        { "show backend_servers sort", 26 },
        { "show backend_servers ;", 22 },
        { "set", 4 },
        { "set klass a tier=1", 5 },
        { "set class a", 12 },
        { "set class a tier 1", 18 },
        { "set class a tier=", 18 },
        { "set class a tier=1 if", 22 },
        { "set class a tier=1 if revision", 31 },
        { "set class a tier=1 if revision 1 more", 34 },
        { "set class \"a tier=1", 11 },
        { "set class \"\" tier=1", 11 },
        { "set class \"a\\n\" tier=1", 13 },
        { "drain daemon d1", 7 },
        { "unset class", 12 },
        { "unset class \xff", 13 },
    };
    for (const Mistake &mistake : mistakes) {
        const ParsedCommand parsed = CommandParser::parse(mistake.command);
        BOOST_TEST_CONTEXT(mistake.command)
        {
            BOOST_REQUIRE(std::holds_alternative<CommandError>(parsed));
            BOOST_TEST(std::get<CommandError>(parsed).column == mistake.column);
        }
    }
}

// Guards against crashes and columns outside the command, on any input.
BOOST_AUTO_TEST_CASE(parse_randomAndMutatedCommands_columnStaysInRange)
{
    constexpr quint32 kSeed = 20261204;
    QRandomGenerator random(kSeed);
    for (int round = 0; round < 40000; ++round) {
        std::string text;
        if (round % 4 == 0) {
            const int length = random.bounded(80);
            for (int i = 0; i < length; ++i)
                text += randomByte(random);
        } else {
            text = mutate(kGood[static_cast<std::size_t>(random.bounded(7))], random);
        }
        const ParsedCommand parsed = CommandParser::parse(text);
        const auto *error = std::get_if<CommandError>(&parsed);
        if (!error)
            continue;
        const bool inRange = error->column >= 1 && error->column <= text.size() + 1;
        BOOST_REQUIRE_MESSAGE(inRange, "seed " << kSeed << ", round " << round);
        BOOST_REQUIRE(!error->message.empty());
    }
    const ParsedCommand parsed = CommandParser::parse(std::string(kMaxCommandLength + 1, 'a'));
    BOOST_TEST(std::get<CommandError>(parsed).column == kMaxCommandLength + 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
