#include "auburn/usage/usageledger.h"

#include "usagemetrics.h"

#include <algorithm>
#include <utility>

namespace auburn::usage {

using std::chrono::milliseconds;

UsageLedger::UsageLedger(Options options)
    : options_(options)
{
    if (options_.metrics)
        lateRequests_ = &lateRequestsCounter(*options_.metrics);
}

void UsageLedger::count(const std::string &organisation, milliseconds unixTime)
{
    const std::uint64_t window = windowAt(unixTime, options_.windowLength);
    if (window >= firstOpen_)
        ++windows_[window][organisation].requests;
    else if (lateRequests_)
        lateRequests_->add();
}

void UsageLedger::closeThrough(std::uint64_t window)
{
    dropWindows(window + 1);
}

void UsageLedger::dropExpired(milliseconds unixTime)
{
    if (unixTime > kWindowRetention)
        dropWindows(windowAt(unixTime - kWindowRetention, options_.windowLength));
}

void UsageLedger::dropWindows(std::uint64_t firstKept)
{
    if (firstKept <= firstOpen_)
        return;
    firstOpen_ = firstKept;
    while (!windows_.empty() && windows_.begin()->first < firstOpen_) {
        for (const auto &[organisation, entry] : windows_.begin()->second) {
            if (lateRequests_)
                lateRequests_->add(entry.requests - entry.reported);
        }
        windows_.erase(windows_.begin());
    }
}

UsageLedger::Report UsageLedger::takeReport(Scope scope)
{
    Report report;
    if (scope != Scope::Changes)
        report.number = ++completeReports_;
    if (scope == Scope::Everything) {
        acknowledgedReport_ = 0;
        lastFullReport_ = report.number;
    }
    for (auto &[number, window] : windows_) {
        proto::UsageWindow counts;
        counts.set_window(number);
        for (auto &[organisation, entry] : window) {
            const bool isIncluded = scope == Scope::Changes
                                            ? entry.requests > entry.reportedBefore
                                            : takeUnacknowledged(entry, report.number);
            if (isIncluded) {
                proto::UsageCount &count = *counts.add_counts();
                count.set_organisation(organisation);
                count.set_requests(entry.requests);
            }
            entry.reportedBefore = std::exchange(entry.reported, entry.requests);
        }
        if (counts.counts_size() > 0)
            report.windows.push_back(std::move(counts));
    }
    return report;
}

bool UsageLedger::takeUnacknowledged(Entry &entry, std::uint64_t number) const
{
    if (entry.requests > entry.completeReported)
        entry.firstCompleteReport = number;
    entry.completeReported = entry.requests;
    return entry.firstCompleteReport > acknowledgedReport_;
}

void UsageLedger::acknowledge(std::uint64_t number)
{
    if (number >= lastFullReport_)
        acknowledgedReport_ = std::max(acknowledgedReport_, number);
}

} // namespace auburn::usage
