// SlotSource: where a front gets the right to send one request to one backend server.
#pragma once

#include "auburn/core/refusal.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace auburn {

// What a front asks for.
struct SlotRequest
{
    std::string requestId;
    std::string traceparent;
    std::string service;
    // 0 is the highest tier.
    unsigned tier = 0;
    std::string organisation;
    // Hash of the prompt's first part; requests with equal hashes share a cached prefix. 0 means
    // none.
    std::uint64_t prefixHash = 0;
    // Estimated prompt size, in tokens.
    unsigned promptTokens = 0;
    // Hash of organisation and body, for requests that crash backend servers.
    std::uint64_t fingerprint = 0;
    // The caller gives up at this time.
    std::chrono::steady_clock::time_point deadline;
    // Backend servers on which earlier attempts failed.
    std::vector<std::string> excludedBackendServers;
};

struct GrantedSlot
{
    std::string slotId;
    std::string backendServer;
    // host:port
    std::string address;
    std::string service;
    unsigned cell = 0;
    // Daemon that granted the slot and gets its release.
    std::string owner;
    // The grant must not be dispatched after this time.
    std::chrono::steady_clock::time_point dispatchDeadline;
};

enum class SlotOutcome { Completed, Cancelled, Failed, BackendServerUnreachable, Unused };

// How the attempt on a granted slot went; tells the owner about the backend server's speed and
// health.
struct SlotReport
{
    SlotOutcome outcome = SlotOutcome::Unused;
    // From dispatch to the first token; 0 if none came.
    std::chrono::microseconds firstToken{ 0 };
    // Mean time between tokens; 0 if fewer than two came.
    std::chrono::microseconds tokenGap{ 0 };
    unsigned tokens = 0;
    // That of the demand.
    std::uint64_t fingerprint = 0;
    // The connection broke as it does when a backend server crashes.
    bool crashed = false;
};

using SlotAnswer = std::variant<GrantedSlot, Refusal>;

class SlotSource
{
public:
    // Called once per request, from any thread; must not block.
    using Callback = std::function<void(SlotAnswer)>;

    virtual ~SlotSource() = default;

    virtual void request(SlotRequest demand, Callback callback) = 0;
    // Withdraws a request that is still waiting; its callback is not called after this returns, and
    // a grant that is on its way is given back.
    virtual void cancel(const std::string &requestId) = 0;
    // Gives a granted slot back; exactly once for each grant.
    virtual void release(const GrantedSlot &slot, SlotReport report) = 0;
};

} // namespace auburn
