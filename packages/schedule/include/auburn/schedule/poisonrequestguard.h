#pragma once

#include "auburn/core/refusal.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace auburn {

// Number of crashes in a failure domain after which a request is refused (design, section 2.6).
constexpr unsigned kCrashLimit = 2;
// Longest time for which a trial of a request that has crashed a backend server blocks the next
// trial.
constexpr std::chrono::seconds kTrialTimeout{ 30 };

// Keeps a poison request, that is, one that crashes backend servers, from taking down one backend
// server after the other.
//
// The owner of a cell sees every attempt on its backend servers, whichever daemon the caller uses,
// so the limit is enforced here; gossip carries the crash counts to other owners. After its first
// crash a request is retried alone: until that trial ends, other requests with the same content are
// refused.
//
// Thread-safe.
class PoisonRequestGuard
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Options
    {
        // Returns the number of crashes that the fingerprint has caused in this failure domain. If
        // empty, all requests are admitted.
        std::function<unsigned(std::uint64_t fingerprint)> crashCount;
        // Records one more crash of the fingerprint; may be empty.
        std::function<void(std::uint64_t fingerprint)> recordCrash;
    };

    explicit PoisonRequestGuard(Options options);

    // Returns the refusal of a request that must not run now. Otherwise admits it, and starts its
    // trial if it has crashed a backend server before.
    std::optional<Refusal> admit(std::uint64_t fingerprint, TimePoint now);
    // Ends the trial of a request and records its crash, if any.
    void attemptEnded(std::uint64_t fingerprint, bool crashed);

private:
    const Options options_;
    std::mutex mutex_;
    // Time at which each trial in progress stops blocking others at the latest, by fingerprint.
    std::unordered_map<std::uint64_t, TimePoint> trials_;
};

} // namespace auburn
