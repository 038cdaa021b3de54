#include "auburn/ctl/commandparser.h"

#include <array>
#include <charconv>
#include <utility>

namespace auburn {

namespace {

// Internal to the parser: carries the first mistake up to parse().
struct ParseFailure
{
    CommandError error;
};

constexpr std::array<std::pair<std::string_view, Comparison>, 7> kComparisons{ {
        { "=", Comparison::Equal },
        { "!=", Comparison::NotEqual },
        { "<", Comparison::Less },
        { "<=", Comparison::LessOrEqual },
        { ">", Comparison::Greater },
        { ">=", Comparison::GreaterOrEqual },
        { "~", Comparison::Contains },
} };

constexpr std::size_t kMaxNameLength = 128;

std::string describe(const Token &token)
{
    return token.kind == TokenKind::End ? "the command ends here" : "found '" + token.text + "'";
}

} // namespace

bool isQuery(const Command &command)
{
    return std::holds_alternative<ShowCommand>(command);
}

ParsedCommand CommandParser::parse(std::string_view text)
{
    if (text.size() > kMaxCommandLength)
        return CommandError{ static_cast<unsigned>(kMaxCommandLength) + 1,
                             "the command is longer than " + std::to_string(kMaxCommandLength)
                                     + " bytes" };
    auto tokens = tokenize(text);
    if (auto *error = std::get_if<CommandError>(&tokens))
        return std::move(*error);
    CommandParser parser(std::get<std::vector<Token>>(std::move(tokens)));
    try {
        return parser.parseCommand();
    } catch (const ParseFailure &failure) {
        return failure.error;
    }
}

Command CommandParser::parseCommand()
{
    if (takeKeyword("show"))
        return parseShow();
    if (takeKeyword("set"))
        return parseSet();
    if (takeKeyword("unset"))
        return parseUnset();
    if (takeKeyword("drain"))
        return parseDrain(true);
    if (takeKeyword("undrain"))
        return parseDrain(false);
    fail(peek(), "expected show, set, unset, drain or undrain");
}

ShowCommand CommandParser::parseShow()
{
    const Token token = next();
    const auto table = token.kind == TokenKind::Word ? tableFromName(token.text) : std::nullopt;
    if (!table)
        fail(token, "expected one of " + std::string(tableNames()));
    ShowCommand command{ .table = *table };
    if (takeKeyword("where")) {
        do {
            command.conditions.push_back(parseCondition());
        } while (takeKeyword("and"));
    }
    if (takeKeyword("sort"))
        command.sort = parseSort();
    if (takeKeyword("limit"))
        command.limit = parseNumber("a number of rows");
    expectEnd("and, where, sort or limit, in this order,");
    return command;
}

SetCommand CommandParser::parseSet()
{
    SetCommand command{ .kind = parseKind() };
    command.name = parseName("a name");
    while (!isKeyword("if") && peek().kind != TokenKind::End) {
        Assignment assignment{ .field = parseFieldName() };
        const Token sign = next();
        if (sign.kind != TokenKind::Operator || sign.text != "=")
            fail(sign, "expected '=' after the field name");
        assignment.value = parseTerm("a value");
        command.assignments.push_back(std::move(assignment));
    }
    if (command.assignments.empty())
        fail(peek(), "expected FIELD=VALUE");
    command.ifRevision = parseIfRevision();
    expectEnd("'if revision N'");
    return command;
}

UnsetCommand CommandParser::parseUnset()
{
    UnsetCommand command{ .kind = parseKind() };
    command.name = parseName("a name");
    command.ifRevision = parseIfRevision();
    expectEnd("'if revision N'");
    return command;
}

DrainCommand CommandParser::parseDrain(bool draining)
{
    if (!takeKeyword("backend_server"))
        fail(peek(), "expected backend_server");
    DrainCommand command{ .backendServer = parseName("a backend server's name"),
                          .draining = draining };
    command.ifRevision = parseIfRevision();
    expectEnd("'if revision N'");
    return command;
}

Condition CommandParser::parseCondition()
{
    Condition condition{ .field = parseFieldName() };
    condition.comparison = parseComparison();
    condition.value = parseTerm("a value");
    return condition;
}

SortOrder CommandParser::parseSort()
{
    SortOrder order{ .field = parseFieldName() };
    order.descending = takeKeyword("desc");
    return order;
}

std::optional<std::uint64_t> CommandParser::parseIfRevision()
{
    if (!takeKeyword("if"))
        return std::nullopt;
    if (!takeKeyword("revision"))
        fail(peek(), "expected revision");
    return parseNumber("a revision");
}

ItemKind CommandParser::parseKind()
{
    const Token token = next();
    const auto kind = token.kind == TokenKind::Word ? itemKindFromName(token.text) : std::nullopt;
    if (!kind)
        fail(token, "expected service, class, organisation, caller or backend_server");
    return *kind;
}

Comparison CommandParser::parseComparison()
{
    const Token token = next();
    if (token.kind == TokenKind::Operator) {
        for (const auto &[text, comparison] : kComparisons) {
            if (token.text == text)
                return comparison;
        }
    }
    fail(token, "expected one of = != < <= > >= ~");
}

Term CommandParser::parseTerm(std::string_view expected)
{
    Token token = next();
    if (token.kind != TokenKind::Word && token.kind != TokenKind::String)
        fail(token, "expected " + std::string(expected));
    return Term{ .text = std::move(token.text), .column = token.column };
}

Term CommandParser::parseName(std::string_view expected)
{
    const Token token = peek();
    Term name = parseTerm(expected);
    if (name.text.empty() || name.text.size() > kMaxNameLength)
        fail(token, "a name has 1 to " + std::to_string(kMaxNameLength) + " bytes");
    return name;
}

Term CommandParser::parseFieldName()
{
    if (peek().kind != TokenKind::Word)
        fail(peek(), "expected a field name");
    return parseTerm("a field name");
}

std::uint64_t CommandParser::parseNumber(std::string_view expected)
{
    const Token token = next();
    std::uint64_t number = 0;
    const char *const end = token.text.data() + token.text.size();
    const auto result = std::from_chars(token.text.data(), end, number);
    if (token.kind != TokenKind::Word || result.ec != std::errc() || result.ptr != end)
        fail(token, "expected " + std::string(expected));
    return number;
}

Token CommandParser::next()
{
    // The End token is never consumed, so that peek() always has a token.
    return peek().kind == TokenKind::End ? peek() : tokens_[position_++];
}

bool CommandParser::isKeyword(std::string_view word) const
{
    return peek().kind == TokenKind::Word && peek().text == word;
}

bool CommandParser::takeKeyword(std::string_view word)
{
    if (!isKeyword(word))
        return false;
    ++position_;
    return true;
}

void CommandParser::expectEnd(std::string_view expected)
{
    if (peek().kind != TokenKind::End)
        fail(peek(), "expected " + std::string(expected) + " or the end");
}

void CommandParser::fail(const Token &token, const std::string &message) const
{
    throw ParseFailure{ { token.column, message + "; " + describe(token) } };
}

} // namespace auburn
