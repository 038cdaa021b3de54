// Refusal: the typed reason for which the system does not serve a request.
//
// The code is part of the callers' interface and stays stable between releases; the message is for
// people.
#pragma once

#include "auburn/core/verdict.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace auburn {

enum class RefusalCode {
    InvalidRequest,
    BodyTooLarge,
    HeadersTooLarge,
    RequestTimeout,
    Unauthorized,
    OrganisationSuspended,
    ClassNotAllowed,
    ModelNotFound,
    NotFound,
    MethodNotAllowed,
    OrganisationLimit,
    // The queue has no room for this tier.
    Overloaded,
    // The request cannot meet its deadline.
    DeadlineExceeded,
    NoBackendServerAvailable,
    // The request's attempts have crashed backend servers.
    CrashesBackendServers,
    IdempotencyKeyMissing,
    IdempotencyKeyInvalid,
    IdempotencyKeyExpired,
    IdempotencyKeyReused,
    // An earlier request with the key is in progress, or its outcome is unknown.
    IdempotencyKeyHeld,
    // An earlier request with the key has completed.
    AlreadyCompleted,
    LogUnavailable,
    BackendServerFailed,
    // The connections hold all of the memory that they may use.
    MemoryShortage,
    NotReady,
};

// Stable code in the JSON error, for example "overloaded".
std::string_view refusalCodeName(RefusalCode code);

// The code with the given name; nothing if the name is unknown.
std::optional<RefusalCode> refusalCodeFromName(std::string_view name);

// HTTP status that goes with the code, for example 429 for Overloaded.
int refusalHttpStatus(RefusalCode code);

struct Refusal
{
    RefusalCode code = RefusalCode::InvalidRequest;
    Verdict verdict = Verdict::DidNotRun;
    std::string message;
    // Value of the Retry-After header; none if a retry makes no sense or the time is unknown.
    std::optional<std::chrono::milliseconds> retryAfter;
};

} // namespace auburn
