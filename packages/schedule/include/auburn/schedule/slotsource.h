#pragma once

#include "auburn/core/refusal.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace auburn {

// A request for a slot, made for one caller's request.
struct SlotRequest
{
    std::string requestId;
    std::string traceparent;
    std::string service;
    // 0 is the highest tier.
    unsigned tier = 0;
    std::string organisation;
    // Hash of the first part of the prompt, 0 if there is none. Requests with equal hashes share a
    // cached prefix.
    std::uint64_t prefixHash = 0;
    // Estimated prompt size in tokens.
    unsigned promptTokens = 0;
    // Hash of organisation and body, by which requests that crash backend servers are recognised.
    std::uint64_t fingerprint = 0;
    // Time at which the caller gives up.
    std::chrono::steady_clock::time_point deadline;
    // Backend servers on which earlier attempts failed.
    std::vector<std::string> excludedBackendServers;
};

// A granted slot: the backend server to use and the owner to release it to.
struct GrantedSlot
{
    std::string slotId;
    std::string backendServer;
    // host:port
    std::string address;
    std::string service;
    unsigned cell = 0;
    // Id of the daemon that granted the slot and receives its release.
    std::string owner;
    // The request must not be dispatched on this slot after this time.
    std::chrono::steady_clock::time_point dispatchDeadline;
};

// The result of the attempt that used a slot; Unused if no attempt was made.
enum class SlotOutcome { Completed, Cancelled, Failed, BackendServerUnreachable, Unused };

// Result and timings of the attempt that used a slot, from which the owner estimates the backend
// server's speed and health.
struct SlotReport
{
    SlotOutcome outcome = SlotOutcome::Unused;
    // Time from dispatch to the first token; 0 if no token arrived.
    std::chrono::microseconds firstToken{ 0 };
    // Mean time between tokens; 0 if fewer than two arrived.
    std::chrono::microseconds tokenGap{ 0 };
    unsigned tokens = 0;
    // SlotRequest::fingerprint of the request that used the slot.
    std::uint64_t fingerprint = 0;
    // True if the connection broke in the way it does when a backend server crashes.
    bool crashed = false;
};

// The answer to a slot request: the granted slot, or the reason for the refusal.
using SlotAnswer = std::variant<GrantedSlot, Refusal>;

// Interface for acquiring slots. A slot is the right to send one request to one backend server.
class SlotSource
{
public:
    // Called exactly once per request that is not cancelled, from any thread, possibly before
    // request() returns; must not block.
    using Callback = std::function<void(SlotAnswer)>;

    virtual ~SlotSource() = default;

    // Requests a slot; the answer is passed to the callback. A request whose id equals that of an
    // unanswered one is refused with InvalidRequest.
    virtual void request(SlotRequest request, Callback callback) = 0;
    // Withdraws a request that is still waiting. Its callback is not called after this returns, and
    // a grant in flight is released.
    virtual void cancel(const std::string &requestId) = 0;
    // Releases a granted slot; call exactly once for each grant.
    virtual void release(const GrantedSlot &slot, SlotReport report) = 0;
};

} // namespace auburn
