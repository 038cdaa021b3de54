#include "auburn/schedule/slotclient.h"

#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"
#include "auburn/schedule/cells.h"
#include "deferredcalls.h"
#include "pendingslot.h"
#include "slotmessages.h"

#include <QRandomGenerator>

#include <algorithm>
#include <tuple>
#include <utility>

namespace auburn {

namespace {

// Maximum number of daemons to which a request for one cell is sent. Each unresponsive daemon costs
// two acknowledgement timeouts, so a request spends at most 1.8 s on three of them.
constexpr std::size_t kMaxDaemonsPerCell = 3;

// Minimum interval between two reports of the same unresponsive daemon, however many requests wait
// for it.
constexpr std::chrono::seconds kUnresponsiveReportInterval{ 1 };

Refusal makeRefusal(RefusalCode code, std::string message)
{
    return Refusal{ .code = code,
                    .verdict = Verdict::DidNotRun,
                    .message = std::move(message),
                    .retryAfter = std::nullopt };
}

std::uint64_t millisecondsBetween(std::chrono::steady_clock::time_point from,
                                  std::chrono::steady_clock::time_point to)
{
    const auto time = std::chrono::ceil<std::chrono::milliseconds>(to - from);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.count()));
}

// Returns true for a refusal after which another cell or failure domain may still grant a slot.
bool mayBeGrantedElsewhere(RefusalCode code)
{
    return code == RefusalCode::Overloaded || code == RefusalCode::NoBackendServerAvailable
           || code == RefusalCode::DeadlineExceeded || code == RefusalCode::NotReady;
}

// Returns a sort key; lower is better: most free slots first, then fewest requests waiting in the
// tier or higher ones.
std::tuple<int, unsigned> loadRank(unsigned freeSlots, const std::vector<unsigned> &waitingByTier,
                                   unsigned tier)
{
    unsigned ahead = 0;
    for (std::size_t i = 0; i < waitingByTier.size() && i <= tier; ++i)
        ahead += waitingByTier[i];
    return { -static_cast<int>(freeSlots), ahead };
}

std::tuple<int, unsigned> cellRank(const MemberView &view, const SlotRequest &request,
                                   unsigned cell)
{
    for (const CellLoad &load : view.cells) {
        if (load.cell == cell && load.service == request.service)
            return loadRank(load.freeSlots, load.waitingByTier, request.tier);
    }
    return { 0, 0 };
}

const FailureDomainServiceLoad *findService(const FailureDomainView &failureDomain,
                                            const std::string &service)
{
    const auto found = std::find_if(
            failureDomain.services.begin(), failureDomain.services.end(),
            [&](const FailureDomainServiceLoad &load) { return load.service == service; });
    return found == failureDomain.services.end() ? nullptr : &*found;
}

const Member *findMember(const MemberView &view, const std::string &id)
{
    const auto found = std::find_if(view.members.begin(), view.members.end(),
                                    [&](const Member &member) { return member.id == id; });
    return found == view.members.end() ? nullptr : &*found;
}

} // namespace

std::unique_ptr<SlotClient> SlotClient::make(Options options)
{
    if (!options.bus || !options.views || !options.config || !options.localOwner) {
        setLastError("slot client requires a bus, a view source, a configuration and a cell owner");
        return nullptr;
    }
    if (!options.random)
        options.random = [](unsigned bound) { return QRandomGenerator::global()->bounded(bound); };
    std::unique_ptr<SlotClient> client(new SlotClient(std::move(options)));
    const MessageBus::Handler handler = [self = client.get()](const std::string &sender,
                                                              const proto::Envelope &envelope) {
        self->onEnvelope(sender, envelope);
    };
    MessageBus &bus = *client->options_.bus;
    bus.setHandler(proto::Envelope::kSlotAck, handler);
    bus.setHandler(proto::Envelope::kSlotGrant, handler);
    bus.setHandler(proto::Envelope::kSlotRefusal, handler);
    client->options_.localOwner->setLocalHandler(handler);
    return client;
}

SlotClient::SlotClient(Options options)
    : options_(std::move(options))
    , pendingByRequestId_(std::make_unique<PendingMap>())
{}

SlotClient::~SlotClient() = default;

std::size_t SlotClient::pendingCount() const
{
    return pendingByRequestId_->all().size();
}

void SlotClient::request(SlotRequest request, Callback callback)
{
    const auto pending = std::make_shared<Pending>();
    pending->request = std::move(request);
    pending->callback = std::move(callback);
    pending->startedAt = options_.clock();
    start(pending);
}

void SlotClient::requestLocal(SlotRequest request, Callback callback,
                              std::chrono::milliseconds waited)
{
    const auto pending = std::make_shared<Pending>();
    pending->request = std::move(request);
    pending->callback = std::move(callback);
    pending->startedAt = options_.clock() - waited;
    pending->localOnly = true;
    start(pending);
}

void SlotClient::start(const PendingPtr &pending)
{
    const DeferredCalls::Scope scope;
    const std::lock_guard lock(pending->mutex);
    const std::uint64_t fingerprint = pending->request.fingerprint;
    const auto view = options_.views->view();
    if (!pendingByRequestId_->insert(pending)) {
        pending->callback(makeRefusal(RefusalCode::InvalidRequest, "the request id is in use"));
    } else if (fingerprint != 0 && options_.crashesBackendServers
               && options_.crashesBackendServers(fingerprint)) {
        finish(*pending, makeRefusal(RefusalCode::CrashesBackendServers,
                                     "the request has repeatedly crashed backend servers"));
    } else if (!view) {
        finish(*pending, makeRefusal(RefusalCode::NotReady, "the daemon has no member view yet"));
    } else {
        tryNextTarget(*pending, *view, options_.clock());
    }
}

void SlotClient::cancel(const std::string &requestId)
{
    const DeferredCalls::Scope scope;
    const PendingPtr pending = pendingByRequestId_->find(requestId);
    if (!pending)
        return;
    const std::lock_guard lock(pending->mutex);
    if (pending->done)
        return;
    pending->done = true;
    abandon(*pending);
    pendingByRequestId_->erase(*pending);
}

void SlotClient::release(const GrantedSlot &slot, SlotReport report)
{
    const DeferredCalls::Scope scope;
    const std::optional<Held> held = held_.take(slot.slotId);
    if (!held)
        return;
    send(held->slot.owner, releaseMessage(held->slot, report));
    if (const auto view = options_.views->view()) {
        const GrantedSlot current = withCurrentOwner(held->slot, *view);
        if (current.owner != held->slot.owner)
            send(current.owner, releaseMessage(current, report));
    }
}

void SlotClient::tick(TimePoint now)
{
    const DeferredCalls::Scope scope;
    const std::lock_guard tickLock(tickMutex_);
    const auto view = options_.views->view();
    if (!view)
        return;
    // Held slots are reported first, so that a new owner has them before it receives waiting
    // requests.
    const auto config = options_.config();
    const bool changed = view != lastView_ || config != lastConfig_;
    lastView_ = view;
    lastConfig_ = config;
    const bool due = now - lastReportTime_ >= kHeldReportPeriod;
    if (due || changed)
        reportHeld(*view, now, due);

    for (const PendingPtr &pending : pendingByRequestId_->all()) {
        const std::lock_guard lock(pending->mutex);
        if (!pending->done)
            tickPending(*pending, view, now);
    }
}

void SlotClient::onEnvelope(const std::string &sender, const proto::Envelope &envelope)
{
    const DeferredCalls::Scope scope;
    if (envelope.has_slot_ack())
        onAck(envelope.slot_ack());
    else if (envelope.has_slot_grant())
        onGrant(sender, envelope.slot_grant());
    else if (envelope.has_slot_refusal())
        onRefusal(envelope.slot_refusal());
}

void SlotClient::onAck(const proto::SlotAck &ack)
{
    const PendingPtr pending = findPending(ack.request_id());
    if (!pending)
        return;
    const std::lock_guard lock(pending->mutex);
    if (pending->wireId == ack.request_id())
        pending->acknowledged = true;
}

void SlotClient::onGrant(const std::string &sender, const proto::SlotGrant &grant)
{
    const PendingPtr pending = findPending(grant.request_id());
    if (!pending) {
        returnGrant(sender, grant);
        return;
    }
    const std::lock_guard lock(pending->mutex);
    if (pending->done || pending->wireId != grant.request_id()) {
        returnGrant(sender, grant);
        return;
    }
    const TimePoint now = options_.clock();
    if (now >= pending->request.deadline) {
        returnGrant(sender, grant);
        finish(*pending, makeRefusal(RefusalCode::DeadlineExceeded, "the deadline has passed"));
        return;
    }
    const TimePoint dispatchDeadline = now + std::chrono::milliseconds(grant.dispatch_within_ms());
    GrantedSlot slot{ .slotId = grant.slot_id(),
                      .backendServer = grant.backend_server(),
                      .address = grant.address(),
                      .service = pending->request.service,
                      .cell = pending->target.cell,
                      .owner = sender,
                      .dispatchDeadline = std::min(dispatchDeadline, pending->request.deadline) };
    held_.put(slot.slotId, Held{ .slot = slot,
                                 .tier = pending->request.tier,
                                 .organisation = pending->request.organisation });
    finish(*pending, std::move(slot));
}

void SlotClient::onRefusal(const proto::SlotRefusal &refusal)
{
    const PendingPtr pending = findPending(refusal.request_id());
    if (!pending)
        return;
    const std::lock_guard lock(pending->mutex);
    if (pending->done || pending->wireId != refusal.request_id())
        return;
    Refusal reason = refusalFromProto(refusal);
    if (!mayBeGrantedElsewhere(reason.code)) {
        finish(*pending, std::move(reason));
        return;
    }
    // The first refusal is kept, but any other reason replaces NoBackendServerAvailable, which
    // tells the caller least.
    if (!pending->refusal || pending->refusal->code == RefusalCode::NoBackendServerAvailable)
        pending->refusal = std::move(reason);
    pendingByWireId_.take(pending->wireId);
    pending->wireId.clear();
    pending->owner.clear();
    if (const auto view = options_.views->view())
        tryNextTarget(*pending, *view, options_.clock());
}

void SlotClient::returnGrant(const std::string &owner, const proto::SlotGrant &grant)
{
    // A duplicate grant of a slot in use must not free the slot.
    if (held_.visit(grant.slot_id(), [](const Held &) {}))
        return;
    send(owner, releaseMessage(GrantedSlot{ .slotId = grant.slot_id(),
                                            .backendServer = grant.backend_server() },
                               SlotReport{}));
}

SlotClient::PendingPtr SlotClient::findPending(const std::string &wireId)
{
    PendingPtr pending;
    pendingByWireId_.visit(wireId, [&](const PendingPtr &found) { pending = found; });
    return pending;
}

unsigned SlotClient::ownCellCount(const std::string &service, const MemberView &view) const
{
    const auto config = options_.config();
    if (!config)
        return 0;
    const std::vector<const BackendServer *> backendServers = config->backendServers(
            service, view.failureDomain);
    const bool anyAccepts = std::any_of(
            backendServers.begin(), backendServers.end(), [&](const BackendServer *backendServer) {
                return !backendServer->draining
                       && !view.leavingBackendServers.contains(backendServer->name);
            });
    return anyAccepts ? cellCount(backendServers.size()) : 0;
}

std::optional<SlotClient::Target> SlotClient::nextTarget(const Pending &pending,
                                                         const MemberView &view) const
{
    std::optional<Target> cell = nextCell(pending, view);
    if (cell || pending.localOnly)
        return cell;
    return nextFailureDomain(pending, view);
}

std::optional<SlotClient::Target> SlotClient::nextCell(const Pending &pending,
                                                       const MemberView &view) const
{
    std::vector<unsigned> untried;
    const unsigned count = ownCellCount(pending.request.service, view);
    for (unsigned cell = 0; cell < count; ++cell) {
        if (!pending.triedTargets.contains(
                    Target{ .failureDomain = view.failureDomain, .cell = cell }))
            untried.push_back(cell);
    }
    if (untried.empty())
        return std::nullopt;
    const auto size = static_cast<unsigned>(untried.size());
    const std::uint64_t prefix = pending.request.prefixHash;
    // Requests with the same prefix start at the same cell, whose owner knows the backend server
    // that has it cached.
    const unsigned first = prefix != 0 ? static_cast<unsigned>(prefix % size)
                                       : options_.random(size);
    const unsigned second = size == 1 ? first : (first + 1 + options_.random(size - 1)) % size;
    const auto firstRank = cellRank(view, pending.request, untried[first]);
    const auto secondRank = cellRank(view, pending.request, untried[second]);
    const bool firstHasFreeSlot = prefix != 0 && std::get<0>(firstRank) < 0;
    const unsigned chosen = firstHasFreeSlot || firstRank <= secondRank ? first : second;
    return Target{ .failureDomain = view.failureDomain, .cell = untried[chosen] };
}

std::optional<SlotClient::Target> SlotClient::nextFailureDomain(const Pending &pending,
                                                                const MemberView &view) const
{
    const FailureDomainView *best = nullptr;
    std::tuple<bool, std::tuple<int, unsigned>> bestRank;
    for (const FailureDomainView &failureDomain : view.failureDomains) {
        const FailureDomainServiceLoad *load = findService(failureDomain, pending.request.service);
        const bool usable = failureDomain.reachable && load && load->totalSlots > 0
                            && !failureDomain.contacts.empty();
        if (!usable
            || pending.triedTargets.contains(
                    Target{ .failureDomain = failureDomain.failureDomain, .cell = kAnyCell }))
            continue;
        const std::tuple rank(failureDomain.region != view.region,
                              loadRank(load->freeSlots, load->waitingByTier, pending.request.tier));
        if (!best || rank < bestRank) {
            best = &failureDomain;
            bestRank = rank;
        }
    }
    if (!best)
        return std::nullopt;
    return Target{ .failureDomain = best->failureDomain, .cell = kAnyCell };
}

std::vector<std::string> SlotClient::candidateDaemons(const Pending &pending,
                                                      const MemberView &view) const
{
    std::vector<std::string> daemons;
    if (pending.target.cell == kAnyCell) {
        for (const FailureDomainView &failureDomain : view.failureDomains) {
            if (failureDomain.failureDomain != pending.target.failureDomain)
                continue;
            for (const Member &contact : failureDomain.contacts)
                daemons.push_back(contact.id);
        }
        return daemons;
    }
    daemons = view.rankedOwners(
            cellKey(pending.request.service, view.failureDomain, pending.target.cell));
    if (daemons.empty())
        daemons.push_back(options_.selfId);
    if (daemons.size() > kMaxDaemonsPerCell)
        daemons.resize(kMaxDaemonsPerCell);
    return daemons;
}

void SlotClient::tryNextTarget(Pending &pending, const MemberView &view, TimePoint now)
{
    while (const std::optional<Target> target = nextTarget(pending, view)) {
        pending.target = *target;
        pending.triedTargets.insert(*target);
        pending.triedDaemons.clear();
        if (tryNextDaemon(pending, view, now))
            return;
    }
    finish(pending,
           pending.refusal.value_or(makeRefusal(RefusalCode::NoBackendServerAvailable,
                                                "no backend server of the service is available")));
}

bool SlotClient::tryNextDaemon(Pending &pending, const MemberView &view, TimePoint now)
{
    const std::vector<std::string> daemons = candidateDaemons(pending, view);
    for (const std::string &daemon : daemons) {
        if (!pending.triedDaemons.insert(daemon).second)
            continue;
        abandon(pending);
        pending.wireId = pending.request.requestId + '.' + std::to_string(nextWireId_++);
        pendingByWireId_.put(pending.wireId, pending.shared_from_this());
        pending.owner = daemon;
        pending.expectedOwner = daemons.front();
        const Member *member = findMember(view, daemon);
        pending.ownerIncarnation = member ? member->incarnation : 0;
        pending.resent = false;
        if (sendRequest(pending, now))
            return true;
    }
    return false;
}

bool SlotClient::sendRequest(Pending &pending, TimePoint now)
{
    const SlotRequest &request = pending.request;
    proto::Envelope envelope;
    envelope.set_traceparent(request.traceparent);
    proto::SlotRequest *message = envelope.mutable_slot_request();
    message->set_request_id(pending.wireId);
    message->set_service(request.service);
    message->set_failure_domain(pending.target.failureDomain);
    message->set_cell(pending.target.cell);
    message->set_tier(request.tier);
    message->set_organisation(request.organisation);
    message->set_prefix_hash(request.prefixHash);
    message->set_prompt_tokens(request.promptTokens);
    message->set_fingerprint(request.fingerprint);
    message->set_deadline_ms(millisecondsBetween(now, request.deadline));
    message->set_waited_ms(millisecondsBetween(pending.startedAt, now));
    for (const std::string &backendServer : request.excludedBackendServers)
        message->add_excluded_backend_servers(backendServer);
    pending.sentAt = now;
    pending.acknowledged = false;
    return send(pending.owner, std::move(envelope));
}

// Cancels the request at the current owner; late answers of that owner no longer match a pending
// request.
void SlotClient::abandon(Pending &pending)
{
    if (pending.wireId.empty())
        return;
    pendingByWireId_.take(pending.wireId);
    send(pending.owner, cancelMessage(pending.wireId));
    pending.wireId.clear();
}

void SlotClient::finish(Pending &pending, SlotAnswer answer)
{
    const PendingPtr keepAlive = pending.shared_from_this();
    pending.done = true;
    if (!pending.wireId.empty())
        pendingByWireId_.take(pending.wireId);
    const Callback callback = std::move(pending.callback);
    callback(std::move(answer));
    pendingByRequestId_->erase(pending);
}

void SlotClient::tickPending(Pending &pending, const std::shared_ptr<const MemberView> &view,
                             TimePoint now)
{
    if (now >= pending.request.deadline) {
        abandon(pending);
        finish(pending, makeRefusal(RefusalCode::DeadlineExceeded,
                                    "the deadline passed while the request waited"));
        return;
    }
    const bool changed = view != pending.checkedView && ownerChanged(pending, *view);
    pending.checkedView = view;
    if (changed) {
        pending.triedDaemons.clear();
        if (!tryNextDaemon(pending, *view, now))
            tryNextTarget(pending, *view, now);
        return;
    }
    if (!pending.acknowledged) {
        tickUnacknowledged(pending, *view, now);
    } else if (now - pending.sentAt >= kHeldReportPeriod) {
        // Renews the lease at the owner and makes it repeat a lost answer.
        pending.resent = false;
        sendRequest(pending, now);
    }
}

void SlotClient::tickUnacknowledged(Pending &pending, const MemberView &view, TimePoint now)
{
    if (now - pending.sentAt < kAckTimeout)
        return;
    if (!pending.resent) {
        pending.resent = true;
        sendRequest(pending, now);
        return;
    }
    reportUnresponsive(pending.owner, now);
    if (!tryNextDaemon(pending, view, now))
        tryNextTarget(pending, view, now);
}

void SlotClient::reportUnresponsive(const std::string &daemon, TimePoint now)
{
    std::erase_if(lastReportedUnresponsive_, [&](const auto &entry) {
        return now - entry.second >= kUnresponsiveReportInterval;
    });
    if (!lastReportedUnresponsive_.emplace(daemon, now).second)
        return;
    logEvent(LogLevel::Warning, "slot-owner-silent", { { "daemon", daemon } });
    if (options_.reportUnresponsive)
        options_.reportUnresponsive(daemon);
}

bool SlotClient::ownerChanged(const Pending &pending, const MemberView &view) const
{
    if (pending.target.cell == kAnyCell)
        return false;
    const std::string owner = view.ownerOf(
            cellKey(pending.request.service, view.failureDomain, pending.target.cell));
    if (!owner.empty() && owner != pending.expectedOwner)
        return true;
    const Member *member = findMember(view, pending.owner);
    return member && member->incarnation != pending.ownerIncarnation;
}

bool SlotClient::send(const std::string &daemon, proto::Envelope envelope)
{
    envelope.set_sender(options_.selfId);
    if (daemon != options_.selfId)
        return options_.bus->send(daemon, std::move(envelope));
    DeferredCalls::post([this, message = std::move(envelope)] {
        options_.localOwner->handle(options_.selfId, message);
    });
    return true;
}

// Returns the slot with the cell and owner of its backend server in the current configuration and
// view.
GrantedSlot SlotClient::withCurrentOwner(const GrantedSlot &slot, const MemberView &view) const
{
    GrantedSlot result = slot;
    const unsigned cells = ownCellCount(slot.service, view);
    if (slot.cell == kAnyCell || cells == 0)
        return result;
    result.cell = cellOfBackendServer(slot.backendServer, cells);
    const std::string owner = view.ownerOf(cellKey(slot.service, view.failureDomain, result.cell));
    if (!owner.empty())
        result.owner = owner;
    return result;
}

std::map<SlotClient::ReportKey, proto::Envelope> SlotClient::heldReports(const MemberView &view)
{
    std::map<ReportKey, proto::Envelope> reports;
    const auto add = [&](const GrantedSlot &at, const Held &held) {
        proto::Envelope &envelope = reports[{ at.owner, at.service, at.cell }];
        proto::HeldSlot *entry = envelope.mutable_held_slots()->add_slots();
        entry->set_slot_id(at.slotId);
        entry->set_backend_server(at.backendServer);
        entry->set_tier(held.tier);
        entry->set_organisation(held.organisation);
    };
    std::vector<Held> all;
    held_.visitAll([&](const std::string &, const Held &held) { all.push_back(held); });
    for (const Held &held : all) {
        const GrantedSlot current = withCurrentOwner(held.slot, view);
        add(current, held);
        // Reporting to the granting owner too keeps its slot count correct while views differ.
        if (current.owner != held.slot.owner || current.cell != held.slot.cell)
            add(held.slot, held);
    }
    return reports;
}

void SlotClient::reportHeld(const MemberView &view, TimePoint now, bool due)
{
    std::map<ReportKey, proto::Envelope> reports = heldReports(view);
    std::set<ReportKey> keys;
    for (const auto &entry : reports)
        keys.insert(entry.first);
    // Before the period has elapsed, a report is needed only if some slot has a new owner.
    if (!due
        && std::includes(lastReportKeys_.begin(), lastReportKeys_.end(), keys.begin(), keys.end()))
        return;
    lastReportTime_ = now;
    // An owner that missed a release learns of it from an empty report.
    for (const ReportKey &key : lastReportKeys_)
        reports[key];
    lastReportKeys_ = std::move(keys);
    for (auto &[key, envelope] : reports) {
        envelope.mutable_held_slots()->set_service(key.service);
        envelope.mutable_held_slots()->set_cell(key.cell);
        send(key.daemon, std::move(envelope));
    }
}

} // namespace auburn
