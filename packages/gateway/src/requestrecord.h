// What logs and metrics say of one request: each placement, each attempt that failed, and its end.
#pragma once

#include "callerrequest.h"
#include "eventstream.h"

#include "auburn/core/metrics.h"
#include "auburn/core/verdict.h"
#include "auburn/routing/placement.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace auburn::gateway {

struct PlacementRecord
{
    const CallerRequest &request;
    const routing::PlacementChoice &choice;
    std::string_view service;
    unsigned attempt = 0;
    bool reusesConnection = false;
    std::chrono::milliseconds timeLeft{ 0 };
};

struct AttemptRecord
{
    const CallerRequest &request;
    std::string_view server;
    std::string_view service;
    unsigned attempt = 0;
    routing::AttemptOutcome outcome = routing::AttemptOutcome::Succeeded;
    std::string_view reason;
    // Of the answer; 0 if there was none.
    int status = 0;
    Verdict verdict = Verdict::DidNotRun;
    std::chrono::milliseconds duration{ 0 };
};

struct RequestEndRecord
{
    const CallerRequest &request;
    const EventStream &stream;
    // What the caller got; 0 if it got nothing.
    int status = 0;
    std::string_view reason;
    Verdict verdict = Verdict::DidNotRun;
    unsigned attempts = 0;
};

// A choice of a server came too late to be used.
void recordOutdatedChoice(const CallerRequest &request,
                          const std::optional<routing::PlacementChoice> &choice,
                          std::chrono::milliseconds age, std::chrono::milliseconds timeLeft);
// The metrics may be null.
void recordPlacement(const PlacementRecord &record);
void recordAttempt(const AttemptRecord &record, Metrics *metrics);
void recordRequestEnd(const RequestEndRecord &record, Metrics *metrics);

} // namespace auburn::gateway
