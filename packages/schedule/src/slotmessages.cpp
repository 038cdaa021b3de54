#include "slotmessages.h"

#include <algorithm>

namespace auburn {

namespace {

// Upper bound of deadlines and waits in messages, so that time arithmetic cannot overflow.
constexpr std::uint64_t kMaxMilliseconds = 24ULL * 3600 * 1000;

std::chrono::milliseconds boundedMilliseconds(std::uint64_t value)
{
    return std::chrono::milliseconds(std::min(value, kMaxMilliseconds));
}

proto::AttemptOutcome outcomeToProto(SlotOutcome outcome)
{
    switch (outcome) {
    case SlotOutcome::Completed:
        return proto::ATTEMPT_OUTCOME_COMPLETED;
    case SlotOutcome::Cancelled:
        return proto::ATTEMPT_OUTCOME_CANCELLED;
    case SlotOutcome::Failed:
        return proto::ATTEMPT_OUTCOME_FAILED;
    case SlotOutcome::BackendServerUnreachable:
        return proto::ATTEMPT_OUTCOME_BACKEND_SERVER_UNREACHABLE;
    case SlotOutcome::Unused:
        break;
    }
    return proto::ATTEMPT_OUTCOME_UNUSED;
}

SlotOutcome outcomeFromProto(proto::AttemptOutcome outcome)
{
    switch (outcome) {
    case proto::ATTEMPT_OUTCOME_COMPLETED:
        return SlotOutcome::Completed;
    case proto::ATTEMPT_OUTCOME_CANCELLED:
        return SlotOutcome::Cancelled;
    case proto::ATTEMPT_OUTCOME_FAILED:
        return SlotOutcome::Failed;
    case proto::ATTEMPT_OUTCOME_BACKEND_SERVER_UNREACHABLE:
        return SlotOutcome::BackendServerUnreachable;
    default:
        return SlotOutcome::Unused;
    }
}

} // namespace

IncomingSlotRequest incomingRequestFromProto(const std::string &requester,
                                             const proto::SlotRequest &message,
                                             std::chrono::steady_clock::time_point now)
{
    return IncomingSlotRequest{ .requester = requester,
                                .requestId = message.request_id(),
                                .tier = message.tier(),
                                .organisation = message.organisation(),
                                .prefixHash = message.prefix_hash(),
                                .since = now - boundedMilliseconds(message.waited_ms()),
                                .deadline = now + boundedMilliseconds(message.deadline_ms()),
                                .excludedBackendServers = {
                                        message.excluded_backend_servers().begin(),
                                        message.excluded_backend_servers().end() } };
}

SlotReport reportFromProto(const proto::SlotRelease &message)
{
    return SlotReport{
        .outcome = outcomeFromProto(message.outcome()),
        .firstToken = std::chrono::microseconds(message.first_token_us()),
        .tokenGap = std::chrono::microseconds(message.token_gap_us()),
        .tokens = message.tokens(),
        .fingerprint = message.fingerprint(),
        .crashed = message.crashed(),
    };
}

std::vector<ReportedSlot> reportedSlotsFromProto(const proto::HeldSlots &message)
{
    std::vector<ReportedSlot> slots;
    slots.reserve(static_cast<std::size_t>(message.slots_size()));
    for (const proto::HeldSlot &slot : message.slots()) {
        slots.push_back(ReportedSlot{ .slotId = slot.slot_id(),
                                      .backendServer = slot.backend_server(),
                                      .tier = slot.tier(),
                                      .organisation = slot.organisation() });
    }
    return slots;
}

Refusal refusalFromProto(const proto::SlotRefusal &message)
{
    Refusal refusal{ .code = refusalCodeFromName(message.code()).value_or(RefusalCode::Overloaded),
                     .verdict = Verdict::DidNotRun,
                     .message = message.message(),
                     .retryAfter = std::nullopt };
    if (message.retry_after_ms() > 0)
        refusal.retryAfter = boundedMilliseconds(message.retry_after_ms());
    return refusal;
}

proto::Envelope grantMessage(const SlotGranted &grant)
{
    proto::Envelope envelope;
    proto::SlotGrant *message = envelope.mutable_slot_grant();
    message->set_request_id(grant.requestId);
    message->set_slot_id(grant.slotId);
    message->set_backend_server(grant.backendServer);
    message->set_address(grant.address);
    message->set_dispatch_within_ms(static_cast<std::uint64_t>(grant.dispatchTimeout.count()));
    return envelope;
}

proto::Envelope refusalMessage(const std::string &requestId, const Refusal &refusal)
{
    proto::Envelope envelope;
    proto::SlotRefusal *message = envelope.mutable_slot_refusal();
    message->set_request_id(requestId);
    message->set_code(std::string(refusalCodeName(refusal.code)));
    message->set_message(refusal.message);
    if (refusal.retryAfter)
        message->set_retry_after_ms(static_cast<std::uint64_t>(refusal.retryAfter->count()));
    return envelope;
}

proto::Envelope ackMessage(const std::string &requestId)
{
    proto::Envelope envelope;
    envelope.mutable_slot_ack()->set_request_id(requestId);
    return envelope;
}

proto::Envelope cancelMessage(const std::string &requestId)
{
    proto::Envelope envelope;
    envelope.mutable_slot_cancel()->set_request_id(requestId);
    return envelope;
}

proto::Envelope releaseMessage(const GrantedSlot &slot, const SlotReport &report)
{
    proto::Envelope envelope;
    proto::SlotRelease *message = envelope.mutable_slot_release();
    message->set_slot_id(slot.slotId);
    message->set_backend_server(slot.backendServer);
    message->set_outcome(outcomeToProto(report.outcome));
    message->set_first_token_us(static_cast<std::uint64_t>(report.firstToken.count()));
    message->set_token_gap_us(static_cast<std::uint64_t>(report.tokenGap.count()));
    message->set_tokens(report.tokens);
    message->set_service(slot.service);
    message->set_cell(slot.cell);
    message->set_fingerprint(report.fingerprint);
    message->set_crashed(report.crashed);
    return envelope;
}

} // namespace auburn
