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

// Time to wait for an owner's acknowledgement, before and again after the only resend.
constexpr std::chrono::milliseconds kAckTimeout{ 300 };

// Requests slots from cell owners on behalf of this daemon's callers, and holds them until they are
// released.
//
// A request goes to the owner of a cell of the own failure domain, to the next daemon in rank order
// if the owner does not respond, and to other cells, the failure domains of the region and then
// other regions if there is no capacity or no backend server. Every attempt has a new request id on
// the wire (wire id), so that an answer to an earlier attempt is recognised: a late grant is
// released, a late refusal is ignored. A request is answered exactly once.
//
// All timers run in tick(now). Thread-safe; requests are sharded, each under its own lock.
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
        // This daemon's own cell owner, which is called directly instead of over the bus.
        CellOwner *localOwner = nullptr;
        std::function<TimePoint()> clock = [] { return std::chrono::steady_clock::now(); };
        // Returns a random number below the bound; defaults to Qt's global generator.
        std::function<unsigned(unsigned bound)> random;
        // Called with the id of a daemon that does not acknowledge requests; may be empty.
        std::function<void(const std::string &daemonId)> reportUnresponsive;
        // Returns true if requests with this fingerprint are refused because they crash backend
        // servers; may be empty.
        std::function<bool(std::uint64_t fingerprint)> crashesBackendServers;
    };

    // Returns null and sets lastError() if a required option is missing. Registers the bus handlers
    // of SlotAck, SlotGrant and SlotRefusal and the local handler of the owner.
    static std::unique_ptr<SlotClient> make(Options options);
    ~SlotClient() override;

    void request(SlotRequest request, Callback callback) override;
    // Blocks while the callback of the request runs in another thread, so the callback must not
    // wait for a lock that the thread calling cancel() holds.
    void cancel(const std::string &requestId) override;
    void release(const GrantedSlot &slot, SlotReport report) override;

    // Like request(), but tries only cells of this failure domain; for requests from another
    // failure domain. waited is the time that the request has already spent waiting there.
    void requestLocal(SlotRequest request, Callback callback, std::chrono::milliseconds waited);

    // Runs all timers: deadlines, resends, owner changes and reports of held slots. Must be called
    // every 50 ms.
    void tick(TimePoint now);

    // Number of unanswered requests and number of held slots.
    std::size_t pendingCount() const;
    std::size_t heldCount() const { return held_.size(); }

private:
    struct Pending;
    class PendingMap;

    // The destination of a request: one cell of the own failure domain, or any cell (kAnyCell) of
    // another failure domain.
    struct Target
    {
        std::string failureDomain;
        unsigned cell = 0;
        auto operator<=>(const Target &) const = default;
    };

    // A held slot with the tier and organisation that reports of held slots need.
    struct Held
    {
        GrantedSlot slot;
        unsigned tier = 0;
        std::string organisation;
    };

    // Identifies one HeldSlots message by its receiver and cell.
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
    void returnGrant(const std::string &owner, const proto::SlotGrant &grant);
    PendingPtr findPending(const std::string &wireId);

    unsigned ownCellCount(const std::string &service, const MemberView &view) const;
    std::optional<Target> nextTarget(const Pending &pending, const MemberView &view) const;
    std::optional<Target> nextCell(const Pending &pending, const MemberView &view) const;
    std::optional<Target> nextFailureDomain(const Pending &pending, const MemberView &view) const;
    std::vector<std::string> candidateDaemons(const Pending &pending, const MemberView &view) const;

    // These functions advance the state of a request; the caller holds the lock of the request.
    void tryNextTarget(Pending &pending, const MemberView &view, TimePoint now);
    bool tryNextDaemon(Pending &pending, const MemberView &view, TimePoint now);
    // Returns false if the endpoint of the daemon is unknown.
    bool sendRequest(Pending &pending, TimePoint now);
    void abandon(Pending &pending);
    void finish(Pending &pending, SlotAnswer answer);
    void tickPending(Pending &pending, const std::shared_ptr<const MemberView> &view,
                     TimePoint now);
    void tickUnacknowledged(Pending &pending, const MemberView &view, TimePoint now);
    void reportUnresponsive(const std::string &daemon, TimePoint now);
    bool ownerChanged(const Pending &pending, const MemberView &view) const;

    bool send(const std::string &daemon, proto::Envelope envelope);
    GrantedSlot withCurrentOwner(const GrantedSlot &slot, const MemberView &view) const;
    std::map<ReportKey, proto::Envelope> heldReports(const MemberView &view);
    void reportHeld(const MemberView &view, TimePoint now, bool due);

    const Options options_;
    std::atomic<std::uint64_t> nextWireId_{ 1 };
    std::unique_ptr<PendingMap> pendingByRequestId_;
    ShardedMap<PendingPtr> pendingByWireId_;
    ShardedMap<Held> held_;
    // Locked during tick(); guards the members below.
    std::mutex tickMutex_;
    TimePoint lastReportTime_;
    std::set<ReportKey> lastReportKeys_;
    std::map<std::string, TimePoint> lastReportedUnresponsive_;
    std::shared_ptr<const MemberView> lastView_;
    std::shared_ptr<const ConfigState> lastConfig_;
};

} // namespace auburn
