#include "auburn/usage/usagecollector.h"

#include "figurelog.h"
#include "figuresender.h"
#include "silentforwarder.h"
#include "usagemetrics.h"
#include "usagetable.h"

#include "auburn/core/log.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <unordered_set>
#include <utility>

namespace auburn::usage {

using std::chrono::milliseconds;

namespace {

// A window is closed at this time after its end although reports are missing, because a daemon that
// was killed counts as live for about 3 s.
constexpr milliseconds kMaxWait{ 4000 };
// A new holder waits at least this long for the reports that daemons send when they learn of it,
// and up to the second time if some are missing; but once a window ended 8 s ago, only for the
// first, because its figure must be sent within 10 s.
constexpr milliseconds kTakeoverWait{ 1500 };
constexpr milliseconds kMaxTakeoverWait{ 3000 };
constexpr milliseconds kLatestClose{ 8000 };
// A new holder sends the committed windows that ended in this time again: its predecessor may have
// been stopped between the commit and the call.
constexpr milliseconds kResendTime{ 20000 };
// Late reports about the newest closed windows are still recognised as such.
constexpr std::uint64_t kClosedWindowsKept = 1;
constexpr std::size_t kMaxNamesInLog = 3;

long long toLogNumber(std::uint64_t number)
{
    return static_cast<long long>(number);
}

std::string joinNames(const std::vector<std::string> &names)
{
    std::string text;
    for (std::size_t i = 0; i < std::min(names.size(), kMaxNamesInLog); ++i)
        text += (i > 0 ? "," : "") + names[i];
    return text;
}

} // namespace

class UsageCollector::State
{
public:
    State(Options options, const Dependencies &dependencies)
        : options_(std::move(options))
        , clock_(dependencies.clock)
        , permit_(dependencies.permit)
        , table_(options_.windowLength)
        , log_(dependencies.log, options_.windowLength)
        , sender_({ .windowLength = options_.windowLength, .metrics = options_.metrics },
                  dependencies.clock, dependencies.api)
        , forwarder_(options_.send)
    {
        if (!options_.metrics)
            return;
        lateRequests_ = &lateRequestsCounter(*options_.metrics);
        closedWindows_ = &options_.metrics->counter("auburn_usage_windows_closed_total",
                                                    "Usage windows that this daemon closed");
    }

    void handleReport(const proto::UsageReport &report, const std::string &sender, TimePoint now)
    {
        const std::uint64_t late = table_.merge(report, clock_.unixTime(now));
        if (lateRequests_)
            lateRequests_->add(late);
        if (!table_.hasAllParts(report))
            return;
        proto::PeerDatagram datagram;
        proto::UsageAck &ack = *datagram.mutable_usage_ack();
        if (isOperating() && permit_.isHeld()) {
            ack.set_token(token_);
            ack.set_closed_through(nextWindow_ > 0 ? nextWindow_ - 1 : 0);
        }
        ack.set_incarnation(report.incarnation());
        ack.set_number(report.number());
        ack.set_receiver_incarnation(options_.incarnation);
        options_.send(sender, datagram);
    }

    ReportStatus status(TimePoint now) const { return sender_.status(now); }

    void setHolder(const duties::DutyHolder &holder, TimePoint now)
    {
        forwarder_.setHolder(holder, now);
    }

    void handleAck(const proto::UsageAck &ack)
    {
        if (ack.closed_through() > kClosedWindowsKept)
            table_.dropWindowsBefore(ack.closed_through() - kClosedWindowsKept);
        if (ack.closed_through() > closedThrough_) {
            closedThrough_ = ack.closed_through();
            closedEra_ = log_.currentEra();
        }
    }

    void tick(TimePoint now, const std::vector<LiveDaemon> &live,
              const std::vector<MirrorProcess> &mirrors)
    {
        table_.dropExpired(clock_.unixTime(now));
        forwarder_.setMirrors(mirrors, now);
        if (permit_.isHeld()) {
            forwarder_.skipHolder();
            performDuty(now, live);
        }
        forwarder_.tick(table_, clock_.unixTime(now), now);
    }

private:
    void performDuty(TimePoint now, const std::vector<LiveDaemon> &live)
    {
        if (permit_.token() != token_)
            takeOver(now);
        log_.tick(now, windowAt(clock_.unixTime(now) + kMaxClockDifference, options_.windowLength));
        if (!log_.isOpen())
            return;
        if (!resumed_)
            resume();
        sendCommitted(now);
        closeDue(now, live);
        sender_.tick(now);
    }

    bool isOperating() const { return token_ > 0 && resumed_; }

    // Starts under a new token. Under the same one nobody else has acted in between.
    void takeOver(TimePoint now)
    {
        token_ = permit_.token();
        acquiredAt_ = now;
        acquiredUnixTime_ = clock_.unixTime(now);
        resumed_ = false;
        // Another holder may have sent these; the log holds the recent ones.
        sender_.clear();
        log_.reopen(windowAt(acquiredUnixTime_ - kResendTime, options_.windowLength));
    }

    // Continues where the log ends.
    void resume()
    {
        resumed_ = true;
        nextWindow_ = log_.nextWindow();
        skipLost();
        logEvent(LogLevel::Info, "usage_taken_over",
                 { { "token", toLogNumber(token_) }, { "next_window", toLogNumber(nextWindow_) } });
    }

    // Does not close windows again that a former holder has closed, if the log was restored without
    // their figures: a second figure might differ from the one that was sent.
    void skipLost()
    {
        if (nextWindow_ > closedThrough_ || log_.listedEra() <= closedEra_)
            return;
        logEvent(LogLevel::Warning, "usage_windows_lost",
                 { { "first", toLogNumber(nextWindow_) },
                   { "last", toLogNumber(closedThrough_) },
                   { "era", toLogNumber(log_.listedEra()) } });
        nextWindow_ = closedThrough_ + 1;
    }

    // Sends the figures that were found in the log or committed: those of previous holders, those
    // of this daemon, and any whose append was executed late.
    void sendCommitted(TimePoint now)
    {
        for (auto &[window, figure] : log_.takeCommitted())
            sender_.add(std::move(figure), now);
        nextWindow_ = std::max(nextWindow_, log_.nextWindow());
    }

    // Windows whose figures would not be sent any more are not closed.
    void skipExpired(milliseconds unixTime)
    {
        const std::uint64_t oldest = windowAt(std::max(unixTime - kReportLimit, milliseconds(0)),
                                              options_.windowLength);
        if (nextWindow_ >= oldest)
            return;
        if (nextWindow_ > 0)
            logEvent(
                    LogLevel::Warning, "usage_windows_skipped",
                    { { "first", toLogNumber(nextWindow_) }, { "last", toLogNumber(oldest - 1) } });
        nextWindow_ = oldest;
    }

    void closeDue(TimePoint now, const std::vector<LiveDaemon> &live)
    {
        skipExpired(clock_.unixTime(now));
        while (!log_.isCommitting() && isSettled(now)) {
            const std::vector<std::string> missing = missingReports(live);
            if (!missing.empty() && !isWaitOver(now))
                return;
            if (isUnknown())
                ++nextWindow_;
            else
                close(now, missing);
            sendCommitted(now);
        }
    }

    // The daemons whose reports for the next window are not known to be complete: live ones, and
    // others that have reported some of its requests, because they may be frozen.
    std::vector<std::string> missingReports(const std::vector<LiveDaemon> &live) const
    {
        const milliseconds due = windowEnd(nextWindow_, options_.windowLength) + kSettleTime;
        std::unordered_set<std::string> awaited = table_.reporters(nextWindow_);
        for (const LiveDaemon &daemon : live)
            awaited.insert(daemon.vm);
        std::vector<std::string> missing;
        std::copy_if(awaited.begin(), awaited.end(), std::back_inserter(missing),
                     [&](const std::string &vm) { return table_.completeThrough(vm) < due; });
        return missing;
    }

    milliseconds ageOfNext(TimePoint now) const
    {
        return clock_.unixTime(now) - windowEnd(nextWindow_, options_.windowLength);
    }

    bool isSettled(TimePoint now) const
    {
        return ageOfNext(now) >= kSettleTime && now - acquiredAt_ >= kTakeoverWait;
    }

    // True if the next window does not wait for missing reports any longer.
    bool isWaitOver(TimePoint now) const
    {
        const milliseconds age = ageOfNext(now);
        return age >= kMaxWait && (now - acquiredAt_ >= kMaxTakeoverWait || age >= kLatestClose);
    }

    // True if the next window ended before this daemon held the duties, and nobody has reported
    // requests for it. An empty figure might be wrong then: the daemons that could report may have
    // been replaced.
    bool isUnknown() const
    {
        return windowEnd(nextWindow_, options_.windowLength) <= acquiredUnixTime_
               && table_.reporters(nextWindow_).empty();
    }

    void close(TimePoint now, const std::vector<std::string> &missing)
    {
        duties::UsageFigure figure{ .window = nextWindow_, .requests = table_.totals(nextWindow_) };
        std::uint64_t requests = 0;
        for (const auto &[organisation, count] : figure.requests)
            requests += count;
        const milliseconds end = windowEnd(nextWindow_, options_.windowLength);
        logEvent(missing.empty() ? LogLevel::Info : LogLevel::Warning, "usage_window_closed",
                 { { "window", toLogNumber(nextWindow_) },
                   { "requests", toLogNumber(requests) },
                   { "organisations", toLogNumber(figure.requests.size()) },
                   { "reporters", toLogNumber(table_.reporters(nextWindow_).size()) },
                   { "missing", toLogNumber(missing.size()) },
                   { "missing_vms", joinNames(missing) },
                   { "age_ms", static_cast<long long>((clock_.unixTime(now) - end).count()) } });
        table_.close(nextWindow_);
        if (closedWindows_)
            closedWindows_->add();
        log_.commit(std::move(figure), now);
    }

    const Options options_;
    const FleetClock &clock_;
    const duties::DutyPermit &permit_;
    UsageTable table_;
    FigureLog log_;
    FigureSender sender_;
    SilentForwarder forwarder_;
    Counter *lateRequests_ = nullptr;
    Counter *closedWindows_ = nullptr;
    // The token under which this daemon holds the duties, or last did.
    std::uint64_t token_ = 0;
    TimePoint acquiredAt_;
    milliseconds acquiredUnixTime_{ 0 };
    // The log has been listed under this token.
    bool resumed_ = false;
    // The oldest window that is neither committed nor given up.
    std::uint64_t nextWindow_ = 0;
    // The newest window that a holder is known to have closed, and the era of the log when this
    // daemon learned of it.
    std::uint64_t closedThrough_ = 0;
    std::uint64_t closedEra_ = 0;
};

UsageCollector::UsageCollector(Options options, const Dependencies &dependencies)
    : state_(std::make_unique<State>(std::move(options), dependencies))
{}

UsageCollector::~UsageCollector() = default;

void UsageCollector::handleReport(const proto::UsageReport &report, const std::string &sender,
                                  TimePoint now)
{
    state_->handleReport(report, sender, now);
}

void UsageCollector::setHolder(const duties::DutyHolder &holder, TimePoint now)
{
    state_->setHolder(holder, now);
}

void UsageCollector::handleAck(const proto::UsageAck &ack)
{
    state_->handleAck(ack);
}

void UsageCollector::tick(TimePoint now, const std::vector<LiveDaemon> &live,
                          const std::vector<MirrorProcess> &mirrors)
{
    state_->tick(now, live, mirrors);
}

ReportStatus UsageCollector::status(TimePoint now) const
{
    return state_->status(now);
}

} // namespace auburn::usage
