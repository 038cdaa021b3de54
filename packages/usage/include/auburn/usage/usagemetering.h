// UsageMetering is the usage reporting of one daemon: its clock, ledger, reporter and collector.
//
// It has no timers and no network: the daemon calls tick() about every 100 ms, passes datagrams and
// heartbeats on, and sends datagrams for it. All calls must come from one thread.
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
#include "auburn/usage/usagecollector.h"
#include "auburn/usage/usageledger.h"
#include "auburn/usage/usagereporter.h"
#include "auburn/usage/usagewindow.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace auburn::usage {

class UsageMetering
{
public:
    using TimePoint = BootClock::time_point;

    struct Options
    {
        LiveDaemon self;
        // Distinguishes processes with the same name.
        std::uint64_t incarnation = 0;
        std::chrono::milliseconds windowLength = kDefaultWindowLength;
        // Sends a datagram to another daemon; it may be lost.
        SendDatagram send;
        // Returns the other live daemons, those that are stopping included. Called at most twice a
        // second.
        std::function<std::vector<LiveDaemon>()> livePeers;
        // May be null.
        Metrics *metrics = nullptr;
    };

    // Everything that is passed by reference must outlive this object.
    struct Dependencies
    {
        duties::ConditionalLog &log;
        duties::DutyApi &api;
        const duties::DutyPermit &permit;
    };

    // The wall clock is this VM's time since the Unix epoch.
    UsageMetering(Options options, const Dependencies &dependencies,
                  std::chrono::milliseconds wallClock, TimePoint now);

    // Counts a request that a backend server began to run (Gateway::Options::requestBegan).
    void recordRequest(const std::string &organisation, std::chrono::milliseconds ago,
                       TimePoint now);
    // Records the wall clock that another daemon states in its heartbeat.
    void recordPeerClock(const std::string &vm, std::chrono::milliseconds wallClock, TimePoint now);
    // Takes note of the newest known holder of the duties, which may be this daemon.
    void setHolder(const duties::DutyHolder &holder, TimePoint now);
    // Handles usage reports and acknowledgements; other datagrams are ignored. The sender is
    // IP:PORT.
    void handleDatagram(const proto::PeerDatagram &datagram, const std::string &sender,
                        TimePoint now);
    void tick(std::chrono::milliseconds wallClock, TimePoint now);
    // Returns what this daemon has reported; only meaningful while it holds the duties.
    ReportStatus reportStatus(TimePoint now) const { return collector_.status(now); }
    // Reports everything at once, before the process ends.
    void flush(TimePoint now);

private:
    void send(const std::string &udpAddress, const proto::PeerDatagram &datagram);
    void refreshLiveDaemons(TimePoint now);

    const Options options_;
    FleetClock clock_;
    UsageLedger ledger_;
    UsageReporter reporter_;
    UsageCollector collector_;
    // All live daemons, this one included.
    std::vector<LiveDaemon> live_;
    TimePoint liveRefreshAt_;
    // Time of the last call that may send datagrams.
    TimePoint now_;
};

} // namespace auburn::usage
