#include "auburn/core/refusal.h"

#include <algorithm>
#include <array>

namespace auburn {

namespace {

struct CodeInfo
{
    RefusalCode code;
    std::string_view name;
    int httpStatus;
};

constexpr std::array kCodes{
    CodeInfo{ RefusalCode::InvalidRequest, "invalid_request", 400 },
    CodeInfo{ RefusalCode::BodyTooLarge, "body_too_large", 413 },
    CodeInfo{ RefusalCode::HeadersTooLarge, "headers_too_large", 431 },
    CodeInfo{ RefusalCode::RequestTimeout, "request_timeout", 408 },
    CodeInfo{ RefusalCode::Unauthorized, "unauthorized", 401 },
    CodeInfo{ RefusalCode::OrganisationSuspended, "organisation_suspended", 403 },
    CodeInfo{ RefusalCode::ClassNotAllowed, "class_not_allowed", 403 },
    CodeInfo{ RefusalCode::ModelNotFound, "model_not_found", 404 },
    CodeInfo{ RefusalCode::NotFound, "not_found", 404 },
    CodeInfo{ RefusalCode::MethodNotAllowed, "method_not_allowed", 405 },
    CodeInfo{ RefusalCode::OrganisationLimit, "organisation_limit", 429 },
    CodeInfo{ RefusalCode::Overloaded, "overloaded", 429 },
    CodeInfo{ RefusalCode::DeadlineExceeded, "deadline_exceeded", 504 },
    CodeInfo{ RefusalCode::NoBackendServerAvailable, "no_backend_server_available", 503 },
    CodeInfo{ RefusalCode::CrashesBackendServers, "crashes_backend_servers", 422 },
    CodeInfo{ RefusalCode::IdempotencyKeyMissing, "idempotency_key_missing", 400 },
    CodeInfo{ RefusalCode::IdempotencyKeyInvalid, "idempotency_key_invalid", 400 },
    CodeInfo{ RefusalCode::IdempotencyKeyExpired, "idempotency_key_expired", 409 },
    CodeInfo{ RefusalCode::IdempotencyKeyReused, "idempotency_key_reused", 422 },
    CodeInfo{ RefusalCode::IdempotencyKeyHeld, "idempotency_key_held", 409 },
    CodeInfo{ RefusalCode::AlreadyCompleted, "already_completed", 409 },
    CodeInfo{ RefusalCode::LogUnavailable, "log_unavailable", 503 },
    CodeInfo{ RefusalCode::BackendServerFailed, "backend_server_failed", 502 },
    CodeInfo{ RefusalCode::MemoryShortage, "memory_shortage", 503 },
    CodeInfo{ RefusalCode::NotReady, "not_ready", 503 },
};

const CodeInfo *findCode(RefusalCode code)
{
    const auto *found = std::find_if(kCodes.begin(), kCodes.end(),
                                     [code](const CodeInfo &info) { return info.code == code; });
    return found == kCodes.end() ? nullptr : found;
}

} // namespace

std::string_view refusalCodeName(RefusalCode code)
{
    const CodeInfo *info = findCode(code);
    return info ? info->name : "invalid_request";
}

std::optional<RefusalCode> refusalCodeFromName(std::string_view name)
{
    for (const CodeInfo &info : kCodes) {
        if (info.name == name)
            return info.code;
    }
    return std::nullopt;
}

int refusalHttpStatus(RefusalCode code)
{
    const CodeInfo *info = findCode(code);
    return info ? info->httpStatus : 500;
}

} // namespace auburn
