// Reads what a backend server says about itself in the header of a response: its load, its limit on
// requests, that it is leaving, or that it wants no requests for a while.
#pragma once

#include "auburn/gateway/gateway.h"
#include "auburn/gateway/outboundconnection.h"

#include <chrono>
#include <string>

namespace auburn::gateway {

// The attempt whose response carries the signals.
struct SignalSource
{
    const std::string &server;
    const std::string &service;
    const std::string &requestId;
    // The start of the attempt. A limit that was named since is newer than the response.
    std::chrono::steady_clock::time_point sentAt;
};

// Records all signals of the response in the routing state.
void recordServerSignals(const ResponseHeader &header, const HeaderNames &headerNames,
                         const SignalSource &source, RoutingState &state);

} // namespace auburn::gateway
