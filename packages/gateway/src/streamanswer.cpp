#include "streamanswer.h"

#include <algorithm>
#include <utility>

namespace auburn::gateway {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

StreamAnswer::StreamAnswer(std::string lastEventId)
    : lastEventId_(std::move(lastEventId))
    , lastEventNumber_(eventNumber(lastEventId_))
{}

std::string_view StreamAnswer::takeEvents(TimePoint now)
{
    taken_.clear();
    tookEvent_ = false;
    while (const auto event = splitter_.next())
        appendEvent(*event);
    if (!tookEvent_)
        return taken_;
    if (firstEventAt_)
        longestGap_ = std::max(longestGap_, duration_cast<milliseconds>(now - lastEventAt_));
    else
        firstEventAt_ = now;
    lastEventAt_ = now;
    return taken_;
}

void StreamAnswer::appendEvent(std::string_view event)
{
    const std::string_view id = eventId(event);
    const auto number = eventNumber(id);
    if (number && lastEventNumber_ && *number <= *lastEventNumber_)
        return;
    if (!id.empty()) {
        lastEventId_ = id;
        lastEventNumber_ = number;
    }
    taken_.append(event);
    if (isComment(event))
        return;
    ++events_;
    tookEvent_ = true;
}

} // namespace auburn::gateway
