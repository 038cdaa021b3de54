#include "auburn/streams/serverview.h"

#include "auburn/streams/versionhistory.h"

#include <algorithm>

namespace auburn::streams {

using std::chrono::milliseconds;

namespace {

constexpr const char *kStore = "store";
constexpr const char *kPeers = "peers";
// A process that runs handles an event at least every 100 ms.
constexpr milliseconds kMaxRunningGap{ 500 };
// Within this time after a standstill, the messages that waited in the socket have been read.
constexpr milliseconds kBacklogTime{ 300 };
// In a fleet of any size several heartbeats a second arrive from the others.
constexpr milliseconds kMaxSilence{ 1000 };
// Longest time that a heartbeat is under way.
constexpr milliseconds kHeartbeatDelay{ 150 };

} // namespace

ServerView::ServerView()
{
    confirmations_.expect(kStore);
    confirmations_.expect(kPeers);
}

void ServerView::recordStoreRead(TimePoint sentAt)
{
    confirmations_.confirm(kStore, 0, sentAt);
}

void ServerView::recordSameServers(milliseconds age, TimePoint now)
{
    if (!mayReceiveOldMessages(now))
        confirmations_.confirm(kPeers, 0, now - age - kHeartbeatDelay);
}

void ServerView::recordRunning(TimePoint now)
{
    if (runningAt_ && now - *runningAt_ > kMaxRunningGap)
        resumedAt_ = now;
    runningAt_ = now;
}

void ServerView::recordHeartbeat(TimePoint now)
{
    if (!mayReceiveOldMessages(now))
        heardAt_ = now;
}

bool ServerView::isInContact(TimePoint now) const
{
    const bool hasRun = !resumedAt_ || now - *resumedAt_ > kVersionSettleTime;
    return hasRun && heardAt_ && now - *heardAt_ <= kMaxSilence;
}

bool ServerView::mayReceiveOldMessages(TimePoint now) const
{
    return resumedAt_ && now - *resumedAt_ < kBacklogTime;
}

std::optional<ServerView::TimePoint> ServerView::confirmedAt() const
{
    return std::max(confirmations_.askedAt(kStore), confirmations_.askedAt(kPeers));
}

} // namespace auburn::streams
