// ClaimSource: where a front gets the right to run a non-idempotent request once.
#pragma once

#include "auburn/core/refusal.h"

#include <functional>
#include <string>
#include <variant>

namespace auburn {

struct ClaimDemand
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
enum class ClaimEnd { Completed, Released, Unknown };

using ClaimAnswer = std::variant<WonClaim, Refusal>;

class ClaimSource
{
public:
    // Called once per demand, from any thread; must not block.
    using Callback = std::function<void(ClaimAnswer)>;

    virtual ~ClaimSource() = default;

    virtual void claim(ClaimDemand demand, Callback callback) = 0;
    virtual void finish(const WonClaim &claim, ClaimEnd end) = 0;
};

} // namespace auburn
