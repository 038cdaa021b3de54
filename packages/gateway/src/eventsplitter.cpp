#include "eventsplitter.h"

#include <algorithm>
#include <charconv>

namespace auburn::gateway {

namespace {

// The empty line that terminates an event.
struct Boundary
{
    std::size_t position = std::string_view::npos;
    std::size_t size = 0;
};

// Looks at each line end once: a search for both kinds of boundary would scan the whole rest of the
// text for the kind that a server does not use, for each event.
Boundary findBoundary(std::string_view text, std::size_t from)
{
    constexpr std::string_view kWithReturns = "\r\n\r\n";
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        if (text.substr(at + 1, 1) == "\n")
            return { .position = at, .size = 2 };
        if (at > from && text.substr(at - 1, kWithReturns.size()) == kWithReturns)
            return { .position = at - 1, .size = kWithReturns.size() };
    }
    return {};
}

} // namespace

std::optional<std::string_view> EventSplitter::next()
{
    compact();
    const Boundary boundary = findBoundary(buffer_, std::max(begin_, scanned_));
    if (boundary.position == std::string_view::npos) {
        // The terminator may continue in the next bytes, so the last three are scanned again.
        scanned_ = std::max(begin_, buffer_.size() > 3 ? buffer_.size() - 3 : 0);
        return std::nullopt;
    }
    const std::size_t end = boundary.position + boundary.size;
    const std::string_view event = std::string_view(buffer_).substr(begin_, end - begin_);
    begin_ = end;
    scanned_ = end;
    return event;
}

void EventSplitter::compact()
{
    if (begin_ == 0)
        return;
    if (begin_ == buffer_.size() || begin_ > buffer_.size() / 2) {
        buffer_.erase(0, begin_);
        scanned_ -= std::min(scanned_, begin_);
        begin_ = 0;
    }
}

void EventSplitter::reset()
{
    buffer_.clear();
    begin_ = 0;
    scanned_ = 0;
}

std::string_view eventId(std::string_view event)
{
    constexpr std::string_view kField = "id:";
    std::size_t line = 0;
    while (line < event.size()) {
        const std::size_t end = std::min(event.find('\n', line), event.size());
        std::string_view text = event.substr(line, end - line);
        if (text.substr(0, kField.size()) == kField) {
            text.remove_prefix(kField.size());
            while (!text.empty() && text.front() == ' ')
                text.remove_prefix(1);
            while (!text.empty() && (text.back() == '\r' || text.back() == ' '))
                text.remove_suffix(1);
            return text;
        }
        line = end + 1;
    }
    return {};
}

bool isCommentOnly(std::string_view event)
{
    std::size_t line = 0;
    while (line < event.size()) {
        const char first = event[line];
        if (first != ':' && first != '\r' && first != '\n')
            return false;
        line = std::min(event.find('\n', line), event.size() - 1) + 1;
    }
    return true;
}

std::optional<std::uint64_t> numericEventId(std::string_view id)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(id.data(), id.data() + id.size(), number);
    if (id.empty() || parsed.ec != std::errc() || parsed.ptr != id.data() + id.size())
        return std::nullopt;
    return number;
}

} // namespace auburn::gateway
