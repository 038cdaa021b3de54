// StreamAnswer: the events of one caller's stream, whichever servers they come from.
//
// A stream may go on at another server after a broken one, which may repeat events or may have sent
// half of one. Only whole events are passed on, each id once and in order.
#pragma once

#include "eventsplitter.h"

#include "auburn/core/bootclock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburn::gateway {

class EventStream
{
public:
    using TimePoint = BootClock::time_point;

    // The id of the last event that the caller has already; empty if it has none.
    explicit EventStream(std::string lastEventId);

    // Another server begins; what was left of a broken event is dropped.
    void attemptStarted() { splitter_.reset(); }
    void feed(std::string_view bytes) { splitter_.feed(bytes); }
    // The whole new events that were fed; valid until the next call.
    std::string_view takeEvents(TimePoint now);
    // The last call of takeEvents() returned more than comments, which only keep a connection open.
    bool hasNewEvent() const { return hasNewEvent_; }
    // What follows the last whole event.
    std::string_view remainder() const { return splitter_.remainder(); }

    // The caller has got the head of the answer.
    bool isHeadSent() const { return headSent_; }
    void setHeadSent() { headSent_ = true; }

    const std::string &lastEventId() const { return lastEventId_; }
    std::uint64_t eventCount() const { return eventCount_; }
    std::optional<TimePoint> firstEventAt() const { return firstEventAt_; }
    std::chrono::milliseconds longestGap() const { return longestGap_; }

private:
    void appendEvent(std::string_view event);

    EventSplitter splitter_;
    std::string newEvents_;
    bool hasNewEvent_ = false;
    bool headSent_ = false;
    std::string lastEventId_;
    std::optional<std::uint64_t> lastEventNumber_;
    std::uint64_t eventCount_ = 0;
    std::optional<TimePoint> firstEventAt_;
    TimePoint lastEventAt_;
    std::chrono::milliseconds longestGap_{ 0 };
};

} // namespace auburn::gateway
