// SlotGateway: serves slot requests of other failure domains.
//
// A front knows only a few contact daemons of another failure domain and none of its owners. The
// contact therefore asks for the slot as a front of its own failure domain, passes the grant on,
// and keeps the slot until the other front releases it or falls silent.
#pragma once

#include "auburn/core/shardedmap.h"
#include "auburn/schedule/slotclient.h"

#include <memory>
#include <string>

namespace auburn {

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

    // Null with lastError() set if an option is missing. Sets the foreign handler of the owner.
    static std::unique_ptr<SlotGateway> make(Options options);

    // Returns the slots of fronts that have not been heard of for kSlotLease.
    void tick(TimePoint now);

    std::size_t heldCount() const { return held_.size(); }

private:
    struct Waiting
    {
        TimePoint lastSeen;
    };

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
    // Slot by request, for requests that arrive again after the grant.
    ShardedMap<std::string> slotByRequest_;
};

} // namespace auburn
