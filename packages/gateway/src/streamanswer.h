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

class StreamAnswer
{
public:
    using TimePoint = BootClock::time_point;

    // The id of the last event that the caller has already; empty if it has none.
    explicit StreamAnswer(std::string lastEventId);

    // Another server begins; what was left of a broken event is dropped.
    void attemptStarted() { splitter_.reset(); }
    void feed(std::string_view bytes) { splitter_.feed(bytes); }
    // The whole new events that were fed; valid until the next call.
    std::string_view takeEvents(TimePoint now);
    // The last call of takeEvents() returned more than comments, which only keep a connection open.
    bool tookEvent() const { return tookEvent_; }
    // What follows the last whole event.
    std::string_view rest() const { return splitter_.rest(); }

    // The caller has got the head of the answer.
    bool hasBegun() const { return begun_; }
    void setBegun() { begun_ = true; }

    const std::string &lastEventId() const { return lastEventId_; }
    std::uint64_t events() const { return events_; }
    std::optional<TimePoint> firstEventAt() const { return firstEventAt_; }
    std::chrono::milliseconds longestGap() const { return longestGap_; }

private:
    void appendEvent(std::string_view event);

    EventSplitter splitter_;
    std::string taken_;
    bool tookEvent_ = false;
    bool begun_ = false;
    std::string lastEventId_;
    std::optional<std::uint64_t> lastEventNumber_;
    std::uint64_t events_ = 0;
    std::optional<TimePoint> firstEventAt_;
    TimePoint lastEventAt_;
    std::chrono::milliseconds longestGap_{ 0 };
};

} // namespace auburn::gateway
