#include "auburn/schedule/cellowner.h"

#include "auburn/core/lasterror.h"
#include "auburn/schedule/cells.h"
#include "deferredcalls.h"
#include "slotmessages.h"

#include <string_view>
#include <unordered_set>
#include <utility>

namespace auburn {

namespace {

struct EventToMessage
{
    proto::Envelope operator()(const SlotGranted &grant) const { return grantMessage(grant); }
    proto::Envelope operator()(const SlotRefused &refused) const
    {
        return refusalMessage(refused.requestId, refused.refusal);
    }
};

} // namespace

std::unique_ptr<CellOwner> CellOwner::make(Options options)
{
    if (!options.bus || !options.views || !options.config || options.selfId.empty()) {
        setLastError("cell owner requires a daemon id, a bus, a view source and a configuration");
        return nullptr;
    }
    std::unique_ptr<CellOwner> owner(new CellOwner(std::move(options)));
    const MessageBus::Handler handler = [self = owner.get()](const std::string &sender,
                                                             const proto::Envelope &envelope) {
        self->handle(sender, envelope);
    };
    MessageBus &bus = *owner->options_.bus;
    bus.setHandler(proto::Envelope::kSlotRequest, handler);
    bus.setHandler(proto::Envelope::kSlotCancel, handler);
    bus.setHandler(proto::Envelope::kSlotRelease, handler);
    bus.setHandler(proto::Envelope::kHeldSlots, handler);
    return owner;
}

CellOwner::CellOwner(Options options)
    : options_(std::move(options))
    , poisonRequestGuard_(options_.poisonRequests)
{}

void CellOwner::handle(const std::string &sender, const proto::Envelope &envelope)
{
    const DeferredCalls::Scope scope;
    switch (envelope.body_case()) {
    case proto::Envelope::kSlotRequest:
        onRequest(sender, envelope);
        break;
    case proto::Envelope::kSlotCancel:
        onCancel(sender, envelope);
        break;
    case proto::Envelope::kSlotRelease:
        onRelease(sender, envelope);
        break;
    case proto::Envelope::kHeldSlots:
        onHeldSlots(sender, envelope);
        break;
    default:
        break;
    }
}

void CellOwner::reportLoad(const std::string &backendServer, BackendServerLoad load)
{
    const TimePoint now = options_.clock();
    for (const auto &entry : cells())
        entry.second->reportLoad(backendServer, load, now);
}

void CellOwner::tick(TimePoint now)
{
    const DeferredCalls::Scope scope;
    const auto config = options_.config();
    const auto view = options_.views->view();
    if (!config || !view)
        return;
    if (config != lastConfig_ || view != lastView_)
        reconfigure(*config, *view, now);
    if (config != lastConfig_ && options_.publishRevision)
        options_.publishRevision(config->revision());
    lastConfig_ = config;
    lastView_ = view;

    std::unordered_set<std::string_view> departed;
    for (const Member &member : view->members) {
        if (member.status == MemberStatus::Dead || member.status == MemberStatus::Left)
            departed.insert(member.id);
    }
    const CellScheduler::RequesterGone requesterGone = [&departed](const std::string &requester) {
        return departed.contains(requester);
    };
    for (const auto &entry : cells())
        sendAll(entry.second->tick(now, requesterGone));
    publish(*view);
}

std::vector<CellLoad> CellOwner::loads() const
{
    std::vector<CellLoad> result;
    for (const auto &entry : cells())
        result.push_back(entry.second->load());
    return result;
}

void CellOwner::onRequest(const std::string &requester, const proto::Envelope &envelope)
{
    const proto::SlotRequest &request = envelope.slot_request();
    if (request.cell() == kAnyCell) {
        if (remoteDomainHandler_)
            remoteDomainHandler_(requester, envelope);
        return;
    }
    send(requester, ackMessage(request.request_id()));
    const Cell cell = findOrCreateCell(
            CellId{ .service = request.service(), .cell = request.cell() });
    if (!cell) {
        send(requester,
             refusalMessage(request.request_id(),
                            Refusal{ .code = RefusalCode::NoBackendServerAvailable,
                                     .verdict = Verdict::DidNotRun,
                                     .message = "the cell has no backend server of the service",
                                     .retryAfter = std::nullopt }));
        return;
    }
    const TimePoint now = options_.clock();
    const IncomingSlotRequest slotRequest = incomingRequestFromProto(requester, request, now);
    // A resent request has already been admitted.
    if (!cell->hasRequest(slotRequest.requestId)) {
        if (const auto refusal = poisonRequestGuard_.admit(request.fingerprint(), now)) {
            send(requester, refusalMessage(request.request_id(), *refusal));
            return;
        }
    }
    sendAll(cell->request(slotRequest, now));
}

void CellOwner::onCancel(const std::string &requester, const proto::Envelope &envelope)
{
    const TimePoint now = options_.clock();
    for (const auto &entry : cells())
        sendAll(entry.second->cancel(requester, envelope.slot_cancel().request_id(), now));
    if (remoteDomainHandler_)
        remoteDomainHandler_(requester, envelope);
}

void CellOwner::onRelease(const std::string &requester, const proto::Envelope &envelope)
{
    const proto::SlotRelease &release = envelope.slot_release();
    const SlotReport report = reportFromProto(release);
    const TimePoint now = options_.clock();
    // With kAnyCell, the slot was granted by an owner in another failure domain, which counts the
    // crash.
    if (release.cell() != kAnyCell)
        poisonRequestGuard_.attemptEnded(report.fingerprint, report.crashed);
    // A late grant is released without service and cell, which the requester no longer knows.
    const bool anywhere = release.service().empty();
    if (anywhere) {
        for (const auto &entry : cells())
            sendAll(entry.second->release(requester, release.slot_id(), report, now));
    } else if (const Cell cell = findCell({ release.service(), release.cell() })) {
        sendAll(cell->release(requester, release.slot_id(), report, now));
    }
    if (remoteDomainHandler_ && (anywhere || release.cell() == kAnyCell))
        remoteDomainHandler_(requester, envelope);
}

void CellOwner::onHeldSlots(const std::string &requester, const proto::Envelope &envelope)
{
    const proto::HeldSlots &held = envelope.held_slots();
    if (held.cell() == kAnyCell) {
        if (remoteDomainHandler_)
            remoteDomainHandler_(requester, envelope);
        return;
    }
    const Cell cell = findOrCreateCell(CellId{ .service = held.service(), .cell = held.cell() });
    if (cell)
        sendAll(cell->reportHeld(requester, reportedSlotsFromProto(held), options_.clock()));
}

void CellOwner::send(const std::string &requester, proto::Envelope envelope)
{
    envelope.set_sender(options_.selfId);
    if (requester != options_.selfId) {
        options_.bus->send(requester, std::move(envelope));
        return;
    }
    if (localHandler_) {
        DeferredCalls::post(
                [this, message = std::move(envelope)] { localHandler_(options_.selfId, message); });
    }
}

void CellOwner::sendAll(const SlotEvents &events)
{
    for (const SlotEvent &event : events) {
        const std::string &requester = std::visit(
                [](const auto &answer) -> const std::string & { return answer.requester; }, event);
        send(requester, std::visit(EventToMessage{}, event));
    }
}

CellOwner::Cell CellOwner::findCell(const CellId &id) const
{
    const std::shared_lock lock(mutex_);
    const auto found = cells_.find(id);
    return found == cells_.end() ? nullptr : found->second;
}

CellOwner::Cell CellOwner::findOrCreateCell(const CellId &id)
{
    if (Cell cell = findCell(id))
        return cell;
    const auto config = options_.config();
    const auto view = options_.views->view();
    if (!config || !view)
        return nullptr;
    const std::vector<BackendServerSpec> backendServers = backendServersOf(id, *config, *view);
    if (backendServers.empty())
        return nullptr;
    const Cell created = std::make_shared<CellScheduler>(
            CellScheduler::Options{ .service = id.service,
                                    .cell = id.cell,
                                    .owner = options_.selfId,
                                    .queue = options_.queue,
                                    .backendServers = options_.backendServers });
    created->configure(backendServers, options_.clock());
    const std::unique_lock lock(mutex_);
    return cells_.try_emplace(id, created).first->second;
}

std::map<CellOwner::CellId, CellOwner::Cell> CellOwner::cells() const
{
    const std::shared_lock lock(mutex_);
    return cells_;
}

std::vector<BackendServerSpec> CellOwner::backendServersOf(const CellId &id,
                                                           const ConfigState &config,
                                                           const MemberView &view) const
{
    std::vector<BackendServerSpec> specs;
    const std::vector<const BackendServer *> backendServers = config.backendServers(
            id.service, view.failureDomain);
    const unsigned count = cellCount(backendServers.size());
    for (const BackendServer *backendServer : backendServers) {
        if (cellOfBackendServer(backendServer->name, count) != id.cell)
            continue;
        const bool leaving = view.leavingBackendServers.contains(backendServer->name);
        specs.push_back(BackendServerSpec{ .name = backendServer->name,
                                           .address = backendServer->address,
                                           .slots = backendServer->slots,
                                           .accepting = !backendServer->draining && !leaving });
    }
    return specs;
}

void CellOwner::addOwnedCells(const ConfigState &config, const MemberView &view)
{
    for (const Service *service : config.services()) {
        const std::size_t backendServers = config.backendServers(service->name, view.failureDomain)
                                                   .size();
        const unsigned count = backendServers == 0 ? 0 : cellCount(backendServers);
        for (unsigned cell = 0; cell < count; ++cell) {
            if (view.ownerOf(cellKey(service->name, view.failureDomain, cell)) == options_.selfId)
                findOrCreateCell(CellId{ .service = service->name, .cell = cell });
        }
    }
}

void CellOwner::removeUnusedCells(const ConfigState &config, const MemberView &view)
{
    const std::unique_lock lock(mutex_);
    std::erase_if(cells_, [&](const auto &entry) {
        const CellId &id = entry.first;
        const bool owned = view.ownerOf(cellKey(id.service, view.failureDomain, id.cell))
                           == options_.selfId;
        const bool used = owned && !backendServersOf(id, config, view).empty();
        return !used && entry.second.use_count() == 1 && entry.second->idle();
    });
}

void CellOwner::reconfigure(const ConfigState &config, const MemberView &view, TimePoint now)
{
    addOwnedCells(config, view);
    removeUnusedCells(config, view);
    for (const auto &[id, cell] : cells())
        sendAll(cell->configure(backendServersOf(id, config, view), now));
}

void CellOwner::publish(const MemberView &view)
{
    if (!options_.publishLoads)
        return;
    std::vector<CellLoad> owned;
    for (const auto &[id, cell] : cells()) {
        if (view.ownerOf(cellKey(id.service, view.failureDomain, id.cell)) == options_.selfId)
            owned.push_back(cell->load());
    }
    options_.publishLoads(std::move(owned));
}

} // namespace auburn
