// GroupStatus is what the holder of the duties shows operators about one group of servers.
#pragma once

#include "auburn/scaling/fleetstate.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace auburn::scaling {

// What became of an order.
enum class OrderResult { Unanswered, Accepted, NoneAvailable, Failed };

std::string_view orderResultName(OrderResult result);

// The last order of a group that was sent under this daemon's token.
struct LastOrder
{
    unsigned desired = 0;
    OrderReason reason = OrderReason::Shortage;
    std::chrono::milliseconds age{ 0 };
    OrderResult result = OrderResult::Unanswered;
};

struct GroupStatus
{
    ServerGroup group;
    // Servers that are listed as ready and not about to leave.
    unsigned listed = 0;
    // Empty if nothing was ordered.
    std::optional<LastOrder> order;
};

} // namespace auburn::scaling
