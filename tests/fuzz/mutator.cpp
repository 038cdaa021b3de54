#include "mutator.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace auburn::fuzz {

namespace {

constexpr std::size_t kMaxMutations = 6;
// Every n-th repetition fills the input up to its limit: such inputs show work that grows faster
// than the input.
constexpr std::size_t kFillPeriod = 6;

using namespace std::string_view_literals;

// Parts of all formats. A token of one format is an unusual byte sequence in another.
constexpr std::array kTokens{
    "\r\n"sv,
    "\n"sv,
    "\n\n"sv,
    "\r\n\r\n"sv,
    "\r"sv,
    "\0"sv,
    "\xff"sv,
    "\xc3\x28"sv,
    " "sv,
    ":"sv,
    ","sv,
    ";"sv,
    "\""sv,
    "\\"sv,
    "\\u0000"sv,
    "\\ud800"sv,
    "{"sv,
    "}"sv,
    "["sv,
    "]"sv,
    "("sv,
    ")"sv,
    "null"sv,
    "true"sv,
    "{}"sv,
    "[]"sv,
    "nan"sv,
    "inf"sv,
    "data:"sv,
    "id:"sv,
    "event: error\n"sv,
    "HTTP/1.1 200 OK\r\n"sv,
    "HTTP/1.1 100 Continue\r\n\r\n"sv,
    "GET / HTTP/1.1\r\n"sv,
    "Transfer-Encoding: chunked\r\n"sv,
    "Content-Length: 5\r\n"sv,
    "Connection: close\r\n"sv,
    "Expect: 100-continue\r\n"sv,
    "a:\r\n"sv,
    "1\r\nx\r\n"sv,
    "0\r\n\r\n"sv,
    "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"sv,
    "\xff\xff\xff\xff\xff\xff\xff\xff\x7f"sv,
    "\x80\x80\x80\x80\x80\x80\x80\x80\x80\x01"sv,
};

constexpr std::array kNumbers{
    "0"sv,
    "-1"sv,
    "1"sv,
    "255"sv,
    "65536"sv,
    "2147483647"sv,
    "2147483648"sv,
    "-2147483649"sv,
    "4294967295"sv,
    "4294967296"sv,
    "9007199254740993"sv,
    "9223372036854775807"sv,
    "9223372036854775808"sv,
    "-9223372036854775808"sv,
    "18446744073709551615"sv,
    "18446744073709551616"sv,
    "99999999999999999999999"sv,
    "1e19"sv,
    "1e308"sv,
    "-1e308"sv,
    "1e999"sv,
    "0.5"sv,
    "ffffffffffffffff"sv,
    "7fffffffffffffff"sv,
};

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

} // namespace

std::string Mutator::nextInput(const Decoder &decoder)
{
    std::string input = anyOf(decoder.corpus);
    for (std::size_t count = 1 + below(kMaxMutations); count > 0; --count)
        mutate(input, decoder);
    if (input.size() > decoder.maxBytes)
        input.resize(decoder.maxBytes);
    return input;
}

const std::string &Mutator::anyOf(const std::vector<std::string> &inputs)
{
    return inputs[below(inputs.size())];
}

void Mutator::mutate(std::string &input, const Decoder &decoder)
{
    if (decoder.changeField && below(2) == 0) {
        decoder.changeField(input, random_);
        return;
    }
    switch (below(8)) {
    case 0:
        changeByte(input);
        break;
    case 1:
        insertToken(input);
        break;
    case 2:
    case 3:
        replaceNumber(input);
        break;
    case 4:
        removeRange(input);
        break;
    case 5:
        repeatRange(input, decoder.maxBytes);
        break;
    case 6:
        splice(input, anyOf(decoder.corpus));
        break;
    default:
        input.resize(below(input.size() + 1));
        break;
    }
}

void Mutator::changeByte(std::string &input)
{
    if (input.empty())
        return;
    char &byte = input[below(input.size())];
    byte = below(2) == 0 ? static_cast<char>(random_())
                         : static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << below(8)));
}

void Mutator::insertToken(std::string &input)
{
    input.insert(below(input.size() + 1), kTokens[below(kTokens.size())]);
}

// Replaces a run of digits.
void Mutator::replaceNumber(std::string &input)
{
    const std::size_t from = below(input.size());
    auto first = std::find_if(input.begin() + static_cast<std::ptrdiff_t>(from), input.end(),
                              isDigit);
    if (first == input.end())
        first = std::find_if(input.begin(), input.end(), isDigit);
    const auto last = std::find_if_not(first, input.end(), isDigit);
    input.replace(first, last, kNumbers[below(kNumbers.size())]);
}

void Mutator::removeRange(std::string &input)
{
    const std::size_t from = below(input.size() + 1);
    input.erase(from, below(std::min<std::size_t>(input.size() - from, 64) + 1));
}

void Mutator::repeatRange(std::string &input, std::size_t maxBytes)
{
    if (input.empty() || input.size() >= maxBytes)
        return;
    const std::size_t from = below(input.size());
    const std::size_t size = 1 + below(std::min<std::size_t>(input.size() - from, 64));
    const std::string range = input.substr(from, size);
    const std::size_t largest = (maxBytes - input.size()) / size;
    const std::size_t count = below(kFillPeriod) == 0 ? largest
                                                      : std::min<std::size_t>(largest, below(16));
    std::string repeated;
    repeated.reserve(count * size);
    for (std::size_t i = 0; i < count; ++i)
        repeated += range;
    input.insert(from, repeated);
}

// Replaces the end of the input by the end of another one.
void Mutator::splice(std::string &input, const std::string &other)
{
    input.resize(below(input.size() + 1));
    input.append(other, below(other.size() + 1));
}

} // namespace auburn::fuzz
