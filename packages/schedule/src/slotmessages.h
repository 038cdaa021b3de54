// Conversion between slot messages and the types of this package.
#pragma once

#include "auburn/schedule/cellscheduler.h"
#include "auburn/schedule/slotsource.h"

#include "auburn.pb.h"

#include <vector>

namespace auburn {

// Time values in messages are durations; they are converted to time points relative to now, the
// time of receipt.
IncomingSlotRequest incomingRequestFromProto(const std::string &requester,
                                             const proto::SlotRequest &message,
                                             std::chrono::steady_clock::time_point now);
SlotReport reportFromProto(const proto::SlotRelease &message);
std::vector<ReportedSlot> reportedSlotsFromProto(const proto::HeldSlots &message);
Refusal refusalFromProto(const proto::SlotRefusal &message);

proto::Envelope grantMessage(const SlotGranted &grant);
proto::Envelope refusalMessage(const std::string &requestId, const Refusal &refusal);
proto::Envelope ackMessage(const std::string &requestId);
proto::Envelope cancelMessage(const std::string &requestId);
proto::Envelope releaseMessage(const GrantedSlot &slot, const SlotReport &report);

} // namespace auburn
