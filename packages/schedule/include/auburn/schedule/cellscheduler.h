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

// Interval at which requesters report held slots and resend waiting requests. At 2 s, the reports
// of a requester with 100 requests in flight stay under 3 KB/s.
constexpr std::chrono::milliseconds kHeldReportPeriod{ 2000 };
// A slot or waiting request that its requester has not reported or resent for this long is dropped.
constexpr std::chrono::milliseconds kSlotLease = 3 * kHeldReportPeriod;
// Time within which a requester must dispatch its request after a grant.
constexpr std::chrono::milliseconds kDispatchTimeout{ 1000 };

// A slot request as received by the owner; the durations of the message are converted to time
// points.
struct IncomingSlotRequest
{
    // Id of the requester, the daemon that forwards the request of a caller.
    std::string requester;
    std::string requestId;
    // 0 is the highest tier.
    unsigned tier = 0;
    std::string organisation;
    std::uint64_t prefixHash = 0;
    // Start of the wait.
    std::chrono::steady_clock::time_point since;
    std::chrono::steady_clock::time_point deadline;
    std::vector<std::string> excludedBackendServers;
};

// One entry of a requester's report of held slots.
struct ReportedSlot
{
    std::string slotId;
    std::string backendServer;
    unsigned tier = 0;
    std::string organisation;
};

// The grant of a slot to a waiting request.
struct SlotGranted
{
    std::string requester;
    std::string requestId;
    std::string slotId;
    std::string backendServer;
    // host:port
    std::string address;
    std::chrono::milliseconds dispatchTimeout{ 0 };
};

// The refusal of a slot request.
struct SlotRefused
{
    std::string requester;
    std::string requestId;
    Refusal refusal;
};

// An answer to be sent to a requester.
using SlotEvent = std::variant<SlotGranted, SlotRefused>;
using SlotEvents = std::vector<SlotEvent>;

// Schedules the slots of one cell for its owner: queues requests in a TierQueue and grants them on
// the backend servers of a BackendServerTable.
//
// All state is soft: requesters resend waiting requests and report held slots, so an owner that
// starts without state has rebuilt it within one report period. Every operation is idempotent: a
// request, release or report that arrives twice has the effect of one. Thread-safe, with one lock
// per cell; answers are returned to the caller instead of sent, so that no lock is held during a
// send.
class CellScheduler
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    // Returns true if a requester is known to have died or left.
    using RequesterGone = std::function<bool(const std::string &requester)>;

    struct Options
    {
        std::string service;
        unsigned cell = 0;
        // Daemon id of the owner, as published in the load.
        std::string owner;
        TierQueue::Options queue;
        BackendServerTable::Options backendServers;
        // Longest outage of all backend servers during which requests stay queued. In a longer
        // outage they are refused, so that the requester can try another cell or failure domain.
        std::chrono::milliseconds maxOutageWait{ 2000 };
    };

    explicit CellScheduler(Options options);

    // Replaces the set of backend servers.
    SlotEvents configure(const std::vector<BackendServerSpec> &backendServers, TimePoint now);
    // Queues or refuses a request. If the request was granted before and its slot has not been
    // reported yet, repeats the grant.
    SlotEvents request(const IncomingSlotRequest &slotRequest, TimePoint now);
    // Withdraws a waiting request, or frees its slot if the grant may still be in flight.
    SlotEvents cancel(const std::string &requester, const std::string &requestId, TimePoint now);
    // Frees a slot; an unknown slot is ignored.
    SlotEvents release(const std::string &requester, const std::string &slotId,
                       const SlotReport &report, TimePoint now);
    // Reconciles the slots of a requester with its report, which lists all slots of this cell that
    // it holds.
    SlotEvents reportHeld(const std::string &requester, const std::vector<ReportedSlot> &slots,
                          TimePoint now);
    void reportLoad(const std::string &backendServer, BackendServerLoad load, TimePoint now);
    // Expires requests, leases and undispatched grants; call about every 50 ms.
    SlotEvents tick(TimePoint now, const RequesterGone &requesterGone);

    CellLoad load() const;
    // Returns true if a request with this id is waiting or holds a slot.
    bool hasRequest(const std::string &requestId) const;
    // Returns true if the cell has neither granted slots nor waiting requests.
    bool idle() const;

private:
    // A request in the queue and the time when its requester last sent it.
    struct PendingRequest
    {
        IncomingSlotRequest slotRequest;
        TimePoint lastSeen;
    };

    // A granted slot.
    struct Slot
    {
        std::string requester;
        // Empty for a slot that is known only from a report.
        std::string requestId;
        std::string organisation;
        BackendServerTable::BackendServerId backendServer = 0;
        // True if the request is the probe of an ejected backend server.
        bool probe = false;
        // True once the requester has reported the slot.
        bool confirmed = false;
        TimePoint grantedAt;
        TimePoint lastSeen;
    };

    using SlotMap = std::unordered_map<std::string, Slot>;

    // Counts releases per second, to estimate the rate at which slots become free.
    class ReleaseRate
    {
    public:
        void add(TimePoint now);
        // Returns the highest rate of the last kSeconds, in releases per second; 0 if there were
        // too few releases for an estimate.
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
    // Slot id by request id, to repeat the grant for requests that are resent after it.
    std::unordered_map<std::string, std::string> slotByRequest_;
    ReleaseRate releaseRate_;
    // A slot id is this random prefix and a counter. The prefix keeps the ids of different owners,
    // and of one owner before and after a restart, distinct.
    const std::string slotPrefix_;
    std::uint64_t slotCount_ = 0;
};

} // namespace auburn
