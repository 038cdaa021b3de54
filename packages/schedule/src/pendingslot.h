// The state of one slot request of a front, and the table of these requests.
#pragma once

#include "auburn/schedule/slotclient.h"

#include <array>
#include <unordered_map>

namespace auburn {

struct SlotClient::Pending : std::enable_shared_from_this<Pending>
{
    // Held while the state changes and while the callback runs. Recursive, because the callback may
    // cancel.
    std::recursive_mutex mutex;
    std::atomic<bool> done = false;
    SlotRequest demand;
    Callback callback;
    bool staysHere = false;
    TimePoint started;
    Target target;
    std::set<Target> tried;
    // Daemons asked for the current target.
    std::set<std::string> asked;
    std::string wireId;
    std::string owner;
    // Owner of the cell by the view when the target was chosen; owner differs from it if it was
    // silent.
    std::string viewOwner;
    std::uint64_t ownerIncarnation = 0;
    // View in which tick has found the owner unchanged.
    std::shared_ptr<const MemberView> checkedView;
    // Time of the last send; the acknowledgement is due kAckTimeout later.
    TimePoint sent;
    bool acknowledged = false;
    bool resent = false;
    // The refusal to report if every target refuses.
    std::optional<Refusal> refusal;
};

// Requests by the caller's request id. An entry stays until its callback has returned, so that a
// cancel can wait for it; a finished entry does not hinder a new request with the same id.
class SlotClient::PendingMap
{
public:
    bool insert(const PendingPtr &pending)
    {
        Shard &shard = shardOf(pending->demand.requestId);
        const std::lock_guard lock(shard.mutex);
        PendingPtr &entry = shard.entries[pending->demand.requestId];
        if (entry && !entry->done)
            return false;
        entry = pending;
        return true;
    }

    PendingPtr find(const std::string &requestId)
    {
        Shard &shard = shardOf(requestId);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.entries.find(requestId);
        return found == shard.entries.end() ? nullptr : found->second;
    }

    void erase(const Pending &pending)
    {
        Shard &shard = shardOf(pending.demand.requestId);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.entries.find(pending.demand.requestId);
        if (found != shard.entries.end() && found->second.get() == &pending)
            shard.entries.erase(found);
    }

    std::vector<PendingPtr> all()
    {
        std::vector<PendingPtr> result;
        for (Shard &shard : shards_) {
            const std::lock_guard lock(shard.mutex);
            for (const auto &entry : shard.entries)
                result.push_back(entry.second);
        }
        return result;
    }

private:
    struct Shard
    {
        std::mutex mutex;
        std::unordered_map<std::string, PendingPtr> entries;
    };

    Shard &shardOf(const std::string &requestId)
    {
        return shards_[std::hash<std::string>{}(requestId) % shards_.size()];
    }

    std::array<Shard, 16> shards_;
};

} // namespace auburn
