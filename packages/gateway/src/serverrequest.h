#pragma once

#include "callerrequest.h"

#include "auburn/gateway/headernames.h"
#include "auburn/gateway/outboundconnection.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace auburn::gateway {

// The fields that the gateway adds to a caller's request for one attempt at a backend server.
struct ServerRequestFields
{
    // The time in which the server must respond.
    std::chrono::milliseconds deadline{ 0 };
    // The id of the server; another one at the same address must reject the request.
    std::string_view expectedServer;
    // Set for engines.
    std::optional<int> urgency;
    // The IP:PORT of an engine from which cached parts of the prompt are copied; empty if there is
    // none.
    std::string_view copySource;
    // The last event that the caller has received of a stream; empty if there is none.
    std::string_view lastEventId;
};

// Returns the request to be sent to the server. Method, target, body and end-to-end fields are
// those of the caller.
OutboundRequest makeServerRequest(const CallerRequest &request, const HeaderNames &headerNames,
                                  const ServerRequestFields &fields);

} // namespace auburn::gateway
