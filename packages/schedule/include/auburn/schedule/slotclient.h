// SlotClient: the front's side of slot grants.
//
// It asks the owner of a cell of its own failure domain, moves on to the next daemon if the owner
// is silent, and to other cells, the failure domains of the region and other regions if there is no
// room or no backend server. Every step uses a new wire id, so an answer that belongs to an earlier
// step is recognised: a late grant is released, a late refusal is ignored. A request is answered
// exactly once.
//
// All timers run in tick(now). Thread-safe; requests are sharded, each under its own lock.
#pragma once

#include "auburn/config/configstate.h"
#include "auburn/core/shardedmap.h"
#include "auburn/mesh/bus.h"
#include "auburn/mesh/memberview.h"
#include "auburn/schedule/cellowner.h"
#include "auburn/schedule/slotsource.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburn {

// Time to wait for an owner's acknowledgement before the single retry, and again after it.
constexpr std::chrono::milliseconds kAckTimeout{ 300 };

class SlotClient : public SlotSource
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Options
    {
        std::string selfId;
        MessageBus *bus = nullptr;
        const MemberViewSource *views = nullptr;
        CellOwner::ConfigSource config;
        // This daemon's own owner side, for direct calls.
        CellOwner *localOwner = nullptr;
        std::function<TimePoint()> clock = [] { return std::chrono::steady_clock::now(); };
        // A random number below the bound; by default Qt's generator.
        std::function<unsigned(unsigned bound)> random;
        // Called with the id of a daemon that does not acknowledge; may be empty.
        std::function<void(const std::string &daemonId)> reportUnresponsive;
        // True if requests with this fingerprint are refused because they crash backend servers;
        // may be empty.
        std::function<bool(std::uint64_t fingerprint)> crashesBackendServers;
    };

    // Null with lastError() set if a required option is missing. Sets the bus handlers of SlotAck,
    // SlotGrant and SlotRefusal and the local handler of the owner.
    static std::unique_ptr<SlotClient> make(Options options);
    ~SlotClient() override;

    void request(SlotRequest demand, Callback callback) override;
    // Waits for a callback of the request that runs in another thread; the callback must therefore
    // not wait for a lock that is held here.
    void cancel(const std::string &requestId) override;
    void release(const GrantedSlot &slot, SlotReport report) override;

    // Like request, but never leaves this failure domain; for requests that came from another
    // failure domain. waited is the time that the request has spent waiting there.
    void requestHere(SlotRequest demand, Callback callback, std::chrono::milliseconds waited);

    void tick(TimePoint now);

    // Requests without an answer, and slots held.
    std::size_t pendingCount() const;
    std::size_t heldCount() const { return held_.size(); }

private:
    struct Pending;
    class PendingMap;

    // Where a request is sent: a cell of the own failure domain, or any cell of another failure
    // domain.
    struct Target
    {
        std::string failureDomain;
        unsigned cell = 0;
        auto operator<=>(const Target &) const = default;
    };

    struct Held
    {
        GrantedSlot slot;
        unsigned tier = 0;
        std::string organisation;
    };

    // One message of held slots: its receiver and cell.
    struct ReportKey
    {
        std::string daemon;
        std::string service;
        unsigned cell = 0;
        auto operator<=>(const ReportKey &) const = default;
    };

    using PendingPtr = std::shared_ptr<Pending>;

    explicit SlotClient(Options options);

    void start(const PendingPtr &pending);
    void onEnvelope(const std::string &sender, const proto::Envelope &envelope);
    void onAck(const proto::SlotAck &ack);
    void onGrant(const std::string &sender, const proto::SlotGrant &grant);
    void onRefusal(const proto::SlotRefusal &refusal);
    void giveBack(const std::string &owner, const proto::SlotGrant &grant);
    PendingPtr pendingOf(const std::string &wireId);

    unsigned cellsHere(const std::string &service, const MemberView &view) const;
    std::optional<Target> nextTarget(const Pending &pending, const MemberView &view) const;
    std::optional<Target> nextCell(const Pending &pending, const MemberView &view) const;
    std::optional<Target> nextFailureDomain(const Pending &pending, const MemberView &view) const;
    std::vector<std::string> daemonsFor(const Pending &pending, const MemberView &view) const;

    // Steps of a request; the caller holds the lock of the request.
    void tryNextTarget(Pending &pending, const MemberView &view, TimePoint now);
    bool tryNextDaemon(Pending &pending, const MemberView &view, TimePoint now);
    bool sendRequest(Pending &pending, TimePoint now);
    void abandon(Pending &pending);
    void finish(Pending &pending, SlotAnswer answer);
    void tickPending(Pending &pending, const std::shared_ptr<const MemberView> &view,
                     TimePoint now);
    void tickUnacknowledged(Pending &pending, const MemberView &view, TimePoint now);
    void suspect(const std::string &daemon, TimePoint now);
    bool ownerChanged(const Pending &pending, const MemberView &view) const;

    bool send(const std::string &daemon, proto::Envelope envelope);
    GrantedSlot atOwnerNow(const GrantedSlot &slot, const MemberView &view) const;
    std::map<ReportKey, proto::Envelope> heldReports(const MemberView &view);
    void reportHeld(const MemberView &view, TimePoint now, bool due);

    const Options options_;
    std::atomic<std::uint64_t> nextWire_{ 1 };
    std::unique_ptr<PendingMap> byRequest_;
    ShardedMap<PendingPtr> byWire_;
    ShardedMap<Held> held_;
    // Held during tick, for the members below.
    std::mutex tickMutex_;
    TimePoint lastReport_;
    std::set<ReportKey> lastReported_;
    std::map<std::string, TimePoint> lastSuspected_;
    std::shared_ptr<const MemberView> lastView_;
    std::shared_ptr<const ConfigState> lastConfig_;
};

} // namespace auburn
