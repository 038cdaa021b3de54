// ClaimService: where a front gets the right to run a non-idempotent request once.
#pragma once

#include "auburn/core/refusal.h"

#include <functional>
#include <string>
#include <variant>

namespace auburn {

struct ClaimRequest
{
    std::string requestId;
    std::string organisation;
    // The caller's Idempotency-Key.
    std::string key;
    std::string body;
};

// The right to dispatch the request once. It is held by the process that asked for it and is never
// handed on.
struct WonClaim
{
    std::string attemptId;
    std::string organisation;
    std::string key;
};

// Completed: a backend server answered. Released: no byte reached a backend server and none will.
// Unknown: anything else.
enum class ExecutionOutcome { Completed, Released, Unknown };

using ClaimResult = std::variant<WonClaim, Refusal>;

class ClaimService
{
public:
    // Called once per demand, from any thread; must not block.
    using Callback = std::function<void(ClaimResult)>;

    virtual ~ClaimService() = default;

    virtual void claim(ClaimRequest demand, Callback callback) = 0;
    virtual void finish(const WonClaim &claim, ExecutionOutcome end) = 0;
};

} // namespace auburn
