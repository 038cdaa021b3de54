// UsageTable merges the reports of all daemons into the counts of each window.
//
// The counts in reports are cumulative, so the maximum per daemon process, window and organisation
// is kept: duplicates, losses and reordering do not change the result. A restarted daemon is
// another process, whose counts are added.
#pragma once

#include "auburn.pb.h"
#include "auburn/usage/usagewindow.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory_resource>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace auburn::usage {

class UsageTable
{
public:
    explicit UsageTable(std::chrono::milliseconds windowLength);

    // Merges a report. Windows that ended long ago or begin in the future are left out, as are the
    // counts of further processes once there are too many. Returns the number of requests that it
    // adds to closed windows, which are too late.
    std::uint64_t merge(const proto::UsageReport &report, std::chrono::milliseconds unixTime);
    // The requests of each organisation in a window.
    std::map<std::string, std::uint64_t> totals(std::uint64_t window) const;
    // The VMs that have reported requests in a window.
    std::unordered_set<std::string> reporters(std::uint64_t window) const;
    // The time up to which a daemon has reported everything; 0 if it has reported nothing.
    std::chrono::milliseconds completeThrough(const std::string &vm) const;
    // True if this is a part of its process's newest complete report and every part has arrived.
    bool hasAllParts(const proto::UsageReport &report) const;
    // Requests that are reported for the window later are late.
    void close(std::uint64_t window);
    // Forgets windows and processes that are too old to matter.
    void dropExpired(std::chrono::milliseconds unixTime);
    // Forgets the windows before this one.
    void dropWindowsBefore(std::uint64_t window);

    // A daemon process: its VM's name and its incarnation.
    using Process = std::pair<std::string, std::uint64_t>;

    // The processes with counts that have not reported themselves since a time.
    std::vector<Process> processesSilentSince(std::chrono::milliseconds unixTime) const;
    // All counts that a process has reported.
    std::vector<proto::UsageWindow> countsOf(const Process &process) const;

private:
    struct ProcessState
    {
        std::uint32_t number = 0;
        // When the process itself last reported; 0 if its counts are known from another daemon
        // only.
        std::chrono::milliseconds lastReport{ 0 };
        // When counts of the process last arrived.
        std::chrono::milliseconds lastMerge{ 0 };
        // The number of the newest complete report, and which of its parts have arrived.
        std::uint64_t report = 0;
        std::vector<bool> parts;
        std::uint32_t partsMissing = 0;
    };

    // Organisations are numbered within a window, because 790 daemons that report up to 125
    // organisations each would need too much memory for the names.
    struct Window
    {
        // Of the maps below. A window is only added to and then dropped as a whole.
        std::pmr::monotonic_buffer_resource memory;
        bool closed = false;
        std::pmr::unordered_map<std::string, std::uint32_t> organisations{ &memory };
        // By the number of the organisation; the names are the keys of the map above.
        std::vector<const std::string *> names;
        std::vector<std::uint64_t> totals;
        // By the number of the process (upper 32 bits) and of the organisation.
        std::pmr::unordered_map<std::uint64_t, std::uint64_t> counts{ &memory };
        // VMs.
        std::unordered_set<std::string> reporters;
        // The numbers of the processes that have counts.
        std::unordered_set<std::uint32_t> processes;
    };

    ProcessState *findProcess(const proto::UsageReport &report);
    bool isInRange(std::uint64_t window, std::chrono::milliseconds unixTime) const;
    // True if a window that is kept has counts of the process.
    bool hasCounts(const ProcessState &state) const;
    // Returns the number of requests that the counts add to the window.
    static std::uint64_t mergeWindow(Window &window, const proto::UsageWindow &report,
                                     std::uint32_t process);
    void recordPart(const proto::UsageReport &report, ProcessState &state);

    const std::chrono::milliseconds windowLength_;
    std::uint32_t lastProcess_ = 0;
    std::map<Process, ProcessState> processes_;
    // By VM, in milliseconds since the epoch.
    std::map<std::string, std::uint64_t> completeThrough_;
    std::map<std::uint64_t, Window> windows_;
};

} // namespace auburn::usage
