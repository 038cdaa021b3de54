#include "usagetable.h"

#include <algorithm>
#include <cstddef>

namespace auburn::usage {

using std::chrono::milliseconds;

namespace {

// Far above the number of daemons of a fleet, with restarts.
constexpr std::size_t kMaxProcesses = 4096;
// A report of 21,000 organisations in three windows has about 750 parts.
constexpr std::uint32_t kMaxParts = 4096;
// Position of the process in the keys of counts.
constexpr unsigned kProcessShift = 32;

} // namespace

UsageTable::UsageTable(milliseconds windowLength)
    : windowLength_(windowLength)
{}

std::uint64_t UsageTable::merge(const proto::UsageReport &report, milliseconds unixTime)
{
    ProcessState *state = findProcess(report);
    if (!state)
        return 0;
    state->lastMerge = unixTime;
    // Another daemon that forwards the counts of a process states no time of it.
    if (report.fleet_ms() > 0)
        state->lastReport = unixTime;
    std::uint64_t late = 0;
    for (const proto::UsageWindow &counts : report.windows()) {
        if (!isInRange(counts.window(), unixTime))
            continue;
        Window &window = windows_[counts.window()];
        const std::uint64_t added = mergeWindow(window, counts, state->number);
        if (counts.counts_size() > 0) {
            window.reporters.insert(report.vm());
            window.processes.insert(state->number);
        }
        late += window.closed ? added : 0;
    }
    recordPart(report, *state);
    return late;
}

UsageTable::ProcessState *UsageTable::findProcess(const proto::UsageReport &report)
{
    const Process process(report.vm(), report.incarnation());
    const auto it = processes_.find(process);
    if (it != processes_.end())
        return &it->second;
    if (processes_.size() >= kMaxProcesses)
        return nullptr;
    ProcessState &state = processes_[process];
    state.number = ++lastProcess_;
    return &state;
}

bool UsageTable::isInRange(std::uint64_t window, milliseconds unixTime) const
{
    return window >= windowAt(unixTime - kWindowRetention, windowLength_)
           && window <= windowAt(unixTime + kMaxClockDifference, windowLength_);
}

std::uint64_t UsageTable::mergeWindow(Window &window, const proto::UsageWindow &report,
                                      std::uint32_t process)
{
    std::uint64_t added = 0;
    for (const proto::UsageCount &count : report.counts()) {
        const auto [organisation, isNew] = window.organisations.try_emplace(
                count.organisation(), static_cast<std::uint32_t>(window.totals.size()));
        if (isNew) {
            window.names.push_back(&organisation->first);
            window.totals.push_back(0);
        }
        const std::uint32_t number = organisation->second;
        std::uint64_t &known =
                window.counts[(static_cast<std::uint64_t>(process) << kProcessShift) | number];
        if (count.requests() <= known)
            continue;
        added += count.requests() - known;
        window.totals[number] += count.requests() - known;
        known = count.requests();
    }
    return added;
}

void UsageTable::recordPart(const proto::UsageReport &report, ProcessState &state)
{
    const bool isPart = report.part() >= 1 && report.part() <= report.parts()
                        && report.parts() <= kMaxParts;
    if (!isPart || report.number() < state.report)
        return;
    if (report.number() > state.report || state.parts.size() != report.parts()) {
        state.report = report.number();
        state.parts.assign(report.parts(), false);
        state.partsMissing = report.parts();
    }
    if (state.parts[report.part() - 1])
        return;
    state.parts[report.part() - 1] = true;
    if (--state.partsMissing > 0)
        return;
    std::uint64_t &complete = completeThrough_[report.vm()];
    complete = std::max<std::uint64_t>(complete, report.fleet_ms());
}

std::map<std::string, std::uint64_t> UsageTable::totals(std::uint64_t window) const
{
    std::map<std::string, std::uint64_t> result;
    const auto it = windows_.find(window);
    if (it == windows_.end())
        return result;
    for (const auto &[organisation, number] : it->second.organisations) {
        if (it->second.totals[number] > 0)
            result[organisation] = it->second.totals[number];
    }
    return result;
}

std::unordered_set<std::string> UsageTable::reporters(std::uint64_t window) const
{
    const auto it = windows_.find(window);
    return it == windows_.end() ? std::unordered_set<std::string>() : it->second.reporters;
}

milliseconds UsageTable::completeThrough(const std::string &vm) const
{
    const auto it = completeThrough_.find(vm);
    return milliseconds(it == completeThrough_.end() ? 0 : it->second);
}

bool UsageTable::hasAllParts(const proto::UsageReport &report) const
{
    const auto it = processes_.find(Process(report.vm(), report.incarnation()));
    return it != processes_.end() && report.number() > 0 && it->second.report == report.number()
           && it->second.partsMissing == 0;
}

void UsageTable::close(std::uint64_t window)
{
    windows_[window].closed = true;
}

void UsageTable::dropExpired(milliseconds unixTime)
{
    const milliseconds oldest = unixTime - kWindowRetention;
    const std::uint64_t firstKept = windowAt(oldest, windowLength_);
    dropWindowsBefore(firstKept);
    // A process is kept for longer than any window that it reported.
    std::erase_if(processes_, [&](const auto &item) {
        return item.second.lastMerge < oldest - kWindowRetention;
    });
    std::erase_if(completeThrough_, [&](const auto &item) {
        return milliseconds(item.second) < oldest - kWindowRetention;
    });
}

void UsageTable::dropWindowsBefore(std::uint64_t window)
{
    windows_.erase(windows_.begin(), windows_.lower_bound(window));
}

std::vector<UsageTable::Process> UsageTable::processesSilentSince(milliseconds unixTime) const
{
    std::vector<Process> result;
    for (const auto &[process, state] : processes_) {
        if (state.lastReport < unixTime && hasCounts(state))
            result.push_back(process);
    }
    return result;
}

bool UsageTable::hasCounts(const ProcessState &state) const
{
    return std::any_of(windows_.begin(), windows_.end(), [&state](const auto &item) {
        return item.second.processes.contains(state.number);
    });
}

std::vector<proto::UsageWindow> UsageTable::countsOf(const Process &process) const
{
    std::vector<proto::UsageWindow> result;
    const auto state = processes_.find(process);
    if (state == processes_.end())
        return result;
    for (const auto &[number, window] : windows_) {
        proto::UsageWindow counts;
        counts.set_window(number);
        for (const auto &[key, requests] : window.counts) {
            if (key >> kProcessShift != state->second.number)
                continue;
            proto::UsageCount &count = *counts.add_counts();
            count.set_organisation(*window.names[static_cast<std::uint32_t>(key)]);
            count.set_requests(requests);
        }
        if (counts.counts_size() > 0)
            result.push_back(std::move(counts));
    }
    return result;
}

} // namespace auburn::usage
