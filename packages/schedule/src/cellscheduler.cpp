#include "auburn/schedule/cellscheduler.h"

#include "auburn/core/ids.h"

#include <algorithm>
#include <utility>

namespace auburn {

namespace {

// Minimum number of releases in the window for an estimate.
constexpr unsigned kMinReleases = 20;
// Factor on the highest recent release rate. The rate may rise, so a request is refused early only
// if it would miss its deadline even at twice that rate.
constexpr double kRateMargin = 2.0;

Refusal makeRefusal(RefusalCode code, std::string message)
{
    return Refusal{ .code = code,
                    .verdict = Verdict::DidNotRun,
                    .message = std::move(message),
                    .retryAfter = std::chrono::seconds(1) };
}

std::int64_t secondOf(CellScheduler::TimePoint time)
{
    return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch()).count();
}

} // namespace

void CellScheduler::ReleaseRate::add(TimePoint now)
{
    const std::int64_t second = secondOf(now);
    Bucket &bucket = buckets_[static_cast<std::size_t>(second) % kSeconds];
    if (bucket.second != second)
        bucket = Bucket{ .second = second, .count = 0 };
    ++bucket.count;
}

double CellScheduler::ReleaseRate::peak(TimePoint now) const
{
    const std::int64_t second = secondOf(now);
    unsigned total = 0;
    unsigned highest = 0;
    for (const Bucket &bucket : buckets_) {
        if (bucket.second + static_cast<std::int64_t>(kSeconds) <= second)
            continue;
        total += bucket.count;
        highest = std::max(highest, bucket.count);
    }
    return total < kMinReleases ? 0 : highest;
}

CellScheduler::CellScheduler(Options options)
    : options_(std::move(options))
    , queue_(options_.queue)
    , backendServers_(options_.backendServers)
    , slotPrefix_(makeShortId() + '-')
{}

SlotEvents CellScheduler::configure(const std::vector<BackendServerSpec> &backendServers,
                                    TimePoint now)
{
    const std::lock_guard lock(mutex_);
    SlotEvents events;
    backendServers_.configure(backendServers);
    refuseDuringOutage(now, events);
    dispatch(now, events);
    return events;
}

bool CellScheduler::hasRequest(const std::string &requestId) const
{
    const std::lock_guard lock(mutex_);
    return pendingRequests_.contains(requestId) || slotByRequest_.contains(requestId);
}

SlotEvents CellScheduler::request(const IncomingSlotRequest &slotRequest, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (pendingRequests_.contains(slotRequest.requestId)
        || slotByRequest_.contains(slotRequest.requestId))
        return answerRepeated(slotRequest, now);
    SlotEvents events;
    const std::optional<Refusal> refusal = admissionRefusal(slotRequest, now);
    if (refusal) {
        events.emplace_back(SlotRefused{ slotRequest.requester, slotRequest.requestId, *refusal });
        return events;
    }
    enqueue(slotRequest, now, events);
    dispatch(now, events);
    return events;
}

SlotEvents CellScheduler::cancel(const std::string &requester, const std::string &requestId,
                                 TimePoint now)
{
    const std::lock_guard lock(mutex_);
    SlotEvents events;
    const auto waiting = pendingRequests_.find(requestId);
    if (waiting != pendingRequests_.end() && waiting->second.slotRequest.requester == requester) {
        queue_.cancel(requestId);
        pendingRequests_.erase(waiting);
        return events;
    }
    // The grant is in flight. The requester answers it with a release, which then finds no slot.
    const auto granted = slotByRequest_.find(requestId);
    if (granted == slotByRequest_.end())
        return events;
    const auto slot = slots_.find(granted->second);
    if (slot->second.requester != requester || slot->second.confirmed)
        return events;
    freeSlot(slot, SlotReport{}, now);
    dispatch(now, events);
    return events;
}

SlotEvents CellScheduler::release(const std::string &requester, const std::string &slotId,
                                  const SlotReport &report, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    SlotEvents events;
    const auto slot = slots_.find(slotId);
    if (slot == slots_.end() || slot->second.requester != requester)
        return events;
    freeSlot(slot, report, now);
    releaseRate_.add(now);
    refuseDuringOutage(now, events);
    dispatch(now, events);
    return events;
}

SlotEvents CellScheduler::reportHeld(const std::string &requester,
                                     const std::vector<ReportedSlot> &slots, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    for (const ReportedSlot &reported : slots)
        adoptSlot(requester, reported, now);
    // A slot that was reported before and is missing now has been released. A grant that was never
    // reported may still be in flight.
    for (auto slot = slots_.begin(); slot != slots_.end();) {
        const Slot &state = slot->second;
        const bool missing = state.requester == requester && state.lastSeen != now;
        const bool gracePeriodOver = state.confirmed
                                     || now - state.grantedAt > 2 * kDispatchTimeout;
        slot = missing && gracePeriodOver ? freeSlot(slot, SlotReport{}, now) : std::next(slot);
    }
    SlotEvents events;
    dispatch(now, events);
    return events;
}

void CellScheduler::reportLoad(const std::string &backendServer, BackendServerLoad load,
                               TimePoint now)
{
    const std::lock_guard lock(mutex_);
    backendServers_.reportLoad(backendServer, load, now);
}

SlotEvents CellScheduler::tick(TimePoint now, const RequesterGone &requesterGone)
{
    const std::lock_guard lock(mutex_);
    SlotEvents events;
    for (const WaitingRequest &request : queue_.expire(now)) {
        events.emplace_back(
                refuse(request, makeRefusal(RefusalCode::DeadlineExceeded,
                                            "the deadline passed while the request waited")));
    }
    dropStaleSlots(now, requesterGone);
    dropStaleRequests(now, requesterGone);
    backendServers_.update(now);
    refuseDuringOutage(now, events);
    refuseUnservable(now, events);
    dispatch(now, events);
    return events;
}

CellLoad CellScheduler::load() const
{
    const std::lock_guard lock(mutex_);
    return CellLoad{ .service = options_.service,
                     .cell = options_.cell,
                     .owner = options_.owner,
                     .freeSlots = backendServers_.freeSlots(),
                     .totalSlots = backendServers_.totalSlots(),
                     .waitingByTier = queue_.waitingByTier() };
}

bool CellScheduler::idle() const
{
    const std::lock_guard lock(mutex_);
    return slots_.empty() && queue_.size() == 0;
}

SlotEvents CellScheduler::answerRepeated(const IncomingSlotRequest &slotRequest, TimePoint now)
{
    SlotEvents events;
    const auto waiting = pendingRequests_.find(slotRequest.requestId);
    if (waiting != pendingRequests_.end()) {
        waiting->second.lastSeen = now;
        return events;
    }
    const std::string &slotId = slotByRequest_[slotRequest.requestId];
    const Slot &slot = slots_[slotId];
    if (!slot.confirmed && slot.requester == slotRequest.requester)
        events.emplace_back(grantEvent(slotId, slot));
    return events;
}

std::optional<Refusal> CellScheduler::admissionRefusal(const IncomingSlotRequest &slotRequest,
                                                       TimePoint now) const
{
    if (slotRequest.deadline <= now)
        return makeRefusal(RefusalCode::DeadlineExceeded, "the deadline has passed");
    const std::optional<TimePoint> usable = backendServers_.earliestAvailable(
            slotRequest.excludedBackendServers, now);
    if (!usable || *usable - now > options_.maxOutageWait)
        return makeRefusal(RefusalCode::NoBackendServerAvailable,
                           "no backend server of the service is available");
    if (willMissDeadline(slotRequest, now)) {
        return makeRefusal(RefusalCode::DeadlineExceeded,
                           "the estimated wait is longer than the time to the deadline");
    }
    return std::nullopt;
}

bool CellScheduler::willMissDeadline(const IncomingSlotRequest &slotRequest, TimePoint now) const
{
    const double rate = releaseRate_.peak(now) * kRateMargin;
    if (rate <= 0 || backendServers_.hasFreeSlot(now))
        return false;
    const WaitingRequest request{ .id = slotRequest.requestId,
                                  .tier = std::min(slotRequest.tier, options_.queue.tiers - 1),
                                  .organisation = slotRequest.organisation,
                                  .since = slotRequest.since,
                                  .deadline = slotRequest.deadline };
    const std::chrono::duration<double> wait(static_cast<double>(queue_.grantsAhead(request))
                                             / rate);
    return now + wait > slotRequest.deadline;
}

void CellScheduler::enqueue(const IncomingSlotRequest &slotRequest, TimePoint now,
                            SlotEvents &events)
{
    TierQueue::Admission admission = queue_.push(
            WaitingRequest{ .id = slotRequest.requestId,
                            .tier = std::min(slotRequest.tier, options_.queue.tiers - 1),
                            .organisation = slotRequest.organisation,
                            .since = slotRequest.since,
                            .deadline = slotRequest.deadline });
    if (!admission.accepted) {
        events.emplace_back(
                SlotRefused{ slotRequest.requester, slotRequest.requestId,
                             makeRefusal(RefusalCode::Overloaded,
                                         "the queue is full for requests of this class") });
        return;
    }
    pendingRequests_.emplace(slotRequest.requestId,
                             PendingRequest{ .slotRequest = slotRequest, .lastSeen = now });
    if (admission.evicted) {
        events.emplace_back(refuse(
                *admission.evicted,
                makeRefusal(
                        RefusalCode::Overloaded,
                        "the request was evicted from the queue by a request of a higher class")));
    }
}

void CellScheduler::dispatch(TimePoint now, SlotEvents &events)
{
    const TierQueue::Eligible eligible = [&](const WaitingRequest &request) {
        const IncomingSlotRequest &slotRequest = pendingRequests_.at(request.id).slotRequest;
        return slotRequest.excludedBackendServers.empty()
               || backendServers_
                          .choose(slotRequest.prefixHash, slotRequest.excludedBackendServers, now)
                          .has_value();
    };
    while (queue_.size() > 0 && backendServers_.hasFreeSlot(now)) {
        const std::optional<WaitingRequest> next = queue_.grantNext(eligible);
        if (!next)
            return;
        const auto found = pendingRequests_.find(next->id);
        const PendingRequest pending = std::move(found->second);
        pendingRequests_.erase(found);
        const auto backendServer = backendServers_.choose(
                pending.slotRequest.prefixHash, pending.slotRequest.excludedBackendServers, now);
        events.emplace_back(grant(pending, *backendServer, now));
    }
}

SlotGranted CellScheduler::grant(const PendingRequest &pending,
                                 BackendServerTable::BackendServerId backendServer, TimePoint now)
{
    const std::string slotId = slotPrefix_ + std::to_string(++slotCount_);
    const bool probe = backendServers_.acquire(backendServer, pending.slotRequest.prefixHash, now);
    queue_.slotAcquired(pending.slotRequest.organisation);
    slotByRequest_[pending.slotRequest.requestId] = slotId;
    Slot &slot = slots_[slotId];
    slot = Slot{ .requester = pending.slotRequest.requester,
                 .requestId = pending.slotRequest.requestId,
                 .organisation = pending.slotRequest.organisation,
                 .backendServer = backendServer,
                 .probe = probe,
                 .confirmed = false,
                 .grantedAt = now,
                 .lastSeen = now };
    return grantEvent(slotId, slot);
}

SlotGranted CellScheduler::grantEvent(const std::string &slotId, const Slot &slot) const
{
    return SlotGranted{ .requester = slot.requester,
                        .requestId = slot.requestId,
                        .slotId = slotId,
                        .backendServer = backendServers_.name(slot.backendServer),
                        .address = backendServers_.address(slot.backendServer),
                        .dispatchTimeout = kDispatchTimeout };
}

SlotRefused CellScheduler::refuse(const WaitingRequest &request, Refusal refusal)
{
    const auto found = pendingRequests_.find(request.id);
    SlotRefused event{ found->second.slotRequest.requester, request.id, std::move(refusal) };
    pendingRequests_.erase(found);
    return event;
}

CellScheduler::SlotMap::iterator CellScheduler::freeSlot(SlotMap::iterator slot,
                                                         const SlotReport &report, TimePoint now)
{
    const Slot &state = slot->second;
    backendServers_.release(state.backendServer, state.probe, report, now);
    queue_.slotReleased(state.organisation);
    if (!state.requestId.empty())
        slotByRequest_.erase(state.requestId);
    return slots_.erase(slot);
}

bool CellScheduler::isStale(const Slot &slot, TimePoint now,
                            const RequesterGone &requesterGone) const
{
    // A requester reports a slot within one report period after it accepts the grant.
    const auto lease = slot.confirmed ? kSlotLease : kDispatchTimeout + kHeldReportPeriod;
    return now - slot.lastSeen > lease || requesterGone(slot.requester);
}

void CellScheduler::adoptSlot(const std::string &requester, const ReportedSlot &reported,
                              TimePoint now)
{
    const auto known = slots_.find(reported.slotId);
    if (known != slots_.end()) {
        known->second.confirmed = true;
        known->second.lastSeen = now;
        return;
    }
    const std::optional<BackendServerTable::BackendServerId> backendServer = backendServers_.find(
            reported.backendServer);
    if (!backendServer)
        return;
    backendServers_.adopt(*backendServer);
    queue_.slotAcquired(reported.organisation);
    slots_[reported.slotId] = Slot{ .requester = requester,
                                    .requestId = {},
                                    .organisation = reported.organisation,
                                    .backendServer = *backendServer,
                                    .probe = false,
                                    .confirmed = true,
                                    .grantedAt = now,
                                    .lastSeen = now };
}

void CellScheduler::dropStaleSlots(TimePoint now, const RequesterGone &requesterGone)
{
    for (auto slot = slots_.begin(); slot != slots_.end();) {
        const bool stale = isStale(slot->second, now, requesterGone);
        slot = stale ? freeSlot(slot, SlotReport{}, now) : std::next(slot);
    }
}

void CellScheduler::dropStaleRequests(TimePoint now, const RequesterGone &requesterGone)
{
    for (auto pending = pendingRequests_.begin(); pending != pendingRequests_.end();) {
        const bool stale = now - pending->second.lastSeen > kSlotLease
                           || requesterGone(pending->second.slotRequest.requester);
        if (stale)
            queue_.cancel(pending->first);
        pending = stale ? pendingRequests_.erase(pending) : std::next(pending);
    }
}

void CellScheduler::refuseDuringOutage(TimePoint now, SlotEvents &events)
{
    if (queue_.size() == 0)
        return;
    const std::optional<TimePoint> usable = backendServers_.earliestAvailable({}, now);
    if (usable && *usable - now <= options_.maxOutageWait)
        return;
    for (const std::string &id : queue_.ids()) {
        const std::optional<WaitingRequest> request = queue_.cancel(id);
        events.emplace_back(
                refuse(*request, makeRefusal(RefusalCode::NoBackendServerAvailable,
                                             "no backend server of the service is available")));
    }
}

// Refuses requests that have already failed on every remaining backend server.
void CellScheduler::refuseUnservable(TimePoint now, SlotEvents &events)
{
    std::vector<std::string> unservable;
    for (const auto &[id, pending] : pendingRequests_) {
        const std::vector<std::string> &excluded = pending.slotRequest.excludedBackendServers;
        if (!excluded.empty() && !backendServers_.earliestAvailable(excluded, now))
            unservable.push_back(id);
    }
    for (const std::string &id : unservable) {
        events.emplace_back(refuse(*queue_.cancel(id),
                                   makeRefusal(RefusalCode::NoBackendServerAvailable,
                                               "the request has failed on every backend server")));
    }
}

} // namespace auburn
