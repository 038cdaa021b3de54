#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace auburn::gateway {

// Returns how long a request may wait for a daemon that cannot route yet. Callers that state no
// time limit do not wait.
std::chrono::milliseconds startupWaitLimit(std::optional<std::chrono::milliseconds> timeLimit);

// StartupQueue holds requests that arrive before the daemon has a configuration and a backend
// server. After a restart of all daemons the callers come back within the same second, and most of
// them retry only once, so a request that waits is served where a rejected one would be lost.
class StartupQueue
{
public:
    // Routes or rejects the waiting request; it is called at most once.
    using Handler = std::function<void()>;

    // Identifies an entry; 0 identifies none.
    using EntryId = std::uint64_t;

    explicit StartupQueue(boost::asio::io_context &io)
        : io_(io)
    {}

    // Adds a waiting request. The handler, and what it owns, is kept until it is called or removed.
    EntryId add(Handler handler);
    // Removes an entry, for example because its time has passed. Does nothing if it is not in the
    // queue.
    void remove(EntryId id);
    // Calls the handlers in the order in which the requests arrived, after the current event has
    // been processed: one response of the store may hold many servers, and the first one must not
    // receive all requests.
    void release();

private:
    struct Entry
    {
        EntryId id = 0;
        Handler handler;
    };

    boost::asio::io_context &io_;
    std::vector<Entry> entries_;
    EntryId lastId_ = 0;
    // A posted call sees that the queue no longer exists.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace auburn::gateway
