#include "auburn/usage/usageledger.h"

#include "usagemetrics.h"

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

std::vector<proto::UsageWindow> UsageLedger::takeReport(Scope scope, milliseconds unixTime)
{
    std::vector<proto::UsageWindow> report;
    const std::uint64_t firstUnsettled = windowAt(unixTime - kSettleTime, options_.windowLength);
    for (auto &[number, window] : windows_) {
        const bool whole = scope == Scope::Everything
                           || (scope == Scope::SettledWindows && number < firstUnsettled);
        proto::UsageWindow counts;
        counts.set_window(number);
        for (auto &[organisation, entry] : window) {
            if (whole || entry.requests > entry.reportedBefore) {
                proto::UsageCount &count = *counts.add_counts();
                count.set_organisation(organisation);
                count.set_requests(entry.requests);
            }
            entry.reportedBefore = std::exchange(entry.reported, entry.requests);
        }
        if (counts.counts_size() > 0)
            report.push_back(std::move(counts));
    }
    return report;
}

} // namespace auburn::usage
