#include "auburn/duties/dutyapi.h"

namespace auburn::duties {

std::string_view callStatusName(CallStatus status)
{
    switch (status) {
    case CallStatus::Accepted:
        return "accepted";
    case CallStatus::NoneAvailable:
        return "none_available";
    case CallStatus::RateLimited:
        return "rate_limited";
    case CallStatus::Rejected:
        return "rejected";
    case CallStatus::NotSent:
        return "not_sent";
    case CallStatus::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace auburn::duties
