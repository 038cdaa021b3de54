// Logs and metrics of one request: its placements, its attempts and its end.
#pragma once

#include "callerrequest.h"
#include "eventstream.h"

#include "auburn/core/metrics.h"
#include "auburn/core/verdict.h"
#include "auburn/routing/placement.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace auburn::gateway {

// The placement of an attempt on a backend server.
struct PlacementRecord
{
    const CallerRequest &request;
    const routing::PlacementChoice &choice;
    std::string_view service;
    unsigned attempt = 0;
    bool reusesConnection = false;
    // An idle connection to the server had carried a request with the same id and was not used.
    bool repeatsId = false;
    // The software version of the server.
    std::string_view softwareVersion;
    // The id of the last event that the caller has got, from this or an earlier attempt of it;
    // empty before the first one.
    std::string_view lastEventId;
    std::chrono::milliseconds timeLeft{ 0 };
};

// The end of an attempt.
struct AttemptRecord
{
    const CallerRequest &request;
    std::string_view server;
    std::string_view service;
    unsigned attempt = 0;
    routing::AttemptOutcome outcome = routing::AttemptOutcome::Succeeded;
    std::string_view reason;
    // The status of the response, or 0 if there was none.
    int status = 0;
    // Whether a server has run the request, over all attempts so far.
    Verdict verdict = Verdict::DidNotRun;
    std::chrono::milliseconds duration{ 0 };
    // The connection had carried other requests, whose late responses may have arrived on it.
    bool reusedConnection = false;
    // See PlacementRecord.
    bool repeatsId = false;
    // The response carried the id of the request.
    bool identified = false;
};

// The end of a response that has neither a length nor chunks, so that the end of its connection was
// its only mark.
struct UnframedEndRecord
{
    const CallerRequest &request;
    std::string_view server;
    std::string_view service;
    // The status of the response.
    int status = 0;
    // Number of whole events that this server sent, without comments; 0 if it is no stream.
    std::uint64_t events = 0;
    // Number of bytes after the last whole event.
    std::size_t pendingBytes = 0;
    // True if the response was taken for complete.
    bool complete = false;
    // Why it was not taken for complete.
    std::string_view reason;
};

// A decision of the retry budget.
struct RetryRecord
{
    const CallerRequest &request;
    std::string_view service;
    // Why the request would be sent to another server.
    std::string_view reason;
    bool granted = false;
    // Number of further retries at the service that this daemon could send now.
    unsigned available = 0;
    // Number of daemons that share the allowance; empty if it is unknown.
    std::optional<unsigned> daemons;
};

// A limit on requests that a server has named in a response, or the end of one.
struct LimitChangeRecord
{
    std::string_view server;
    std::string_view service;
    std::string_view requestId;
    // Requests a second; empty for no limit.
    std::optional<double> before;
    std::optional<double> now;
};

// The end of a request.
struct RequestEndRecord
{
    const CallerRequest &request;
    const EventStream &stream;
    // The status sent to the caller, or 0 if nothing was sent.
    int status = 0;
    std::string_view reason;
    Verdict verdict = Verdict::DidNotRun;
    unsigned attempts = 0;
};

// Logs that a placement arrived too late to be used. The choice is empty if no server was
// available.
void recordOutdatedChoice(const CallerRequest &request,
                          const std::optional<routing::PlacementChoice> &choice,
                          std::chrono::milliseconds age, std::chrono::milliseconds timeLeft);
void recordPlacement(const PlacementRecord &record);
// Counts the attempt and logs it unless it succeeded. The metrics may be null.
void recordAttempt(const AttemptRecord &record, Metrics *metrics);
// Logs and counts the end of a response without a length. The metrics may be null.
void recordUnframedEnd(const UnframedEndRecord &record, Metrics *metrics);
// Logs and counts a decision of the retry budget. The metrics may be null.
void recordRetry(const RetryRecord &record, Metrics *metrics);
// Logs which software version may resume a stream of the caller; empty if it is unknown.
void recordStreamVersion(const CallerRequest &request, std::string_view service,
                         const std::optional<std::string> &version);
// Logs a changed limit.
void recordLimitChange(const LimitChangeRecord &record);
// Logs and counts the end of a request. The metrics may be null.
void recordRequestEnd(const RequestEndRecord &record, Metrics *metrics);

} // namespace auburn::gateway
