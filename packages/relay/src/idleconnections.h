// IdleConnections: the caller connections of one worker thread that wait for a request, or whose
// last answer is written, the one that has waited longest first.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <limits>
#include <list>

namespace auburn {

class CallerConnection;

class IdleConnections
{
public:
    using Clock = std::chrono::steady_clock;
    static constexpr std::int64_t kNone = std::numeric_limits<std::int64_t>::max();

    // Membership of one connection. The list node exists once, so that entering and leaving, which
    // every request does, allocate nothing.
    class Entry
    {
    public:
        Entry(IdleConnections &idle, CallerConnection *connection)
            : idle_(idle)
            , node_{ Node{ .connection = connection } }
        {}
        ~Entry() { leave(); }
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

        void enter()
        {
            if (node_.empty())
                leave();
            node_.front().since = Clock::now();
            position_ = node_.begin();
            idle_.nodes_.splice(idle_.nodes_.end(), node_);
            idle_.updateOldest();
        }

        void leave()
        {
            if (!node_.empty())
                return;
            node_.splice(node_.begin(), idle_.nodes_, position_);
            idle_.updateOldest();
        }

    private:
        friend class IdleConnections;
        struct Node
        {
            CallerConnection *connection = nullptr;
            Clock::time_point since;
        };

        IdleConnections &idle_;
        std::list<Node> node_;
        std::list<Node>::iterator position_;
    };

    // The first connection for which the action returns true ends the walk. The action may make
    // that connection leave, but no other one.
    template<typename Action>
    bool any(Action action)
    {
        for (const Entry::Node &node : nodes_) {
            if (action(*node.connection))
                return true;
        }
        return false;
    }

    // Time on the steady clock since which the first connection waits, kNone without one. Callable
    // from any thread.
    std::int64_t oldestSince() const { return oldest_.load(std::memory_order_relaxed); }

private:
    void updateOldest()
    {
        const std::int64_t oldest = nodes_.empty()
                                            ? kNone
                                            : nodes_.front().since.time_since_epoch().count();
        oldest_.store(oldest, std::memory_order_relaxed);
    }

    std::list<Entry::Node> nodes_;
    std::atomic<std::int64_t> oldest_{ kNone };
};

} // namespace auburn
