#include "auburn/schedule/slotgateway.h"

#include "auburn/core/lasterror.h"
#include "auburn/schedule/cells.h"
#include "deferredcalls.h"
#include "slotmessages.h"

#include <utility>

namespace auburn {

namespace {

std::string localRequestId(const std::string &requester, const std::string &wireId)
{
    return requester + '/' + wireId;
}

SlotRequest localRequestFrom(const std::string &requester, const proto::Envelope &envelope,
                             std::chrono::steady_clock::time_point now)
{
    const proto::SlotRequest &request = envelope.slot_request();
    const IncomingSlotRequest incoming = incomingRequestFromProto(requester, request, now);
    return SlotRequest{ .requestId = localRequestId(requester, request.request_id()),
                        .traceparent = envelope.traceparent(),
                        .service = request.service(),
                        .tier = incoming.tier,
                        .organisation = incoming.organisation,
                        .prefixHash = incoming.prefixHash,
                        .promptTokens = request.prompt_tokens(),
                        .fingerprint = request.fingerprint(),
                        .deadline = incoming.deadline,
                        .excludedBackendServers = incoming.excludedBackendServers };
}

} // namespace

std::unique_ptr<SlotGateway> SlotGateway::make(Options options)
{
    if (!options.bus || !options.client || !options.owner) {
        setLastError("slot gateway requires a bus, a slot client and a cell owner");
        return nullptr;
    }
    std::unique_ptr<SlotGateway> gateway(new SlotGateway(std::move(options)));
    gateway->options_.owner->setRemoteDomainHandler(
            [self = gateway.get()](const std::string &sender, const proto::Envelope &envelope) {
                self->handle(sender, envelope);
            });
    return gateway;
}

SlotGateway::SlotGateway(Options options)
    : options_(std::move(options))
{}

void SlotGateway::handle(const std::string &sender, const proto::Envelope &envelope)
{
    const DeferredCalls::Scope scope;
    if (envelope.has_slot_request())
        onRequest(sender, envelope);
    else if (envelope.has_slot_cancel())
        onCancel(sender, envelope.slot_cancel().request_id());
    else if (envelope.has_slot_release())
        onRelease(sender, envelope.slot_release());
    else if (envelope.has_held_slots())
        onHeldSlots(sender, envelope.held_slots());
}

void SlotGateway::tick(TimePoint now)
{
    const DeferredCalls::Scope scope;
    std::vector<std::string> expiredRequests;
    waiting_.visitAll([&](const std::string &id, const Waiting &waiting) {
        if (now - waiting.lastSeen > kSlotLease)
            expiredRequests.push_back(id);
    });
    for (const std::string &id : expiredRequests) {
        options_.client->cancel(id);
        waiting_.take(id);
    }
    std::vector<std::string> expiredSlots;
    held_.visitAll([&](const std::string &slotId, const Held &held) {
        if (now - held.lastSeen > kSlotLease)
            expiredSlots.push_back(slotId);
    });
    for (const std::string &slotId : expiredSlots)
        releaseHeld(slotId, SlotReport{});
}

void SlotGateway::onRequest(const std::string &requester, const proto::Envelope &envelope)
{
    const proto::SlotRequest &request = envelope.slot_request();
    const std::string &wireId = request.request_id();
    const std::string id = localRequestId(requester, wireId);
    const TimePoint now = options_.clock();
    options_.bus->send(requester, ackMessage(wireId));
    const bool isWaiting = waiting_.visit(id, [&](Waiting &waiting) { waiting.lastSeen = now; });
    if (isWaiting)
        return;
    std::string slotId;
    if (slotByRequest_.visit(id, [&](const std::string &found) { slotId = found; })) {
        held_.visit(slotId, [&](const Held &held) { sendGrant(held); });
        return;
    }
    waiting_.put(id, Waiting{ .lastSeen = now });
    options_.client->requestLocal(
            localRequestFrom(requester, envelope, now),
            [this, requester, wireId](SlotAnswer answer) {
                onAnswer(requester, wireId, std::move(answer));
            },
            std::chrono::milliseconds(request.waited_ms()));
}

void SlotGateway::onAnswer(const std::string &requester, const std::string &wireId,
                           SlotAnswer answer)
{
    const std::string id = localRequestId(requester, wireId);
    waiting_.take(id);
    if (const auto *refusal = std::get_if<Refusal>(&answer)) {
        options_.bus->send(requester, refusalMessage(wireId, *refusal));
        return;
    }
    const Held held{ .requester = requester,
                     .wireId = wireId,
                     .slot = std::get<GrantedSlot>(std::move(answer)),
                     .lastSeen = options_.clock() };
    held_.put(held.slot.slotId, held);
    slotByRequest_.put(id, held.slot.slotId);
    sendGrant(held);
}

void SlotGateway::onCancel(const std::string &requester, const std::string &wireId)
{
    const std::string id = localRequestId(requester, wireId);
    options_.client->cancel(id);
    waiting_.take(id);
    std::string slotId;
    if (slotByRequest_.visit(id, [&](const std::string &found) { slotId = found; }))
        releaseHeld(slotId, SlotReport{});
}

void SlotGateway::onRelease(const std::string &requester, const proto::SlotRelease &release)
{
    bool ownsSlot = false;
    held_.visit(release.slot_id(),
                [&](const Held &held) { ownsSlot = held.requester == requester; });
    if (ownsSlot)
        releaseHeld(release.slot_id(), reportFromProto(release));
}

void SlotGateway::onHeldSlots(const std::string &requester, const proto::HeldSlots &report)
{
    const TimePoint now = options_.clock();
    for (const proto::HeldSlot &slot : report.slots()) {
        held_.visit(slot.slot_id(), [&](Held &held) {
            if (held.requester == requester)
                held.lastSeen = now;
        });
    }
}

void SlotGateway::releaseHeld(const std::string &slotId, const SlotReport &report)
{
    const std::optional<Held> held = held_.take(slotId);
    if (!held)
        return;
    slotByRequest_.take(localRequestId(held->requester, held->wireId));
    options_.client->release(held->slot, report);
}

void SlotGateway::sendGrant(const Held &held)
{
    options_.bus->send(held.requester,
                       grantMessage(SlotGranted{ .requester = held.requester,
                                                 .requestId = held.wireId,
                                                 .slotId = held.slot.slotId,
                                                 .backendServer = held.slot.backendServer,
                                                 .address = held.slot.address,
                                                 .dispatchTimeout = kDispatchTimeout }));
}

} // namespace auburn
