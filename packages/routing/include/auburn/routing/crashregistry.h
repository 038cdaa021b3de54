// CrashRegistry finds what crashes the backend servers that run it, across all daemons, so that
// requests with the same cause are rejected.
//
// A cause is an id of what requests may have in common: a shared part of their prompts, or
// everything, if they are equal. A crash is blamed on those causes of its request that are not
// known to be sound: with which no request has succeeded lately, and beside which no other cause is
// blocked. Sound causes are cleared by the next request that runs with them, on any daemon; a cause
// that crashes every server is never cleared and is blocked after a few crashes.
#pragma once

#include "auburn/routing/recentsuccesses.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburn::routing {

// Number of crashes without a success in between after which equal requests are rejected.
constexpr unsigned kCrashLimit = 3;
// The same for requests that share a part of their prompts.
constexpr unsigned kPromptCrashLimit = 4;

// What one daemon has seen of requests with a cause.
struct CrashReport
{
    std::uint64_t cause = 0;
    // Crashes since this daemon's last success with the cause.
    unsigned crashes = 0;
    // Rises when a success clears crashes; 0 before the first one. A higher number than in the
    // previous report clears the cause.
    std::uint64_t successes = 0;
    // The daemon rejects requests with the cause.
    bool blocked = false;
};

class CrashRegistry
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Causes = std::vector<std::uint64_t>;

    struct Options
    {
        // Number of crashes without a success in between after which the cause is blocked.
        unsigned crashLimit = kCrashLimit;
        // Crashes of one cause within this time count as one.
        std::chrono::milliseconds mergeInterval{ 0 };
        // Remembers successes without an earlier crash, too, which show which of several causes is
        // sound.
        bool remembersSuccesses = false;
        // Names in log lines.
        std::string_view blockedEvent;
        std::string_view unblockedEvent;
        std::string_view causeField;
    };

    explicit CrashRegistry(Options options);

    // Sets the number of daemons. It spreads their trials of a blocked cause, so that usually one
    // daemon tries it and the others learn the result.
    void setDaemonCount(unsigned daemons);
    // Records that a server crashed while it ran a request with these causes.
    void recordCrash(const Causes &causes, TimePoint now);
    // Records that a server ran a request with these causes. Returns true if one of them was
    // blocked until now.
    bool recordSuccess(const Causes &causes, TimePoint now);
    // Merges another daemon's report. Reports that repeat an earlier one have no effect.
    void mergePeer(const std::string &peer, const CrashReport &report, TimePoint now);
    // Returns the cause because of which a request with these causes is rejected, or nullopt if it
    // may run. A few requests with a single blocked cause run as trials, long after it was blocked.
    std::optional<std::uint64_t> blockedCause(const Causes &causes, TimePoint now);
    // Returns what blockedCause() would return, and changes nothing.
    std::optional<std::uint64_t> findBlockedCause(const Causes &causes, TimePoint now) const;
    // True if one of the causes was blocked after the time, so that a request that waited since
    // then must not run any more.
    bool wasBlockedSince(const Causes &causes, TimePoint since) const;
    // Returns this daemon's reports, those that changed last first, at most limit of them.
    std::vector<CrashReport> ownReports(std::size_t limit, TimePoint now) const;
    // Returns the number of crashes on all daemons since the last success.
    unsigned crashes(std::uint64_t cause, TimePoint now) const;
    // Number of causes that are blocked now.
    std::size_t blockedCauses(TimePoint now) const;
    // Number of causes of which a success is remembered.
    std::size_t rememberedSuccesses() const { return successes_.size(); }

private:
    struct Counts
    {
        unsigned crashes = 0;
        std::uint64_t successes = 0;
    };

    struct Entry
    {
        Counts own;
        std::map<std::string, Counts> peers;
        // Crashes that any daemon has reported since the last success.
        unsigned crashes = 0;
        // Trials that crashed a server since the cause was blocked.
        unsigned trials = 0;
        TimePoint lastCrashAt;
        TimePoint blockedAt;
        // The time of the last crash, success, or rejected request.
        TimePoint lastUsedAt;
        TimePoint ownChangedAt;
        // The time of the next trial while the cause is blocked.
        TimePoint nextTrialAt;
    };

    // What is blocked of the causes of one request.
    struct Blocking
    {
        Causes causes;
        // The request may run nevertheless, as a trial.
        bool allowsTrial = false;
    };

    Blocking findBlocking(const Causes &causes, TimePoint now) const;
    // Returns the causes that may have caused a crash of a request with these causes.
    Causes suspects(const Causes &causes, TimePoint now) const;
    bool isKnownSound(std::uint64_t cause, TimePoint now) const;
    // Tells the other daemons that a request has succeeded with the cause, which clears it.
    void reportSuccess(std::uint64_t cause, Entry &entry, TimePoint now);
    bool isBlocked(const Entry &entry) const { return entry.crashes >= options_.crashLimit; }
    bool isExpired(const Entry &entry, TimePoint now) const;
    static bool hasSucceeded(const Entry &entry);
    // Returns null if there is no entry or it has expired.
    Entry *find(std::uint64_t cause, TimePoint now);
    const Entry *find(std::uint64_t cause, TimePoint now) const;
    Entry &entryOf(std::uint64_t cause, TimePoint now);
    void addCrashes(std::uint64_t cause, Entry &entry, unsigned crashes, TimePoint now);
    void clear(std::uint64_t cause, Entry &entry);
    void scheduleTrial(Entry &entry, TimePoint now);

    Options options_;
    std::unordered_map<std::uint64_t, Entry> entries_;
    // The last known successes of causes.
    RecentSuccesses successes_;
    unsigned daemons_ = 1;
    std::uint64_t successCount_ = 0;
    std::mt19937_64 random_{ std::random_device{}() };
};

// Options for equal requests; the cause is their fingerprint.
constexpr CrashRegistry::Options kEqualRequestCrashOptions{
    .crashLimit = kCrashLimit,
    .blockedEvent = "equal_requests_blocked",
    .unblockedEvent = "equal_requests_unblocked",
    .causeField = "fingerprint"
};
// Options for shared parts of prompts. Crashes at the same time count as one, because a failure
// domain that loses power ends many engines at once, whatever they run.
constexpr CrashRegistry::Options kPromptPartCrashOptions{
    .crashLimit = kPromptCrashLimit,
    .mergeInterval = std::chrono::milliseconds(250),
    .remembersSuccesses = true,
    .blockedEvent = "prompt_part_blocked",
    .unblockedEvent = "prompt_part_unblocked",
    .causeField = "part"
};

} // namespace auburn::routing
