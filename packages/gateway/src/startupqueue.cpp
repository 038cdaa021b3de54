#include "startupqueue.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

// The rest of the time limit remains for the request itself, or for a retry at a daemon that can
// route.
constexpr int kTimeLimitDivisor = 4;
// Callers give up streams that stay silent for two seconds.
constexpr milliseconds kMaxWait{ 1500 };

} // namespace

milliseconds startupWaitLimit(std::optional<milliseconds> timeLimit)
{
    return timeLimit ? std::min(*timeLimit / kTimeLimitDivisor, kMaxWait) : milliseconds(0);
}

StartupQueue::EntryId StartupQueue::add(Handler handler)
{
    entries_.push_back({ .id = ++lastId_, .handler = std::move(handler) });
    return lastId_;
}

void StartupQueue::remove(EntryId id)
{
    std::erase_if(entries_, [id](const Entry &entry) { return entry.id == id; });
}

void StartupQueue::release()
{
    if (entries_.empty())
        return;
    boost::asio::post(io_, [this, alive = std::weak_ptr<int>(alive_)] {
        if (alive.expired())
            return;
        for (const Entry &entry : std::exchange(entries_, {}))
            entry.handler();
    });
}

} // namespace auburn::gateway
