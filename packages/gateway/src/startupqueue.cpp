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

// Expired entries are removed, so that the queue stays small while the store is unavailable for
// long.
void StartupQueue::add(Handler handler, milliseconds limit)
{
    const auto now = Clock::now();
    std::erase_if(entries_, [now](const Entry &entry) { return entry.expires <= now; });
    entries_.push_back({ .handler = std::move(handler), .expires = now + limit });
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
