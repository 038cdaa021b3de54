// UsageCollector produces the usage figures of the deployment while this daemon holds the duties.
//
// It merges the reports of all daemons, closes a window once they are complete, commits its figure
// to the log and sends it to the platform. Two different figures are never sent for one window,
// whichever daemons hold the duties: only figures that are read from the log, or whose append was
// confirmed, are sent, and the log holds at most one for each window. Other daemons are told of a
// figure before it is sent, because the log may be restored from a copy that lacks it.
#pragma once

#include "auburn.pb.h"
#include "auburn/core/bootclock.h"
#include "auburn/core/metrics.h"
#include "auburn/duties/conditionallog.h"
#include "auburn/duties/dutyapi.h"
#include "auburn/duties/dutyholder.h"
#include "auburn/duties/dutypermit.h"
#include "auburn/usage/fleetclock.h"
#include "auburn/usage/livedaemon.h"
#include "auburn/usage/reportstatus.h"
#include "auburn/usage/usagereporter.h"
#include "auburn/usage/usagewindow.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace auburn::usage {

class UsageCollector
{
public:
    using TimePoint = BootClock::time_point;

    struct Options
    {
        // Distinguishes processes of this VM.
        std::uint64_t incarnation = 0;
        // This daemon's IP:PORT for datagrams.
        std::string udpAddress;
        std::chrono::milliseconds windowLength = kDefaultWindowLength;
        SendDatagram send;
        // May be null.
        Metrics *metrics = nullptr;
    };

    // Everything that is passed by reference must outlive the collector.
    struct Dependencies
    {
        const FleetClock &clock;
        duties::ConditionalLog &log;
        duties::DutyApi &api;
        const duties::DutyPermit &permit;
    };

    UsageCollector(Options options, const Dependencies &dependencies);
    ~UsageCollector();
    UsageCollector(const UsageCollector &) = delete;
    UsageCollector &operator=(const UsageCollector &) = delete;

    // Takes note of the newest known holder. A new one gets the counts that this daemon has
    // received from daemon processes that are silent.
    void setHolder(const duties::DutyHolder &holder, TimePoint now);
    // Merges a report, also while the permit is not held: this daemon may be a mirror of the
    // sender, or hold the permit again later. The sender (IP:PORT) gets an acknowledgement of a
    // complete report.
    void handleReport(const proto::UsageReport &report, const std::string &sender, TimePoint now);
    // Forgets the counts of windows that the holder, which may be this daemon, has closed.
    void handleAck(const proto::UsageAck &ack, TimePoint now);
    // Takes note of a figure that the holder is about to send, and confirms that to it (IP:PORT).
    void handleNotice(const proto::UsageFigureNotice &notice, const std::string &sender,
                      TimePoint now);
    void handleNoticeAck(const proto::UsageFigureAck &ack, const std::string &sender);
    // The newest window that a holder is known to have closed; 0 if none is.
    std::uint64_t closedThrough() const;
    // Performs what is due; to be called about every 100 ms on every daemon. The live daemons,
    // this one included, are those whose reports a window waits for. New ones of this daemon's
    // mirrors get the counts of silent processes.
    void tick(TimePoint now, const std::vector<LiveDaemon> &live,
              const std::vector<MirrorProcess> &mirrors);
    // Returns what this daemon has reported; only meaningful while it holds the duties.
    ReportStatus status(TimePoint now) const;

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace auburn::usage
