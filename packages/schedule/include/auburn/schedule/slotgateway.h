#pragma once

#include "auburn/core/shardedmap.h"
#include "auburn/schedule/slotclient.h"

#include <memory>
#include <string>

namespace auburn {

// Serves slot requests of daemons in other failure domains by proxying them to the owners of this
// one.
//
// A requester knows only a few contact daemons of another failure domain and none of its owners.
// The contact therefore requests the slot on its behalf through its own SlotClient, forwards the
// grant, and holds the slot until the requester releases it or is not heard of for kSlotLease.
class SlotGateway
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Options
    {
        MessageBus *bus = nullptr;
        SlotClient *client = nullptr;
        CellOwner *owner = nullptr;
        std::function<TimePoint()> clock = [] { return std::chrono::steady_clock::now(); };
    };

    // Returns null and sets lastError() if an option is missing. Registers itself as the owner's
    // handler for messages from other failure domains.
    static std::unique_ptr<SlotGateway> make(Options options);

    // Cancels the requests and releases the slots of requesters that have not been heard of for
    // kSlotLease. Must be called every 50 ms.
    void tick(TimePoint now);

    // Number of slots held for requesters of other failure domains.
    std::size_t heldCount() const { return held_.size(); }

private:
    // A request of a remote requester that waits for an answer.
    struct Waiting
    {
        TimePoint lastSeen;
    };

    // A slot held for a remote requester.
    struct Held
    {
        std::string requester;
        std::string wireId;
        GrantedSlot slot;
        TimePoint lastSeen;
    };

    explicit SlotGateway(Options options);

    void handle(const std::string &sender, const proto::Envelope &envelope);
    void onRequest(const std::string &requester, const proto::Envelope &envelope);
    void onAnswer(const std::string &requester, const std::string &wireId, SlotAnswer answer);
    void onCancel(const std::string &requester, const std::string &wireId);
    void onRelease(const std::string &requester, const proto::SlotRelease &release);
    void onHeldSlots(const std::string &requester, const proto::HeldSlots &report);
    void releaseHeld(const std::string &slotId, const SlotReport &report);
    void sendGrant(const Held &held);

    const Options options_;
    ShardedMap<Waiting> waiting_;
    ShardedMap<Held> held_;
    // Slot id by local request id, to repeat the grant for requests that are resent after it.
    ShardedMap<std::string> slotByRequest_;
};

} // namespace auburn
