// Explanation says where a request would be placed now, and why.
#pragma once

#include "auburn/routing/attempt.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::routing {

// The parts of a candidate's cost.
struct CostParts
{
    // Predicted time to the first token or to the response.
    std::chrono::microseconds predicted{ 0 };
    std::chrono::microseconds repeatedPrefill{ 0 };
    std::chrono::microseconds neighbours{ 0 };
    std::chrono::microseconds streamPool{ 0 };
    std::chrono::microseconds crowding{ 0 };
    std::chrono::microseconds spread{ 0 };
    std::chrono::microseconds distance{ 0 };
    std::chrono::microseconds straggler{ 0 };
    std::chrono::microseconds failures{ 0 };

    std::chrono::microseconds sum() const
    {
        return predicted + repeatedPrefill + neighbours + streamPool + crowding + spread + distance
               + straggler + failures;
    }
};

// One server of the service.
struct ExplainedServer
{
    std::string serverId;
    // Why the server is no candidate; empty if it is one.
    std::string_view excluded;
    // The time until the server accepts requests again; empty unless it is backing off.
    std::optional<std::chrono::milliseconds> returnsIn;
    // An attempt there failed or was rejected a moment ago: a candidate at a very high cost.
    bool isAvoided = false;
    // As many requests are known there as it has slots: a candidate at the cost of its queue.
    bool isFull = false;
    // Age of the server's own load report; empty if there was none.
    std::optional<std::chrono::milliseconds> reportAge;
    unsigned slots = 0;
    // Requests of this daemon, and of all daemons as far as this one knows.
    unsigned ownRequests = 0;
    unsigned knownRequests = 0;
    CostParts cost;
    std::uint64_t uncachedTokens = 0;
    // Work time in relation to that of the other servers.
    double slowness = 1;
};

struct Explanation
{
    std::optional<PlacementChoice> choice;
    // The candidates, then the other servers.
    std::vector<ExplainedServer> servers;
};

} // namespace auburn::routing
