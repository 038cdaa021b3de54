// ServerView tells how old this daemon's knowledge of the backend servers is.
//
// A daemon that is cut off, or whose process stood still, goes on to see the servers that it knew,
// while others see new ones. So conclusions from the servers that are not listed depend on when the
// list was last confirmed: by a read of the store, dated by the moment at which it was sent, or by
// the heartbeat of a daemon that has the same servers.
#pragma once

#include "auburn/core/bootclock.h"
#include "auburn/core/confirmations.h"

#include <chrono>
#include <optional>

namespace auburn::streams {

class ServerView
{
public:
    using TimePoint = BootClock::time_point;

    ServerView();

    // A read of the store that was sent at this time has brought the list up to date.
    void recordStoreRead(TimePoint sentAt);
    // A heartbeat of another daemon was received.
    void recordHeartbeat(TimePoint now);
    // Another daemon has the same servers; its own view was this old when it sent the heartbeat.
    void recordSameServers(std::chrono::milliseconds age, TimePoint now);
    // The process runs; to be called several times a second, and before each heartbeat is
    // evaluated.
    void recordRunning(TimePoint now);
    // True if heartbeats that are received now may have waited in the socket while this process
    // stood still.
    bool mayReceiveOldMessages(TimePoint now) const;

    // The time at which the list was complete; empty if it has never been confirmed.
    std::optional<TimePoint> confirmedAt() const;
    // True if heartbeats of other daemons arrive, and did so before as well.
    bool isInContact(TimePoint now) const;

private:
    Confirmations confirmations_;
    std::optional<TimePoint> runningAt_;
    std::optional<TimePoint> resumedAt_;
    std::optional<TimePoint> heardAt_;
};

} // namespace auburn::streams
