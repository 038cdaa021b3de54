#pragma once

#include "auburn/schedule/slotclient.h"

#include <array>
#include <unordered_map>

namespace auburn {

// The state of one unanswered slot request.
struct SlotClient::Pending : std::enable_shared_from_this<Pending>
{
    // Locked while the state changes and while the callback runs. Recursive, because the callback
    // may call cancel().
    std::recursive_mutex mutex;
    std::atomic<bool> done = false;
    SlotRequest request;
    Callback callback;
    // Restricts the request to cells of the own failure domain.
    bool localOnly = false;
    TimePoint startedAt;
    Target target;
    std::set<Target> triedTargets;
    // Daemons that were tried for the current target.
    std::set<std::string> triedDaemons;
    std::string wireId;
    std::string owner;
    // Owner of the cell in the view when the target was chosen. owner differs from it if the
    // expected owner did not respond.
    std::string expectedOwner;
    std::uint64_t ownerIncarnation = 0;
    // Last view in which tick() compared the owner with expectedOwner.
    std::shared_ptr<const MemberView> checkedView;
    // Time of the last send; the acknowledgement is due within kAckTimeout.
    TimePoint sentAt;
    bool acknowledged = false;
    bool resent = false;
    // The refusal to report if every target refuses.
    std::optional<Refusal> refusal;
};

// Sharded map of pending requests by the caller's request id. An entry stays until its callback has
// returned, so that cancel() can wait for it; an answered entry does not block a new request with
// the same id.
class SlotClient::PendingMap
{
public:
    bool insert(const PendingPtr &pending)
    {
        Shard &shard = shardOf(pending->request.requestId);
        const std::lock_guard lock(shard.mutex);
        PendingPtr &entry = shard.entries[pending->request.requestId];
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
        Shard &shard = shardOf(pending.request.requestId);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.entries.find(pending.request.requestId);
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
