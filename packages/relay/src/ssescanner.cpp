#include "ssescanner.h"

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
    partial_.append(bytes);
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
