#include "auburn/schedule/slotgateway.h"

#include "auburn/core/lasterror.h"
#include "auburn/schedule/cells.h"
#include "localcalls.h"
#include "slotmessages.h"

#include <utility>

namespace auburn {

namespace {

std::string localId(const std::string &front, const std::string &wireId)
{
    return front + '/' + wireId;
}

SlotRequest demandFrom(const std::string &front, const proto::Envelope &envelope,
                       std::chrono::steady_clock::time_point now)
{
    const proto::SlotRequest &request = envelope.slot_request();
    const SlotAsk ask = askFromProto(front, request, now);
    return SlotRequest{ .requestId = localId(front, request.request_id()),
                        .traceparent = envelope.traceparent(),
                        .service = request.service(),
                        .tier = ask.tier,
                        .organisation = ask.organisation,
                        .prefixHash = ask.prefixHash,
                        .promptTokens = request.prompt_tokens(),
                        .fingerprint = request.fingerprint(),
                        .deadline = ask.deadline,
                        .excludedBackendServers = ask.excludedBackendServers };
}

} // namespace

std::unique_ptr<SlotGateway> SlotGateway::make(Options options)
{
    if (!options.bus || !options.client || !options.owner) {
        setLastError("slot gateway needs a bus, a slot client and a cell owner");
        return nullptr;
    }
    std::unique_ptr<SlotGateway> gateway(new SlotGateway(std::move(options)));
    gateway->options_.owner->setForeignHandler(
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
    const LocalCalls::Scope scope;
    if (envelope.has_slot_request())
        onRequest(sender, envelope);
    else if (envelope.has_slot_cancel())
        onCancel(sender, envelope.slot_cancel().request_id());
    else if (envelope.has_slot_release())
        onRelease(sender, envelope.slot_release());
    else if (envelope.has_held_slots())
        onHeld(sender, envelope.held_slots());
}

void SlotGateway::tick(TimePoint now)
{
    const LocalCalls::Scope scope;
    std::vector<std::string> silent;
    waiting_.visitAll([&](const std::string &id, const Waiting &waiting) {
        if (now - waiting.lastSeen > kSlotLease)
            silent.push_back(id);
    });
    for (const std::string &id : silent) {
        options_.client->cancel(id);
        waiting_.take(id);
    }
    std::vector<std::string> unclaimed;
    held_.visitAll([&](const std::string &slotId, const Held &held) {
        if (now - held.lastSeen > kSlotLease)
            unclaimed.push_back(slotId);
    });
    for (const std::string &slotId : unclaimed)
        giveBack(slotId, SlotReport{});
}

void SlotGateway::onRequest(const std::string &front, const proto::Envelope &envelope)
{
    const proto::SlotRequest &request = envelope.slot_request();
    const std::string &wireId = request.request_id();
    const std::string id = localId(front, wireId);
    const TimePoint now = options_.clock();
    options_.bus->send(front, ackMessage(wireId));
    const bool isWaiting = waiting_.visit(id, [&](Waiting &waiting) { waiting.lastSeen = now; });
    if (isWaiting)
        return;
    std::string slotId;
    if (slotByRequest_.visit(id, [&](const std::string &found) { slotId = found; })) {
        held_.visit(slotId, [&](const Held &held) { sendGrant(held); });
        return;
    }
    waiting_.put(id, Waiting{ .lastSeen = now });
    options_.client->requestHere(
            demandFrom(front, envelope, now),
            [this, front, wireId](SlotAnswer answer) {
                onAnswer(front, wireId, std::move(answer));
            },
            std::chrono::milliseconds(request.waited_ms()));
}

void SlotGateway::onAnswer(const std::string &front, const std::string &wireId, SlotAnswer answer)
{
    const std::string id = localId(front, wireId);
    waiting_.take(id);
    if (const auto *refusal = std::get_if<Refusal>(&answer)) {
        options_.bus->send(front, refusalMessage(wireId, *refusal));
        return;
    }
    const Held held{ .front = front,
                     .wireId = wireId,
                     .slot = std::get<GrantedSlot>(std::move(answer)),
                     .lastSeen = options_.clock() };
    held_.put(held.slot.slotId, held);
    slotByRequest_.put(id, held.slot.slotId);
    sendGrant(held);
}

void SlotGateway::onCancel(const std::string &front, const std::string &wireId)
{
    const std::string id = localId(front, wireId);
    options_.client->cancel(id);
    waiting_.take(id);
    std::string slotId;
    if (slotByRequest_.visit(id, [&](const std::string &found) { slotId = found; }))
        giveBack(slotId, SlotReport{});
}

void SlotGateway::onRelease(const std::string &front, const proto::SlotRelease &release)
{
    bool ownsSlot = false;
    held_.visit(release.slot_id(), [&](const Held &held) { ownsSlot = held.front == front; });
    if (ownsSlot)
        giveBack(release.slot_id(), reportFromProto(release));
}

void SlotGateway::onHeld(const std::string &front, const proto::HeldSlots &report)
{
    const TimePoint now = options_.clock();
    for (const proto::HeldSlot &slot : report.slots()) {
        held_.visit(slot.slot_id(), [&](Held &held) {
            if (held.front == front)
                held.lastSeen = now;
        });
    }
}

void SlotGateway::giveBack(const std::string &slotId, const SlotReport &report)
{
    const std::optional<Held> held = held_.take(slotId);
    if (!held)
        return;
    slotByRequest_.take(localId(held->front, held->wireId));
    options_.client->release(held->slot, report);
}

void SlotGateway::sendGrant(const Held &held)
{
    options_.bus->send(held.front,
                       grantMessage(SlotGranted{ .front = held.front,
                                                 .requestId = held.wireId,
                                                 .slotId = held.slot.slotId,
                                                 .backendServer = held.slot.backendServer,
                                                 .address = held.slot.address,
                                                 .dispatchWithin = kDispatchWithin }));
}

} // namespace auburn
