// VersionHistory remembers which software versions the servers of each service had recently.
#pragma once

#include "auburn/core/bootclock.h"
#include "auburn/routing/serverdirectory.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburn::streams {

// Time after its start within which a stream may be resumed. Streams end with the deadlines of
// their callers, which are shorter.
constexpr std::chrono::milliseconds kStreamLifetime{ 30000 };

// Time after its first server within which a version is known to every daemon that can reach the
// store or another daemon, and after which it begins streams. A list of servers that was complete
// within this time proves that no other version has begun any.
constexpr std::chrono::milliseconds kVersionSettleTime{ 2500 };

// A version with a server that has run for this long is known to every daemon, also if this daemon
// has only just started and seen it.
constexpr std::chrono::milliseconds kSettledServerAge{ 10000 };

// Longest time between two observations. After a longer one, for example of a VM that was
// suspended, servers may have come and gone unseen, and the history begins anew.
constexpr std::chrono::milliseconds kMaxObservationGap{ 5000 };

class VersionHistory
{
public:
    // Counts the time for which the VM is suspended.
    using TimePoint = BootClock::time_point;

    // No stream is older than this daemon if the whole system has started with it.
    explicit VersionHistory(bool isFirstStart = false)
        : isFirstStart_(isFirstStart)
    {}

    // Records the versions of the servers that are listed now.
    void observe(const routing::ServerDirectory &directory, TimePoint now);

    // Returns the only version that servers had for the lifetime of a stream, as far as this daemon
    // has seen; empty if there were several. A daemon that was just started has seen too little,
    // unless the whole system has started with it.
    std::optional<std::string> onlyVersion(std::string_view service, TimePoint now) const;
    // The versions that servers of the service had for the lifetime of a stream, as far as this
    // daemon has seen.
    std::vector<std::string> versions(std::string_view service) const;
    // True if this daemon has seen the service for the lifetime of a stream, or if the whole system
    // has started with it.
    bool hasSeenLifetime(std::string_view service, TimePoint now) const;
    // True if servers of the version are listed now.
    bool isListed(std::string_view service, const std::string &version) const;
    // Returns the version that new streams should have because another one is so new that other
    // daemons may not know it: of the older versions that with the most servers, the baseline if
    // equal. Empty if all versions are known, or only new ones have servers.
    std::optional<std::string> preferredVersion(std::string_view service,
                                                const std::string &baseline, TimePoint now,
                                                std::int64_t unixNow) const;
    // True if servers are listed and none named a version for the lifetime of a stream.
    bool namesNoVersion(std::string_view service) const;
    // Returns the only version that this daemon has seen lately, if one of its servers has run for
    // longer than the lifetime of a stream by the wall clock. That is no proof that it began a
    // stream: servers of another version may have left before this daemon started.
    std::optional<std::string> establishedVersion(std::string_view service,
                                                  std::int64_t unixNow) const;
    // Returns the version that most servers of the service have, if none had the given one for the
    // lifetime of a stream; empty otherwise.
    std::optional<std::string> successorOf(std::string_view service, const std::string &version,
                                           TimePoint now) const;
    // Returns the version of the listed server that was started first; empty if none is listed or
    // if it names no version.
    std::optional<std::string> oldestVersion(std::string_view service) const;

private:
    struct Version
    {
        TimePoint firstSeenAt;
        TimePoint lastSeenAt;
        // Number of servers at the last observation.
        unsigned servers = 0;
        // Start time of the oldest server at the last observation; empty if no server names one.
        std::optional<std::int64_t> oldestStartUnixMs;
    };
    struct Service
    {
        TimePoint firstObservedAt;
        std::map<std::string, Version> versions;
    };

    const Service *find(std::string_view service) const;
    static bool isSettled(const Service &service, const Version &version, TimePoint now,
                          std::int64_t unixNow);

    bool isFirstStart_;
    std::optional<TimePoint> observedAt_;
    std::map<std::string, Service, std::less<>> services_;
};

} // namespace auburn::streams
