#include "ssescanner.h"

#include <algorithm>
#include <utility>

namespace auburn {

namespace {

std::string_view fieldValue(std::string_view line, std::size_t nameSize)
{
    std::string_view value = line.substr(nameSize);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return value;
}

void readLine(SseEvent &event, std::string_view line)
{
    if (line.starts_with("data:")) {
        event.hasData = true;
        event.done = fieldValue(line, 5) == "[DONE]";
    } else if (line.starts_with("id:")) {
        event.id = fieldValue(line, 3);
    } else if (line.starts_with("event:")) {
        event.error = fieldValue(line, 6) == "error";
    }
}

// True if a line that is empty ends at or after the position. The text begins at the start of a
// line.
bool hasEmptyLine(std::string_view text, std::size_t from)
{
    const auto beginsWithLineEnd = [](std::string_view rest) {
        return rest.starts_with('\n') || rest.starts_with("\r\n");
    };
    if (beginsWithLineEnd(text))
        return true;
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        if (beginsWithLineEnd(text.substr(at + 1)))
            return true;
    }
    return false;
}

} // namespace

std::size_t SseScanner::scan(std::string_view bytes, const Visitor &visit)
{
    std::size_t eventBegin = 0;
    std::size_t lineBegin = 0;
    SseEvent event;
    while (true) {
        const std::size_t lineEnd = bytes.find('\n', lineBegin);
        if (lineEnd == std::string_view::npos)
            return eventBegin;
        std::string_view line = bytes.substr(lineBegin, lineEnd - lineBegin);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        lineBegin = lineEnd + 1;
        if (!line.empty()) {
            readLine(event, line);
            continue;
        }
        event.text = bytes.substr(eventBegin, lineBegin - eventBegin);
        visit(event);
        event = SseEvent();
        eventBegin = lineBegin;
    }
}

void SseScanner::feed(std::string_view bytes, const Visitor &visit)
{
    if (partial_.empty()) {
        const std::size_t used = scan(bytes, visit);
        partial_.assign(bytes.substr(used));
        return;
    }
    // An event that arrives in many parts is scanned, and its text moved, once it is complete: the
    // chunks of a body may hold a single byte each. "\n" or "\n\r" may have arrived before.
    const std::size_t scanned = partial_.size() - std::min<std::size_t>(partial_.size(), 2);
    partial_.append(bytes);
    if (!hasEmptyLine(partial_, scanned))
        return;
    // Moving the text first keeps the views that visit gets valid.
    assembled_.push_back(std::move(partial_));
    const std::string_view text = assembled_.back();
    partial_.clear();
    const std::size_t used = scan(text, visit);
    partial_.assign(text.substr(used));
}

void SseScanner::reset()
{
    partial_.clear();
    assembled_.clear();
}

} // namespace auburn
