// ClaimService grants the exclusive right to execute a non-idempotent request, identified by its
// idempotency key.
#pragma once

#include "auburn/core/refusal.h"

#include <functional>
#include <string>
#include <variant>

namespace auburn {

// Asks for the claim of one request.
struct ClaimRequest
{
    std::string requestId;
    std::string organisation;
    // Value of the caller's Idempotency-Key header; empty if it is missing.
    std::string key;
    std::string body;
};

// The right to dispatch the request once. Only the process that made the claim holds it; it is
// never transferred.
struct WonClaim
{
    std::string attemptId;
    std::string organisation;
    std::string key;
};

// How the execution of a claimed request ended. Completed: a backend server answered. Released: no
// byte reached a backend server and none will. Unknown: anything else.
enum class ExecutionOutcome { Completed, Released, Unknown };

// The claim, or the reason why the request must not be executed.
using ClaimResult = std::variant<WonClaim, Refusal>;

class ClaimService
{
public:
    // Called exactly once for each claim(), from any thread, possibly before claim() returns. Must
    // not block.
    using Callback = std::function<void(ClaimResult)>;

    virtual ~ClaimService() = default;

    // Claims the key of a request.
    virtual void claim(ClaimRequest request, Callback callback) = 0;
    // Reports how the execution of a won claim ended. An unknown outcome leaves the key held until
    // it expires.
    virtual void finish(const WonClaim &claim, ExecutionOutcome outcome) = 0;
};

} // namespace auburn
