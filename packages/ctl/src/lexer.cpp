#include "auburn/ctl/lexer.h"

#include <QUtf8StringView>

#include <algorithm>
#include <optional>

namespace auburn {

namespace {

bool isSpace(char c)
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

bool isWordByte(char c)
{
    if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9'))
        return true;
    if ((static_cast<unsigned char>(c) & 0x80U) != 0)
        return true;
    return c != '\0' && std::string_view("_-./:@+*%").find(c) != std::string_view::npos;
}

class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : text_(text)
    {}

    std::variant<std::vector<Token>, CommandError> run()
    {
        while (true) {
            while (position_ < text_.size() && isSpace(text_[position_]))
                ++position_;
            if (position_ == text_.size())
                break;
            if (const auto error = scanToken())
                return *error;
        }
        tokens_.push_back(Token{ .kind = TokenKind::End, .column = column(position_) });
        return std::move(tokens_);
    }

private:
    static unsigned column(std::size_t position) { return static_cast<unsigned>(position) + 1; }

    std::optional<CommandError> scanToken()
    {
        const char first = text_[position_];
        if (first == '"')
            return scanString();
        if (isWordByte(first)) {
            scanWord();
            return std::nullopt;
        }
        return scanOperator();
    }

    void scanWord()
    {
        const std::size_t start = position_;
        while (position_ < text_.size() && isWordByte(text_[position_]))
            ++position_;
        tokens_.push_back(Token{ .kind = TokenKind::Word,
                                 .text = std::string(text_.substr(start, position_ - start)),
                                 .column = column(start) });
    }

    std::optional<CommandError> scanString()
    {
        const std::size_t start = position_++;
        std::string value;
        while (position_ < text_.size() && text_[position_] != '"') {
            if (text_[position_] == '\\') {
                ++position_;
                const bool known = position_ < text_.size()
                                   && (text_[position_] == '"' || text_[position_] == '\\');
                if (!known)
                    return CommandError{ column(position_ - 1), "only \\\" and \\\\ are escapes" };
            }
            value += text_[position_++];
        }
        if (position_ == text_.size())
            return CommandError{ column(start), "the string has no closing quote" };
        ++position_;
        tokens_.push_back(Token{ TokenKind::String, std::move(value), column(start) });
        return std::nullopt;
    }

    std::optional<CommandError> scanOperator()
    {
        for (const std::string_view candidate : { "!=", "<=", ">=", "=", "<", ">", "~" }) {
            if (!text_.substr(position_).starts_with(candidate))
                continue;
            tokens_.push_back(
                    Token{ TokenKind::Operator, std::string(candidate), column(position_) });
            position_ += candidate.size();
            return std::nullopt;
        }
        return CommandError{ column(position_), "unexpected character" };
    }

    std::string_view text_;
    std::size_t position_ = 0;
    std::vector<Token> tokens_;
};

bool isValidUtf8(std::string_view text)
{
    return QUtf8StringView(text.data(), static_cast<qsizetype>(text.size())).isValidUtf8();
}

CommandError invalidUtf8(std::string_view text)
{
    const auto *first = std::find_if(text.begin(), text.end(), [](char c) {
        return (static_cast<unsigned char>(c) & 0x80U) != 0;
    });
    return CommandError{ static_cast<unsigned>(first - text.begin()) + 1,
                         "the command is not valid UTF-8" };
}

} // namespace

std::variant<std::vector<Token>, CommandError> tokenize(std::string_view text)
{
    // The daemon could not parse a message that contains such a command.
    if (!isValidUtf8(text))
        return invalidUtf8(text);
    return Scanner(text).run();
}

} // namespace auburn
