#pragma once

#include "auburn/daemon/operatorbackend.h"

#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace auburn {

// OperatorBackend for tests, with the state of a small fleet. Changes are applied immediately,
// unless a test sets a fixed result or holds the callback.
class FakeBackend : public OperatorBackend
{
public:
    FakeBackend()
    {
        put(Service{ .name = "chat" }, 1);
        put(RequestClass{ .name = "gold", .tier = 0 }, 2);
        put(RequestClass{ .name = "bulk", .tier = 7, .targetFirstToken = std::chrono::seconds(30) },
            3);
        put(Organisation{ .name = "acme", .maxConcurrent = 100 }, 4);
        put(Caller{ .name = "web",
                    .organisation = "acme",
                    .className = "gold",
                    .tokenSha256 = std::string(64, 'a') },
            5);
        put(BackendServer{ .name = "r1",
                           .service = "chat",
                           .failureDomain = "a",
                           .address = "127.0.0.1:1",
                           .slots = 4 },
            6);
        put(BackendServer{ .name = "r2",
                           .service = "chat",
                           .failureDomain = "a",
                           .address = "127.0.0.1:2",
                           .slots = 16 },
            7);
        put(BackendServer{ .name = "r3",
                           .service = "chat",
                           .failureDomain = "b",
                           .address = "127.0.0.1:3",
                           .slots = 8 },
            8);
        view_.selfId = "d1";
        view_.failureDomain = "a";
        view_.region = "north";
        view_.members = { Member{ .id = "d1", .status = MemberStatus::Ready, .configRevision = 8 },
                          Member{ .id = "d2", .status = MemberStatus::Dead, .configRevision = 1 } };
        view_.failureDomains = { FailureDomainView{ .failureDomain = "b",
                                                    .region = "south",
                                                    .minConfigRevision = 8,
                                                    .maxConfigRevision = 8,
                                                    .liveDaemons = 2 } };
        view_.cells = { CellLoad{ .service = "chat",
                                  .owner = "d1",
                                  .freeSlots = 3,
                                  .totalSlots = 20,
                                  .waitingByTier = { 1, 0, 2 } } };
        view_.leavingBackendServers = { "r2" };
    }

    std::shared_ptr<const ConfigState> configState() const override
    {
        const std::lock_guard lock(mutex_);
        return hasConfigState_ ? ConfigState::make(items_, revision_) : nullptr;
    }

    std::shared_ptr<const MemberView> memberView() const override
    {
        const std::lock_guard lock(mutex_);
        return std::make_shared<const MemberView>(view_);
    }

    void submit(proto::ConfigChange change, ChangeCallback callback) override
    {
        ChangeResult result;
        {
            const std::lock_guard lock(mutex_);
            changes_.push_back(change);
            if (holdCallbacks_) {
                heldCallback_ = std::move(callback);
                return;
            }
            result = fixedResult_ ? *fixedResult_ : applyChange(change);
        }
        callback(result);
    }

    std::vector<ChangeHistoryEntry> history() const override
    {
        const std::lock_guard lock(mutex_);
        std::vector<ChangeHistoryEntry> entries;
        for (const proto::ConfigChange &change : changes_)
            entries.push_back({ .change = change, .offset = 9 + entries.size() });
        return entries;
    }

    // Makes every failure domain report the given revision as in force.
    void setProgress(std::uint64_t revision)
    {
        const std::lock_guard lock(mutex_);
        view_.members[0].configRevision = revision;
        view_.failureDomains[0].minConfigRevision = revision;
    }

    // Makes every later change end with this result instead of being applied.
    void setResult(ChangeResult result)
    {
        const std::lock_guard lock(mutex_);
        fixedResult_ = std::move(result);
    }

    // From now on, keeps the callback of the latest change instead of calling it, so that no result
    // is reported.
    void holdCallbacks()
    {
        const std::lock_guard lock(mutex_);
        holdCallbacks_ = true;
    }

    // Returns the last held callback; the test reports the result through it.
    ChangeCallback takeHeldCallback()
    {
        const std::lock_guard lock(mutex_);
        return std::exchange(heldCallback_, nullptr);
    }

    // Removes the loads of all cells from the member view.
    void clearCells()
    {
        const std::lock_guard lock(mutex_);
        view_.cells.clear();
    }

    // Makes configState() return null from now on.
    void clearConfigState()
    {
        const std::lock_guard lock(mutex_);
        hasConfigState_ = false;
    }

    std::vector<proto::ConfigChange> changes() const
    {
        const std::lock_guard lock(mutex_);
        return changes_;
    }

private:
    void put(const ItemValue &value, std::uint64_t revision)
    {
        items_[keyOf(value)] = std::make_shared<const Item>(
                Item{ .value = value, .revision = revision });
        revision_ = std::max(revision_, revision);
    }

    // Applies the change as the log would: rejects it unless its base is the item's current
    // revision.
    ChangeResult applyChange(const proto::ConfigChange &change)
    {
        const auto item = itemFromProto(change.item());
        const ItemKey key = keyOf(item->value);
        const auto found = items_.find(key);
        const std::uint64_t current = found == items_.end() ? 0 : found->second->revision;
        if (current != change.base_revision())
            return ChangeConflict{ "the item is at revision " + std::to_string(current) };
        ++revision_;
        if (change.remove())
            items_.erase(key);
        else
            put(item->value, revision_);
        return ChangeAccepted{ revision_ };
    }

    mutable std::mutex mutex_;
    ConfigState::ItemMap items_;
    std::uint64_t revision_ = 0;
    MemberView view_;
    std::vector<proto::ConfigChange> changes_;
    std::optional<ChangeResult> fixedResult_;
    ChangeCallback heldCallback_;
    bool holdCallbacks_ = false;
    bool hasConfigState_ = true;
};

} // namespace auburn
