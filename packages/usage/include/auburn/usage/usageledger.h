// UsageLedger counts the requests that backend servers began to run for this daemon, by window and
// organisation, until the windows are closed.
//
// It also remembers what has been reported of each count and acknowledged by the holder, so that
// reports hold only what the holder may not know.
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
        // Those that no acknowledged complete report held. With it, the receiver knows everything.
        Unacknowledged,
        Everything,
    };

    struct Report
    {
        // Number of a complete report; 0 for changes.
        std::uint64_t number = 0;
        std::vector<proto::UsageWindow> windows;
    };

    explicit UsageLedger(Options options);

    // Counts one request that began to run at a time since the Unix epoch.
    void count(const std::string &organisation, std::chrono::milliseconds unixTime);
    // Drops the windows up to this one. Requests that are counted for them later are dropped.
    void closeThrough(std::uint64_t window);
    // Drops windows that are too old to be reported.
    void dropExpired(std::chrono::milliseconds unixTime);
    // Returns a report that is sent now, and marks its counts as reported. Reports of everything
    // are for new receivers: earlier acknowledgements do not count any more.
    Report takeReport(Scope scope);
    // The receiver has the complete report with this number.
    void acknowledge(std::uint64_t number);

private:
    struct Entry
    {
        std::uint64_t requests = 0;
        // The numbers in the last report and in the one before it.
        std::uint64_t reported = 0;
        std::uint64_t reportedBefore = 0;
        // The number in the last complete report, and the first such report that held it.
        std::uint64_t completeReported = 0;
        std::uint64_t firstCompleteReport = 0;
    };
    using Window = std::unordered_map<std::string, Entry>;

    void dropWindows(std::uint64_t firstKept);
    // True if a complete report with this number must hold the entry. Marks it as reported then.
    bool takeUnacknowledged(Entry &entry, std::uint64_t number) const;

    const Options options_;
    Counter *lateRequests_ = nullptr;
    // The first window that is not closed.
    std::uint64_t firstOpen_ = 0;
    std::map<std::uint64_t, Window> windows_;
    // Complete reports are numbered from 1.
    std::uint64_t completeReports_ = 0;
    std::uint64_t acknowledgedReport_ = 0;
    // The last report of everything; acknowledgements of earlier ones do not count.
    std::uint64_t lastFullReport_ = 0;
};

} // namespace auburn::usage
