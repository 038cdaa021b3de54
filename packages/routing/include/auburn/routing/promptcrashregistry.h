// PromptCrashRegistry finds the prompt parts that crash the engines that run them, across all
// daemons, so that requests with such a part are rejected whatever else they contain.
//
// A crash is blamed on those shared parts of its request that are not known to be sound: with which
// no request has succeeded lately, and beside which no other part is blocked. Sound parts are
// cleared by the next request that runs with them, on any daemon; a part that crashes every engine
// is never cleared and is blocked after a few crashes.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburn::routing {

// Number of crashes without a success in between after which requests with the part are rejected.
constexpr unsigned kPromptCrashLimit = 4;

// What one daemon has seen of requests with a part.
struct PromptCrashReport
{
    std::uint64_t part = 0;
    // Crashes since this daemon's last success with the part.
    unsigned crashes = 0;
    // Rises when a success clears crashes; 0 before the first one. A higher number than in the
    // previous report clears the part.
    std::uint64_t successes = 0;
    // The daemon rejects requests with the part.
    bool blocked = false;
};

class PromptCrashRegistry
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Parts = std::vector<std::uint64_t>;

    // Sets the number of daemons. It spreads their trials of a blocked part, so that usually one
    // daemon tries it and the others learn the result.
    void setDaemonCount(unsigned daemons);
    // Records that an engine crashed while it ran a request with these parts.
    void recordCrash(const Parts &parts, TimePoint now);
    // Records that an engine ran a request with these parts. Returns true if one of them was
    // blocked until now.
    bool recordSuccess(const Parts &parts, TimePoint now);
    // Merges another daemon's report. Reports that repeat an earlier one have no effect.
    void mergePeer(const std::string &peer, const PromptCrashReport &report, TimePoint now);
    // Returns the part because of which a request with these parts is rejected, or nullopt if it
    // may run. A few requests with a single blocked part run as trials, long after it was blocked.
    std::optional<std::uint64_t> blockedPart(const Parts &parts, TimePoint now);
    // True if one of the parts was blocked after the time, so that a request that waited since then
    // must not run any more.
    bool wasBlockedSince(const Parts &parts, TimePoint since) const;
    // Returns this daemon's reports, those that changed last first, at most limit of them.
    std::vector<PromptCrashReport> ownReports(std::size_t limit, TimePoint now) const;
    // Number of parts that are blocked now.
    std::size_t blockedParts(TimePoint now) const;

private:
    struct Counts
    {
        unsigned crashes = 0;
        std::uint64_t successes = 0;
    };

    struct Success
    {
        TimePoint at;
        // The success has cleared crashes that another daemon blamed on the part. It does so only
        // once, so that it cannot hide a part that has begun to crash engines.
        bool used = false;
    };

    struct Entry
    {
        Counts own;
        std::map<std::string, Counts> peers;
        // Crashes that any daemon has reported since the last success.
        unsigned crashes = 0;
        // Trials that crashed an engine since the part was blocked.
        unsigned trials = 0;
        TimePoint lastCrashAt;
        TimePoint blockedAt;
        // The time of the last crash, success, or rejected request.
        TimePoint lastUsedAt;
        TimePoint ownChangedAt;
        // The time of the next trial while the part is blocked.
        TimePoint nextTrialAt;
    };

    // Returns the parts that may have caused a crash of a request with these parts.
    Parts suspects(const Parts &parts, TimePoint now) const;
    bool isKnownSound(std::uint64_t part, TimePoint now) const;
    // Tells the other daemons that a request has succeeded with the part, which clears it.
    void reportSuccess(std::uint64_t part, Entry &entry, TimePoint now);
    static bool isBlocked(const Entry &entry) { return entry.crashes >= kPromptCrashLimit; }
    static bool isExpired(const Entry &entry, TimePoint now);
    static bool hasSucceeded(const Entry &entry);
    // Returns null if there is no entry or it has expired.
    Entry *find(std::uint64_t part, TimePoint now);
    Entry &entryOf(std::uint64_t part, TimePoint now);
    void addCrashes(std::uint64_t part, Entry &entry, unsigned crashes, TimePoint now);
    static void clear(std::uint64_t part, Entry &entry);
    void scheduleTrial(Entry &entry, TimePoint now);

    std::unordered_map<std::uint64_t, Entry> entries_;
    // The last known success with each part.
    std::unordered_map<std::uint64_t, Success> successes_;
    unsigned daemons_ = 1;
    std::uint64_t successCount_ = 0;
    std::mt19937_64 random_{ std::random_device{}() };
};

} // namespace auburn::routing
