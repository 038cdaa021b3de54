// Lexer of the operators' language.
#pragma once

#include "auburn/ctl/command.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburn {

enum class TokenKind { Word, String, Operator, End };

struct Token
{
    TokenKind kind = TokenKind::End;
    // Without quotes and escapes.
    std::string text;
    unsigned column = 1;
};

// The tokens of a command, with an End token after the last one. A word consists of ASCII letters,
// digits and the characters _-./:@+*%, and of non-ASCII bytes; anything else must stand in double
// quotes, where \" and \\ are the only escapes. A command that is not valid UTF-8 is
// a mistake.
std::variant<std::vector<Token>, CommandError> tokenize(std::string_view text);

} // namespace auburn
