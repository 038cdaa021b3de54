// UsageLedger counts the requests that backend servers began to run for this daemon, by window and
// organisation, until the windows are closed.
//
// It also remembers what has been reported of each count, so that frequent reports hold only what
// has changed.
#pragma once

#include "auburn.pb.h"
#include "auburn/core/metrics.h"
#include "auburn/usage/usagewindow.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburn::usage {

class UsageLedger
{
public:
    struct Options
    {
        std::chrono::milliseconds windowLength = kDefaultWindowLength;
        // May be null.
        Metrics *metrics = nullptr;
    };

    // Which counts a report holds.
    enum class Scope {
        // Those that changed since the report before the last one, so that the loss of one report
        // is harmless.
        Changes,
        // All counts of windows that may be closed now, and the changes of the others.
        SettledWindows,
        Everything,
    };

    explicit UsageLedger(Options options);

    // Counts one request that began to run at a time since the Unix epoch.
    void count(const std::string &organisation, std::chrono::milliseconds unixTime);
    // Drops the windows up to this one. Requests that are counted for them later are dropped.
    void closeThrough(std::uint64_t window);
    // Drops windows that are too old to be reported.
    void dropExpired(std::chrono::milliseconds unixTime);
    // Returns the counts of a report that is sent now, and marks them as reported.
    std::vector<proto::UsageWindow> takeReport(Scope scope, std::chrono::milliseconds unixTime);

private:
    struct Entry
    {
        std::uint64_t requests = 0;
        // The numbers in the last report and in the one before it.
        std::uint64_t reported = 0;
        std::uint64_t reportedBefore = 0;
    };
    using Window = std::unordered_map<std::string, Entry>;

    void dropWindows(std::uint64_t firstKept);

    const Options options_;
    Counter *lateRequests_ = nullptr;
    // The first window that is not closed.
    std::uint64_t firstOpen_ = 0;
    std::map<std::uint64_t, Window> windows_;
};

} // namespace auburn::usage
