// UsageReporter sends the counts of this daemon to the holder of the duties, and to mirrors.
//
// The mirrors are up to three other daemons, preferably of other failure domains. They keep the
// counts in case this daemon and the holder are killed at about the same time, and pass those of a
// silent daemon on to a new holder (UsageCollector). A mirror acknowledges complete reports; if
// another process acknowledges than the one that received everything, everything is sent again.
//
// Reports are cumulative, so duplicates and losses are harmless. Changes are sent several times a
// second, because a daemon that is killed loses what it has counted since its last report. Once a
// second a complete report holds what the holder has not acknowledged, so that with it the holder
// knows everything that this daemon has counted; it closes a window based on such reports.
#pragma once

#include "auburn.pb.h"
#include "auburn/core/bootclock.h"
#include "auburn/duties/dutyholder.h"
#include "auburn/usage/fleetclock.h"
#include "auburn/usage/livedaemon.h"
#include "auburn/usage/usageledger.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace auburn::usage {

// Sends a datagram to a daemon (IP:PORT).
using SendDatagram =
        std::function<void(const std::string &udpAddress, const proto::PeerDatagram &datagram)>;

// A process that keeps the counts of another daemon.
struct MirrorProcess
{
    std::string udpAddress;
    std::uint64_t incarnation = 0;
    auto operator<=>(const MirrorProcess &) const = default;
};

class UsageReporter
{
public:
    using TimePoint = BootClock::time_point;

    struct Options
    {
        std::string vm;
        // Distinguishes processes with the same name.
        std::uint64_t incarnation = 0;
        std::string failureDomain;
        SendDatagram send;
    };

    // The clock and the ledger must outlive the reporter.
    UsageReporter(Options options, const FleetClock &clock, UsageLedger &ledger);

    // Takes note of the newest known holder, which may be this daemon. Everything is reported to a
    // new one with the next tick.
    void setHolder(const duties::DutyHolder &holder);
    // The newest window that a holder is known to have closed; reports state it, because a new
    // holder may not know.
    void setClosedThrough(std::uint64_t window) { closedThrough_ = window; }
    // The sender is IP:PORT.
    void handleAck(const proto::UsageAck &ack, const std::string &sender);
    // Sends what is due; to be called about every 100 ms with all live daemons, this one included.
    // Their number determines how often changes are sent.
    void tick(TimePoint now, const std::vector<LiveDaemon> &live);
    // Sends everything at once, before the process ends.
    void flush(TimePoint now);
    // The mirrors that have acknowledged a report.
    std::vector<MirrorProcess> mirrors() const;

private:
    struct Mirror
    {
        std::string udpAddress;
        // The process that acknowledged last; 0 if none has.
        std::uint64_t incarnation = 0;
        // The process that acknowledged the newest report of everything; 0 if none has.
        std::uint64_t completeIncarnation = 0;
        // Acknowledgements to skip before everything is sent again, and how many are skipped after
        // the next time. A mirror that loses datagrams never receives a large report completely.
        unsigned acksToSkip = 0;
        unsigned nextSkip = 1;
    };

    bool hasHolder() const { return holder_.token > 0 && !holder_.released; }
    // True once in each second, at a time that differs between the daemons of a large fleet.
    bool takeCompleteReportDue(std::chrono::milliseconds unixTime, std::size_t liveDaemons);
    // Returns true if the mirrors have changed.
    bool chooseMirrors(const std::vector<LiveDaemon> &live);
    std::vector<std::string> selectMirrors(const std::vector<LiveDaemon> &live) const;
    void handleMirrorAck(const proto::UsageAck &ack, Mirror &mirror);
    void queueChanges(std::chrono::milliseconds unixTime);
    void queueCompleteReport(UsageLedger::Scope scope, std::chrono::milliseconds unixTime);
    std::vector<proto::UsageReport> makeReports(UsageLedger::Scope scope,
                                                std::chrono::milliseconds unixTime);
    void sendQueued(std::size_t limit);

    const Options options_;
    const FleetClock &clock_;
    UsageLedger &ledger_;
    duties::DutyHolder holder_;
    // A receiver is new, so it needs everything.
    bool isReceiverNew_ = false;
    // Sorted by address.
    std::vector<Mirror> mirrors_;
    // The number of the newest report of everything.
    std::uint64_t fullReport_ = 0;
    std::int64_t lastCompleteSecond_ = 0;
    TimePoint nextChangesAt_;
    std::uint64_t closedThrough_ = 0;
    std::deque<proto::UsageReport> queue_;
};

} // namespace auburn::usage
