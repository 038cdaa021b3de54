#include "auburn/schedule/cellscheduler.h"

#include "auburn/core/ids.h"

#include <algorithm>
#include <utility>

namespace auburn {

namespace {

// Releases in the window that are needed for an estimate.
constexpr unsigned kMinReleases = 20;
// The rate may rise; only a request that misses at twice the highest recent rate is refused early.
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
    refuseInOutage(now, events);
    dispatch(now, events);
    return events;
}

bool CellScheduler::knows(const std::string &requestId) const
{
    const std::lock_guard lock(mutex_);
    return asks_.contains(requestId) || slotByRequest_.contains(requestId);
}

SlotEvents CellScheduler::request(const SlotAsk &ask, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (asks_.contains(ask.requestId) || slotByRequest_.contains(ask.requestId))
        return answerRepeated(ask, now);
    SlotEvents events;
    const std::optional<Refusal> refusal = refusalBeforeQueue(ask, now);
    if (refusal) {
        events.emplace_back(SlotRefused{ ask.front, ask.requestId, *refusal });
        return events;
    }
    enqueue(ask, now, events);
    dispatch(now, events);
    return events;
}

SlotEvents CellScheduler::cancel(const std::string &front, const std::string &requestId,
                                 TimePoint now)
{
    const std::lock_guard lock(mutex_);
    SlotEvents events;
    const auto waiting = asks_.find(requestId);
    if (waiting != asks_.end() && waiting->second.ask.front == front) {
        queue_.cancel(requestId);
        asks_.erase(waiting);
        return events;
    }
    // The grant is on its way; the front answers it with a release, which then finds nothing.
    const auto granted = slotByRequest_.find(requestId);
    if (granted == slotByRequest_.end())
        return events;
    const auto slot = slots_.find(granted->second);
    if (slot->second.front != front || slot->second.confirmed)
        return events;
    drop(slot, SlotReport{}, now);
    dispatch(now, events);
    return events;
}

SlotEvents CellScheduler::release(const std::string &front, const std::string &slotId,
                                  const SlotReport &report, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    SlotEvents events;
    const auto slot = slots_.find(slotId);
    if (slot == slots_.end() || slot->second.front != front)
        return events;
    drop(slot, report, now);
    releaseRate_.add(now);
    refuseInOutage(now, events);
    dispatch(now, events);
    return events;
}

SlotEvents CellScheduler::reportHeld(const std::string &front,
                                     const std::vector<ReportedSlot> &slots, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    for (const ReportedSlot &reported : slots)
        adoptSlot(front, reported, now);
    // A slot that was reported before and is missing now has been released; a grant that was never
    // reported may still be on its way.
    for (auto slot = slots_.begin(); slot != slots_.end();) {
        const Slot &state = slot->second;
        const bool missing = state.front == front && state.lastSeen != now;
        const bool settled = state.confirmed || now - state.granted > 2 * kDispatchWithin;
        slot = missing && settled ? drop(slot, SlotReport{}, now) : std::next(slot);
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

SlotEvents CellScheduler::tick(TimePoint now, const FrontGone &frontGone)
{
    const std::lock_guard lock(mutex_);
    SlotEvents events;
    for (const WaitingRequest &request : queue_.expire(now)) {
        events.emplace_back(
                refuse(request, makeRefusal(RefusalCode::DeadlineExceeded,
                                            "the deadline passed while the request waited")));
    }
    dropStaleSlots(now, frontGone);
    dropStaleAsks(now, frontGone);
    backendServers_.update(now);
    refuseInOutage(now, events);
    refuseExcluded(now, events);
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

SlotEvents CellScheduler::answerRepeated(const SlotAsk &ask, TimePoint now)
{
    SlotEvents events;
    const auto waiting = asks_.find(ask.requestId);
    if (waiting != asks_.end()) {
        waiting->second.lastSeen = now;
        return events;
    }
    const std::string &slotId = slotByRequest_[ask.requestId];
    const Slot &slot = slots_[slotId];
    if (!slot.confirmed && slot.front == ask.front)
        events.emplace_back(grantEvent(slotId, slot));
    return events;
}

std::optional<Refusal> CellScheduler::refusalBeforeQueue(const SlotAsk &ask, TimePoint now) const
{
    if (ask.deadline <= now)
        return makeRefusal(RefusalCode::DeadlineExceeded, "the deadline has passed");
    const std::optional<TimePoint> usable = backendServers_.usableFrom(ask.excludedBackendServers,
                                                                       now);
    if (!usable || *usable - now > options_.maxOutageWait)
        return makeRefusal(RefusalCode::NoBackendServerAvailable,
                           "no backend server of the service is available");
    if (surelyMisses(ask, now)) {
        return makeRefusal(RefusalCode::DeadlineExceeded,
                           "the estimated wait is longer than the time to the deadline");
    }
    return std::nullopt;
}

bool CellScheduler::surelyMisses(const SlotAsk &ask, TimePoint now) const
{
    const double rate = releaseRate_.peak(now) * kRateMargin;
    if (rate <= 0 || backendServers_.hasFreeSlot(now))
        return false;
    const WaitingRequest request{ .id = ask.requestId,
                                  .tier = std::min(ask.tier, options_.queue.tiers - 1),
                                  .organisation = ask.organisation,
                                  .since = ask.since,
                                  .deadline = ask.deadline };
    const std::chrono::duration<double> wait(static_cast<double>(queue_.grantsAhead(request))
                                             / rate);
    return now + wait > ask.deadline;
}

void CellScheduler::enqueue(const SlotAsk &ask, TimePoint now, SlotEvents &events)
{
    TierQueue::Admission admission = queue_.push(
            WaitingRequest{ .id = ask.requestId,
                            .tier = std::min(ask.tier, options_.queue.tiers - 1),
                            .organisation = ask.organisation,
                            .since = ask.since,
                            .deadline = ask.deadline });
    if (!admission.accepted) {
        events.emplace_back(SlotRefused{
                ask.front, ask.requestId,
                makeRefusal(RefusalCode::Overloaded, "the queue has no room for the class") });
        return;
    }
    asks_.emplace(ask.requestId, Ask{ .ask = ask, .lastSeen = now });
    if (admission.evicted) {
        events.emplace_back(refuse(*admission.evicted,
                                   makeRefusal(RefusalCode::Overloaded,
                                               "a request of a higher class took the place")));
    }
}

void CellScheduler::dispatch(TimePoint now, SlotEvents &events)
{
    const TierQueue::Eligible eligible = [&](const WaitingRequest &request) {
        const SlotAsk &ask = asks_.at(request.id).ask;
        return ask.excludedBackendServers.empty()
               || backendServers_.choose(ask.prefixHash, ask.excludedBackendServers, now)
                          .has_value();
    };
    while (queue_.size() > 0 && backendServers_.hasFreeSlot(now)) {
        const std::optional<WaitingRequest> next = queue_.grantNext(eligible);
        if (!next)
            return;
        const auto found = asks_.find(next->id);
        const Ask ask = std::move(found->second);
        asks_.erase(found);
        const auto backendServer = backendServers_.choose(ask.ask.prefixHash,
                                                          ask.ask.excludedBackendServers, now);
        events.emplace_back(grant(ask, *backendServer, now));
    }
}

SlotGranted CellScheduler::grant(const Ask &ask, BackendServerTable::BackendServerId backendServer,
                                 TimePoint now)
{
    const std::string slotId = slotPrefix_ + std::to_string(++slotCount_);
    const bool probe = backendServers_.acquire(backendServer, ask.ask.prefixHash, now);
    queue_.slotTaken(ask.ask.organisation);
    slotByRequest_[ask.ask.requestId] = slotId;
    Slot &slot = slots_[slotId];
    slot = Slot{ .front = ask.ask.front,
                 .requestId = ask.ask.requestId,
                 .organisation = ask.ask.organisation,
                 .backendServer = backendServer,
                 .probe = probe,
                 .confirmed = false,
                 .granted = now,
                 .lastSeen = now };
    return grantEvent(slotId, slot);
}

SlotGranted CellScheduler::grantEvent(const std::string &slotId, const Slot &slot) const
{
    return SlotGranted{ .front = slot.front,
                        .requestId = slot.requestId,
                        .slotId = slotId,
                        .backendServer = backendServers_.name(slot.backendServer),
                        .address = backendServers_.address(slot.backendServer),
                        .dispatchWithin = kDispatchWithin };
}

SlotRefused CellScheduler::refuse(const WaitingRequest &request, Refusal refusal)
{
    const auto found = asks_.find(request.id);
    SlotRefused event{ found->second.ask.front, request.id, std::move(refusal) };
    asks_.erase(found);
    return event;
}

CellScheduler::SlotMap::iterator CellScheduler::drop(SlotMap::iterator slot,
                                                     const SlotReport &report, TimePoint now)
{
    const Slot &state = slot->second;
    backendServers_.release(state.backendServer, state.probe, report, now);
    queue_.slotReturned(state.organisation);
    if (!state.requestId.empty())
        slotByRequest_.erase(state.requestId);
    return slots_.erase(slot);
}

bool CellScheduler::isStale(const Slot &slot, TimePoint now, const FrontGone &frontGone) const
{
    // A front reports a slot within one period of taking the grant.
    const auto lease = slot.confirmed ? kSlotLease : kDispatchWithin + kHeldReportPeriod;
    return now - slot.lastSeen > lease || frontGone(slot.front);
}

void CellScheduler::adoptSlot(const std::string &front, const ReportedSlot &reported, TimePoint now)
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
    queue_.slotTaken(reported.organisation);
    slots_[reported.slotId] = Slot{ .front = front,
                                    .requestId = {},
                                    .organisation = reported.organisation,
                                    .backendServer = *backendServer,
                                    .probe = false,
                                    .confirmed = true,
                                    .granted = now,
                                    .lastSeen = now };
}

void CellScheduler::dropStaleSlots(TimePoint now, const FrontGone &frontGone)
{
    for (auto slot = slots_.begin(); slot != slots_.end();) {
        const bool stale = isStale(slot->second, now, frontGone);
        slot = stale ? drop(slot, SlotReport{}, now) : std::next(slot);
    }
}

void CellScheduler::dropStaleAsks(TimePoint now, const FrontGone &frontGone)
{
    for (auto ask = asks_.begin(); ask != asks_.end();) {
        const bool stale = now - ask->second.lastSeen > kSlotLease
                           || frontGone(ask->second.ask.front);
        if (stale)
            queue_.cancel(ask->first);
        ask = stale ? asks_.erase(ask) : std::next(ask);
    }
}

void CellScheduler::refuseInOutage(TimePoint now, SlotEvents &events)
{
    if (queue_.size() == 0)
        return;
    const std::optional<TimePoint> usable = backendServers_.usableFrom({}, now);
    if (usable && *usable - now <= options_.maxOutageWait)
        return;
    for (const std::string &id : queue_.ids()) {
        const std::optional<WaitingRequest> request = queue_.cancel(id);
        events.emplace_back(
                refuse(*request, makeRefusal(RefusalCode::NoBackendServerAvailable,
                                             "no backend server of the service is available")));
    }
}

// Requests that have already failed on every backend server that is left.
void CellScheduler::refuseExcluded(TimePoint now, SlotEvents &events)
{
    std::vector<std::string> hopeless;
    for (const auto &[id, ask] : asks_) {
        const std::vector<std::string> &excluded = ask.ask.excludedBackendServers;
        if (!excluded.empty() && !backendServers_.usableFrom(excluded, now))
            hopeless.push_back(id);
    }
    for (const std::string &id : hopeless) {
        events.emplace_back(refuse(*queue_.cancel(id),
                                   makeRefusal(RefusalCode::NoBackendServerAvailable,
                                               "the request has failed on every backend server")));
    }
}

} // namespace auburn
