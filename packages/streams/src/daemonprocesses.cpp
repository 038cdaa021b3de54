#include "auburn/streams/daemonprocesses.h"

#include "auburn/streams/versionhistory.h"

#include <algorithm>

namespace auburn::streams {

void DaemonProcesses::observe(const ProcessState &state, TimePoint now)
{
    const std::string name = state.process.name();
    const auto [entry, isNew] = processes_.try_emplace(name, Process{ .vm = state.process.vm });
    Process &process = entry->second;
    // A heartbeat of a process that has been replaced was delayed on its way.
    if (process.isReplaced)
        return;
    if (isNew) {
        for (auto &[otherName, other] : processes_)
            other.isReplaced = other.isReplaced || (other.vm == process.vm && otherName != name);
        records_.expect(name);
    }
    process.heardAt = now;
    process.isServing = state.isServing;
    process.missesRecords = state.missesRecords;
    if (state.hasSameServers)
        process.agreedAt = now;
    records_.confirm(name, state.recordsEra, now);
}

void DaemonProcesses::expire(TimePoint now)
{
    std::erase_if(processes_, [&](const auto &entry) {
        const bool isExpired = now - entry.second.heardAt > kStreamLifetime + kMaxCopyAge;
        if (isExpired)
            records_.release(entry.first);
        return isExpired;
    });
}

void DaemonProcesses::clear()
{
    processes_.clear();
    records_ = {};
}

std::vector<std::string> DaemonProcesses::withUnconfirmedRecords(std::uint64_t era,
                                                                 TimePoint restoredAt) const
{
    std::vector<std::string> names = records_.missing({ .era = era });
    std::erase_if(names, [&](const std::string &name) {
        return processes_.at(name).heardAt < restoredAt - kMaxCopyAge;
    });
    return names;
}

std::vector<std::string> DaemonProcesses::withUnknownServers(TimePoint since) const
{
    std::vector<std::string> names;
    for (const auto &[name, process] : processes_) {
        const bool hasAgreed = process.agreedAt && *process.agreedAt >= since;
        if (process.isServing && !process.isReplaced && !hasAgreed)
            names.push_back(name);
    }
    return names;
}

bool DaemonProcesses::missRecords(TimePoint heardSince) const
{
    return std::any_of(processes_.begin(), processes_.end(), [heardSince](const auto &entry) {
        return entry.second.missesRecords && entry.second.heardAt >= heardSince;
    });
}

} // namespace auburn::streams
