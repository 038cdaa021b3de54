#include "auburn/ctl/statuscommand.h"

#include <QByteArray>
#include <QString>
#include <QUrl>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <string_view>
#include <system_error>

namespace auburn {

namespace {

constexpr std::string_view kDuties = "duties";
constexpr std::string_view kExplain = "explain";
constexpr const char *kExplainUsage =
        "expected explain SERVICE [prompt ID:TOKENS,...] [urgency N] [stream] [deadline MS] "
        "[organisation NAME]";

struct ExplainOption
{
    std::string_view name;
    bool hasValue = true;
    bool isNumber = false;
};

constexpr std::array<ExplainOption, 5> kExplainOptions{ {
        { .name = "prompt" },
        { .name = "urgency", .isNumber = true },
        { .name = "stream", .hasValue = false },
        { .name = "deadline", .isNumber = true },
        { .name = "organisation" },
} };

std::string percentEncode(const std::string &text)
{
    return QUrl::toPercentEncoding(QString::fromStdString(text)).toStdString();
}

bool isNumber(const std::string &text)
{
    unsigned number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

std::variant<StatusCommand, StatusCommandError> parseExplain(const std::vector<std::string> &words)
{
    if (words.size() < 2 || words[1].empty())
        return StatusCommandError{ kExplainUsage };
    std::string target = "/explain?service=" + percentEncode(words[1]);
    std::set<std::string> given;
    for (std::size_t i = 2; i < words.size(); ++i) {
        const std::string &name = words[i];
        const auto option = std::find_if(
                kExplainOptions.begin(), kExplainOptions.end(),
                [&name](const ExplainOption &candidate) { return candidate.name == name; });
        if (option == kExplainOptions.end())
            return StatusCommandError{ "unknown word \"" + name + "\"; " + kExplainUsage };
        if (!given.insert(name).second)
            return StatusCommandError{ name + " is given twice" };
        if (option->hasValue && ++i == words.size())
            return StatusCommandError{ name + " needs a value" };
        const std::string value = option->hasValue ? words[i] : "1";
        if (option->isNumber && !isNumber(value))
            return StatusCommandError{ name + " needs a number that is not negative" };
        target += "&" + name + "=" + percentEncode(value);
    }
    return StatusCommand{ .view = StatusView::Explanation, .target = target };
}

} // namespace

bool isStatusCommand(const std::vector<std::string> &words)
{
    return !words.empty() && (words.front() == kDuties || words.front() == kExplain);
}

std::variant<StatusCommand, StatusCommandError> parseStatusCommand(
        const std::vector<std::string> &words)
{
    if (words.front() == kExplain)
        return parseExplain(words);
    if (words.size() > 1)
        return StatusCommandError{ "duties takes no further words" };
    return StatusCommand{ .view = StatusView::Duties, .target = "/duties" };
}

} // namespace auburn
