// CommandParser: recursive-descent parser of the operators' language.
#pragma once

#include "auburn/ctl/command.h"
#include "auburn/ctl/lexer.h"

#include <string>
#include <string_view>
#include <vector>

namespace auburn {

class CommandParser
{
public:
    // The syntax tree of a command, or its first mistake. Field names and values are not checked
    // here: the daemon does that when it executes the command.
    static ParsedCommand parse(std::string_view text);

private:
    explicit CommandParser(std::vector<Token> tokens)
        : tokens_(std::move(tokens))
    {}

    Command parseCommand();
    ShowCommand parseShow();
    SetCommand parseSet();
    UnsetCommand parseUnset();
    DrainCommand parseDrain(bool draining);
    Condition parseCondition();
    SortOrder parseSort();
    std::optional<std::uint64_t> parseIfRevision();
    ItemKind parseKind();
    Comparison parseComparison();
    Term parseTerm(std::string_view expected);
    Term parseName(std::string_view expected);
    Term parseFieldName();
    std::uint64_t parseNumber(std::string_view expected);

    const Token &peek() const { return tokens_[position_]; }
    Token next();
    bool isKeyword(std::string_view word) const;
    bool takeKeyword(std::string_view word);
    void expectEnd(std::string_view expected);
    [[noreturn]] void fail(const Token &token, const std::string &message) const;

    std::vector<Token> tokens_;
    std::size_t position_ = 0;
};

} // namespace auburn
