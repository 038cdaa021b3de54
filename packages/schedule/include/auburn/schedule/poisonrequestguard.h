// PoisonRequestGuard: keeps requests that crash backend servers from taking down one backend server
// after the other.
//
// The owner of a cell sees every attempt of its backend servers, whichever daemon the caller turns
// to, so the limit is kept here; gossip carries the counts to other owners. After its first crash a
// request is tried alone: until that attempt has ended, further requests with the same content are
// refused.
#pragma once

#include "auburn/core/refusal.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace auburn {

// Crashes in a failure domain after which a request is refused (design, section 2.6).
constexpr unsigned kCrashLimit = 2;
// Longest time for which one attempt of a suspect request excludes the next.
constexpr std::chrono::seconds kSuspectTrial{ 30 };

// Thread-safe.
class PoisonRequestGuard
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Options
    {
        // Crashes that the fingerprint has caused in this failure domain; empty: no request is
        // suspect.
        std::function<unsigned(std::uint64_t fingerprint)> crashCount;
        // Counts one more crash.
        std::function<void(std::uint64_t fingerprint)> recordCrash;
    };

    explicit PoisonRequestGuard(Options options);

    // The refusal of a request that must not be tried now; otherwise starts its trial if it is
    // suspect.
    std::optional<Refusal> admit(std::uint64_t fingerprint, TimePoint now);
    // An attempt of a request has ended.
    void attemptEnded(std::uint64_t fingerprint, bool crashed);

private:
    const Options options_;
    std::mutex mutex_;
    // Suspect requests with an attempt in progress, and when the attempt stops excluding others.
    std::unordered_map<std::uint64_t, TimePoint> trials_;
};

} // namespace auburn
