#include "eventstream.h"

#include <algorithm>
#include <utility>

namespace auburn::gateway {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

EventStream::EventStream(std::string lastEventId)
    : lastEventId_(std::move(lastEventId))
    , lastEventNumber_(numericEventId(lastEventId_))
{}

void EventStream::beginAnew(std::string lastEventId)
{
    const bool headSent = headSent_;
    *this = EventStream(std::move(lastEventId));
    headSent_ = headSent;
}

std::string_view EventStream::takeEvents(TimePoint now)
{
    newEvents_.clear();
    hasNewEvent_ = false;
    while (const auto event = splitter_.next())
        appendEvent(*event);
    if (!hasNewEvent_)
        return newEvents_;
    if (firstEventAt_)
        longestGap_ = std::max(longestGap_, duration_cast<milliseconds>(now - lastEventAt_));
    else
        firstEventAt_ = now;
    lastEventAt_ = now;
    return newEvents_;
}

void EventStream::appendEvent(std::string_view event)
{
    const bool isComment = isCommentOnly(event);
    if (!isComment)
        ++attemptEventCount_;
    const std::string_view id = eventId(event);
    const auto number = numericEventId(id);
    if (number && lastEventNumber_ && *number <= *lastEventNumber_)
        return;
    if (!id.empty()) {
        lastEventId_ = id;
        lastEventNumber_ = number;
    }
    newEvents_.append(event);
    if (isComment)
        return;
    ++eventCount_;
    hasNewEvent_ = true;
}

} // namespace auburn::gateway
