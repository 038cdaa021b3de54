// DaemonProcesses tracks the processes of the other daemons that may know what this daemon lacks:
// streams whose records a restored store has lost, and versions that only they have seen.
#pragma once

#include "auburn/core/bootclock.h"
#include "auburn/core/confirmations.h"
#include "auburn/streams/originpeers.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburn::streams {

// Greatest age of the copy from which the store is restored.
constexpr std::chrono::milliseconds kMaxCopyAge{ 10000 };

// What a daemon states in a heartbeat.
struct ProcessState
{
    DaemonProcess process;
    // False while the daemon is stopping.
    bool isServing = true;
    // The newest era of the store whose log holds all records of the process's streams; 0 if none.
    std::uint64_t recordsEra = 0;
    // The process waits for records of another one that a restored store may have lost.
    bool missesRecords = false;
    // The process knows the same servers as this daemon.
    bool hasSameServers = false;
};

class DaemonProcesses
{
public:
    using TimePoint = BootClock::time_point;

    void observe(const ProcessState &state, TimePoint now);
    void expire(TimePoint now);
    // Forgets all processes, because heartbeats of each one do not arrive any more.
    void clear();

    bool areKnown() const { return !processes_.empty(); }
    // The processes whose records may be missing in the log of this era, which was restored at this
    // time. Those that were killed are among them; their records are never written again.
    std::vector<std::string> withUnconfirmedRecords(std::uint64_t era, TimePoint restoredAt) const;
    // The processes that may have learned of versions which this daemon does not know: those that
    // have not stated since this time that they know the same servers. Processes that have been
    // replaced or are stopping begin no new streams.
    std::vector<std::string> withUnknownServers(TimePoint since) const;
    // True if any process that was heard at this time or later misses records.
    bool missRecords(TimePoint heardSince) const;

private:
    struct Process
    {
        std::string vm;
        TimePoint heardAt;
        // When the process last stated that it knows the same servers as this daemon.
        std::optional<TimePoint> agreedAt;
        bool isServing = true;
        bool missesRecords = false;
        // Another process of the VM was heard later.
        bool isReplaced = false;
    };

    // By name.
    std::map<std::string, Process> processes_;
    Confirmations records_;
};

} // namespace auburn::streams
