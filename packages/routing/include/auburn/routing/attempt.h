// Types that describe one attempt of a request at a backend server: what a server is selected for,
// the selection, and how the attempt ended.
#pragma once

#include "auburn/routing/promptpart.h"
#include "auburn/routing/trafficconfig.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::routing {

struct BackendServer;

// Describes a request for which a server is to be selected.
struct PlacementQuery
{
    // Only used in log lines.
    std::string requestId;
    const Service *service = nullptr;
    PromptParts prompt;
    Urgency urgency;
    // Time left, from now, within which the first token still meets the latency target.
    std::chrono::milliseconds timeToTarget{ 1000 };
    // Ids of servers that must not be used, because an attempt of this request there did not
    // succeed or because they are avoided.
    std::vector<std::string> excluded;
    // If set, only servers of this software version may be used, because the request resumes a
    // stream that one of them began.
    std::optional<std::string> softwareVersion = std::nullopt;
    // A stream whose token gaps grow too long on engines that prefill prompts; see
    // isGapSensitive().
    bool gapSensitiveStream = false;
    // The request can be retried on another server if the attempt fails.
    bool repeatable = false;
};

// Returns true if the query excludes the server by its id.
bool isExcluded(const PlacementQuery &query, const std::string &serverId);
// Returns true if the query excludes the server by its id or by its software version.
bool isExcluded(const PlacementQuery &query, const BackendServer &server);

// The server selected for one attempt, and what the selection was based on. It is passed back with
// every report about the attempt.
struct PlacementChoice
{
    std::string serverId;
    std::string address;
    // Predicted time to the first token or to the response.
    std::chrono::microseconds predicted{ 0 };
    std::uint64_t uncachedTokens = 0;
    // Number of requests that this daemon already had in progress at the server.
    unsigned inFlight = 0;
    bool gapSensitiveStream = false;
    // Id of the engine from which the selected one copies the cached prompt parts that it lacks;
    // empty if it does not copy any.
    std::string copySource;
    // Urgency with which the request is queued at the engine.
    int urgency = 0;
    // Set if another daemon placed the attempt: the owner's address and the number under which it
    // tracks the attempt.
    std::string owner;
    std::uint64_t ownerNumber = 0;
    // The attempt also shows whether the server, which was slow, still is.
    bool isProbe = false;
    // Age of the server's last load report; empty if there was none.
    std::optional<std::chrono::milliseconds> reportAge;
    // Name of the service; set only where the demand of services is measured.
    std::string service;
};

// How an attempt ended, as far as the outcome says something about the server.
enum class AttemptOutcome {
    // A complete response other than a server error.
    Succeeded,
    // A response that reports an error of the server itself.
    ServerError,
    // The connection failed, the response was truncated or malformed, or the server did not
    // respond in time.
    Failed,
    // The server did not accept the request.
    Rejected,
    // The attempt ended for a reason that says nothing about the server: the caller disconnected or
    // the request timed out elsewhere.
    Abandoned,
};

std::string_view attemptOutcomeName(AttemptOutcome outcome);

} // namespace auburn::routing
