// CellScheduler: the owner's side of one cell, made of a TierQueue and a BackendServerTable.
//
// All state is soft: fronts resend waiting requests and report held slots, so an owner that starts
// without state is complete within one report period. Every operation is safe to repeat: a request,
// release or report that arrives twice has one effect. Thread-safe, one lock per cell; answers are
// returned and not sent, so no lock is held while a message is sent.
#pragma once

#include "auburn/core/refusal.h"
#include "auburn/mesh/memberview.h"
#include "auburn/schedule/backendservertable.h"
#include "auburn/schedule/tierqueue.h"

#include <array>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace auburn {

// Fronts report held slots and resend waiting requests this often. Two seconds keep the reports of
// a front with 100 requests in flight under 3 KB/s.
constexpr std::chrono::milliseconds kHeldReportPeriod{ 2000 };
// A slot or waiting request that its front has not mentioned for this long is dropped.
constexpr std::chrono::milliseconds kSlotLease = 3 * kHeldReportPeriod;
// Time within which a front must dispatch on a grant.
constexpr std::chrono::milliseconds kDispatchTimeout{ 1000 };

// A front's request for a slot, as the owner sees it.
struct IncomingSlotRequest
{
    std::string requester;
    std::string requestId;
    unsigned tier = 0;
    std::string organisation;
    std::uint64_t prefixHash = 0;
    std::chrono::steady_clock::time_point since;
    std::chrono::steady_clock::time_point deadline;
    std::vector<std::string> excludedBackendServers;
};

// One entry of a front's report of held slots.
struct ReportedSlot
{
    std::string slotId;
    std::string backendServer;
    unsigned tier = 0;
    std::string organisation;
};

struct SlotGranted
{
    std::string requester;
    std::string requestId;
    std::string slotId;
    std::string backendServer;
    std::string address;
    std::chrono::milliseconds dispatchTimeout{ 0 };
};

struct SlotRefused
{
    std::string requester;
    std::string requestId;
    Refusal refusal;
};

using SlotEvent = std::variant<SlotGranted, SlotRefused>;
using SlotEvents = std::vector<SlotEvent>;

class CellScheduler
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    // True if a daemon is known to have died or left.
    using RequesterGone = std::function<bool(const std::string &requester)>;

    struct Options
    {
        std::string service;
        unsigned cell = 0;
        // Daemon id of the owner, for the published load.
        std::string owner;
        TierQueue::Options queue;
        BackendServerTable::Options backendServers;
        // Requests wait through an outage of all backend servers that ends within this time, and
        // are refused in a longer one so that the front can try elsewhere.
        std::chrono::milliseconds maxOutageWait{ 2000 };
    };

    explicit CellScheduler(Options options);

    SlotEvents configure(const std::vector<BackendServerSpec> &backendServers, TimePoint now);
    SlotEvents request(const IncomingSlotRequest &slotRequest, TimePoint now);
    SlotEvents cancel(const std::string &requester, const std::string &requestId, TimePoint now);
    // Returns a slot; a slot that is not known is ignored.
    SlotEvents release(const std::string &requester, const std::string &slotId,
                       const SlotReport &report, TimePoint now);
    // All slots of this cell that a front holds.
    SlotEvents reportHeld(const std::string &requester, const std::vector<ReportedSlot> &slots,
                          TimePoint now);
    void reportLoad(const std::string &backendServer, BackendServerLoad load, TimePoint now);
    // Expires requests, leases and undispatched grants; to be called every 50 ms or so.
    SlotEvents tick(TimePoint now, const RequesterGone &requesterGone);

    CellLoad load() const;
    // True if a request with this id waits or holds a slot.
    bool hasRequest(const std::string &requestId) const;
    // True if the cell holds neither slots nor waiting requests.
    bool idle() const;

private:
    struct PendingRequest
    {
        IncomingSlotRequest slotRequest;
        TimePoint lastSeen;
    };

    struct Slot
    {
        std::string requester;
        // Empty for a slot that was learned from a report.
        std::string requestId;
        std::string organisation;
        BackendServerTable::BackendServerId backendServer = 0;
        bool probe = false;
        // True once the front has reported the slot.
        bool confirmed = false;
        TimePoint granted;
        TimePoint lastSeen;
    };

    using SlotMap = std::unordered_map<std::string, Slot>;

    // Releases counted by second, to estimate the rate at which slots become free.
    class ReleaseRate
    {
    public:
        void add(TimePoint now);
        // Highest rate per second of the last seconds; 0 if too few releases have been seen.
        double peak(TimePoint now) const;

    private:
        static constexpr std::size_t kSeconds = 10;
        struct Bucket
        {
            std::int64_t second = -1;
            unsigned count = 0;
        };
        std::array<Bucket, kSeconds> buckets_;
    };

    SlotEvents answerRepeated(const IncomingSlotRequest &slotRequest, TimePoint now);
    std::optional<Refusal> admissionRefusal(const IncomingSlotRequest &slotRequest,
                                            TimePoint now) const;
    bool willMissDeadline(const IncomingSlotRequest &slotRequest, TimePoint now) const;
    void enqueue(const IncomingSlotRequest &slotRequest, TimePoint now, SlotEvents &events);
    void dispatch(TimePoint now, SlotEvents &events);
    SlotGranted grant(const PendingRequest &pending,
                      BackendServerTable::BackendServerId backendServer, TimePoint now);
    SlotGranted grantEvent(const std::string &slotId, const Slot &slot) const;
    SlotRefused refuse(const WaitingRequest &request, Refusal refusal);
    SlotMap::iterator freeSlot(SlotMap::iterator slot, const SlotReport &report, TimePoint now);
    bool isStale(const Slot &slot, TimePoint now, const RequesterGone &requesterGone) const;
    void adoptSlot(const std::string &requester, const ReportedSlot &reported, TimePoint now);
    void dropStaleSlots(TimePoint now, const RequesterGone &requesterGone);
    void dropStaleRequests(TimePoint now, const RequesterGone &requesterGone);
    void refuseDuringOutage(TimePoint now, SlotEvents &events);
    void refuseUnservable(TimePoint now, SlotEvents &events);

    const Options options_;
    mutable std::mutex mutex_;
    TierQueue queue_;
    BackendServerTable backendServers_;
    std::unordered_map<std::string, PendingRequest> pendingRequests_;
    SlotMap slots_;
    // Slot by request id, for requests that arrive again after the grant.
    std::unordered_map<std::string, std::string> slotByRequest_;
    ReleaseRate releaseRate_;
    // Slot ids are a random prefix and a number; the prefix tells owners and restarts apart.
    const std::string slotPrefix_;
    std::uint64_t slotCount_ = 0;
};

} // namespace auburn
