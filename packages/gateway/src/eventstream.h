#pragma once

#include "eventsplitter.h"

#include "auburn/core/bootclock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburn::gateway {

// EventStream assembles the events of one caller's stream, which may come from several backend
// servers.
//
// When a server fails, another one may resume the stream. The failed server may have sent a partial
// event, and the new one may repeat events. Only complete events are forwarded. An event whose
// numeric id is not higher than that of the last event is dropped; events without a numeric id are
// always forwarded.
class EventStream
{
public:
    using TimePoint = BootClock::time_point;

    // lastEventId is the id of the last event that the caller has already received; empty if there
    // is none.
    explicit EventStream(std::string lastEventId);

    // Starts an attempt at another server. A partial event of the previous one is discarded.
    void attemptStarted()
    {
        splitter_.reset();
        attemptEventCount_ = 0;
    }
    // Forgets all events: none of them was forwarded. lastEventId is that of the constructor.
    void beginAnew(std::string lastEventId);
    void feed(std::string_view bytes) { splitter_.feed(bytes); }
    // Returns the complete new events received so far. The text is valid until the next call.
    std::string_view takeEvents(TimePoint now);
    // True if the last call of takeEvents() returned at least one event that is not a comment.
    // Comments only keep the connection open.
    bool hasNewEvent() const { return hasNewEvent_; }
    // The bytes after the last complete event.
    std::string_view remainder() const { return splitter_.remainder(); }

    // Number of bytes of memory that are held.
    std::size_t heldBytes() const { return splitter_.heldBytes() + newEvents_.capacity(); }

    // True if the head of the response has been sent to the caller.
    bool isHeadSent() const { return headSent_; }
    void setHeadSent() { headSent_ = true; }

    const std::string &lastEventId() const { return lastEventId_; }
    // Number of events returned so far, without comments.
    std::uint64_t eventCount() const { return eventCount_; }
    // Number of whole events in the current attempt, without comments, but with events that the
    // caller has already received.
    std::uint64_t attemptEventCount() const { return attemptEventCount_; }
    std::optional<TimePoint> firstEventAt() const { return firstEventAt_; }
    // The longest time between two consecutive events, without comments.
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
    std::uint64_t attemptEventCount_ = 0;
    std::optional<TimePoint> firstEventAt_;
    TimePoint lastEventAt_;
    std::chrono::milliseconds longestGap_{ 0 };
};

} // namespace auburn::gateway
