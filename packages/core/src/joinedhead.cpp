#include "auburn/core/joinedhead.h"

#include <algorithm>
#include <string_view>

namespace auburn {

namespace {

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

// True if the text begins with the version and the status code of a status line.
bool beginsWithStatusLine(std::string_view text)
{
    constexpr std::string_view kVersion = "HTTP/1.";
    constexpr std::size_t kStatusAt = kVersion.size() + 2;
    constexpr std::size_t kStatusDigits = 3;
    if (text.size() < kStatusAt + kStatusDigits || !text.starts_with(kVersion))
        return false;
    const std::string_view status = text.substr(kStatusAt, kStatusDigits);
    return isDigit(text[kVersion.size()]) && text[kVersion.size() + 1] == ' '
           && std::all_of(status.begin(), status.end(), isDigit);
}

bool containsStatusLine(std::string_view text)
{
    for (std::size_t at = text.find('H'); at != std::string_view::npos;
         at = text.find('H', at + 1)) {
        if (beginsWithStatusLine(text.substr(at)))
            return true;
    }
    return false;
}

std::string_view toView(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

} // namespace

bool isJoinedHead(const boost::beast::http::response_header<> &head)
{
    return containsStatusLine(toView(head.reason()))
           || std::any_of(head.begin(), head.end(), [](const auto &field) {
                  return containsStatusLine(toView(field.value()));
              });
}

} // namespace auburn
