#include "auburn/usage/usagecollector.h"

#include "figureannouncer.h"
#include "figurelog.h"
#include "figuresender.h"
#include "silentforwarder.h"
#include "usagemetrics.h"
#include "usagetable.h"

#include "auburn/core/log.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <optional>
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
// A daemon whose last complete report is older counts as silent; daemons send one each second.
constexpr milliseconds kMaxReportAge{ 2500 };
// A log of a later era was restored at least once.
constexpr std::uint64_t kFirstEra = 1;
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
        , announcer_({ .incarnation = options_.incarnation, .send = options_.send })
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
        recordClosed(report.closed_through(), now);
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
        if (holder.token <= holder_.token)
            return;
        formerHolderVm_ = std::exchange(holderVm_, {});
        holder_ = holder;
    }

    void handleAck(const proto::UsageAck &ack, TimePoint now)
    {
        if (ack.closed_through() > kClosedWindowsKept)
            table_.dropWindowsBefore(ack.closed_through() - kClosedWindowsKept);
        recordClosed(ack.closed_through(), now);
    }

    void handleNotice(const proto::UsageFigureNotice &notice, const std::string &sender,
                      TimePoint now)
    {
        if (notice.window() > newestWindow(now))
            return;
        recordClosed(notice.window(), now);
        if (notice.has_counts())
            log_.remember(figureOfNotice(notice), notice.era());
        proto::PeerDatagram datagram;
        proto::UsageFigureAck &ack = *datagram.mutable_usage_figure_ack();
        ack.set_incarnation(notice.incarnation());
        ack.set_window(notice.window());
        options_.send(sender, datagram);
    }

    void handleNoticeAck(const proto::UsageFigureAck &ack, const std::string &sender)
    {
        announcer_.handleAck(ack, sender);
    }

    std::uint64_t closedThrough() const { return closedThrough_; }

    void tick(TimePoint now, const std::vector<LiveDaemon> &live,
              const std::vector<MirrorProcess> &mirrors)
    {
        observeEra(now);
        observeHolder(live);
        table_.dropExpired(clock_.unixTime(now));
        forwarder_.setMirrors(mirrors, now);
        if (permit_.isHeld()) {
            forwarder_.skipHolder();
            performDuty(now, live);
        }
        forwarder_.tick(table_, clock_.unixTime(now), now);
    }

private:
    // The newest window that any daemon can know of.
    std::uint64_t newestWindow(TimePoint now) const
    {
        return windowAt(clock_.unixTime(now) + kMaxClockDifference, options_.windowLength);
    }

    void recordClosed(std::uint64_t window, TimePoint now)
    {
        if (window <= newestWindow(now))
            closedThrough_ = std::max(closedThrough_, window);
    }

    // Notes since when the log has been in its era. If this daemon has not seen the era begin, the
    // log may have been restored just before.
    void observeEra(TimePoint now)
    {
        if (!startedUnixTime_)
            startedUnixTime_ = clock_.unixTime(now);
        if (log_.currentEra() == era_)
            return;
        era_ = log_.currentEra();
        eraSince_ = era_ > kFirstEra ? clock_.unixTime(now) : milliseconds(0);
    }

    void observeHolder(const std::vector<LiveDaemon> &live)
    {
        for (const LiveDaemon &daemon : live) {
            if (daemon.udpAddress == holder_.udpAddress)
                holderVm_ = daemon.vm;
        }
    }

    void performDuty(TimePoint now, const std::vector<LiveDaemon> &live)
    {
        if (permit_.token() != token_)
            takeOver(now);
        log_.tick(now, newestWindow(now));
        // The call may have shown that the log was restored.
        observeEra(now);
        if (!log_.isOpen())
            return;
        if (!resumed_)
            resume();
        announceCommitted(now);
        closeDue(now, live);
        for (auto &[window, figure] : announcer_.tick(now, noticeReceivers(now, live)))
            sender_.add(std::move(figure), now);
        sender_.tick(now);
    }

    // The other live daemons.
    std::vector<NoticeReceiver> noticeReceivers(TimePoint now,
                                                const std::vector<LiveDaemon> &live) const
    {
        const milliseconds reportingSince = clock_.unixTime(now) - kMaxReportAge;
        std::vector<NoticeReceiver> receivers;
        for (const LiveDaemon &daemon : live) {
            if (daemon.udpAddress != options_.udpAddress)
                receivers.push_back(
                        { .udpAddress = daemon.udpAddress,
                          .isReporting = table_.completeThrough(daemon.vm) >= reportingSince });
        }
        return receivers;
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
        announcer_.clear();
        sender_.clear();
        log_.reopen(windowAt(acquiredUnixTime_ - kResendTime, options_.windowLength));
    }

    // Continues where the log ends.
    void resume()
    {
        resumed_ = true;
        nextWindow_ = log_.nextWindow();
        logEvent(LogLevel::Info, "usage_taken_over",
                 { { "token", toLogNumber(token_) }, { "next_window", toLogNumber(nextWindow_) } });
    }

    // Does not close windows again that another holder has closed, if the log was restored without
    // their figures: a second figure might differ from the one that was sent.
    void skipLost()
    {
        if (nextWindow_ > closedThrough_)
            return;
        logEvent(LogLevel::Warning, "usage_windows_lost",
                 { { "first", toLogNumber(nextWindow_) },
                   { "last", toLogNumber(closedThrough_) },
                   { "era", toLogNumber(log_.listedEra()) } });
        nextWindow_ = closedThrough_ + 1;
    }

    // Announces the figures that were found in the log or committed: those of previous holders,
    // those of this daemon, and any whose append was executed late. They are sent afterwards.
    void announceCommitted(TimePoint now)
    {
        for (auto &[window, figure] : log_.takeCommitted())
            announcer_.add(std::move(figure), log_.listedEra(), now);
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
        skipLost();
        while (!log_.isCommitting() && isSettled(now)) {
            const std::vector<std::string> missing = missingReports(live);
            if (!missing.empty() && !isWaitOver(now))
                return;
            if (isUnknown())
                ++nextWindow_;
            else if (mayHaveLostFigure() && !isKnownToBeOpen(missing))
                leaveOut(missing);
            else
                close(now, missing);
            announceCommitted(now);
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

    // True if the figure of the next window may have been committed and sent by another holder,
    // and lost by a restore of the log: a window can be closed from kSettleTime after its end on.
    bool mayHaveLostFigure() const
    {
        const milliseconds closable = windowEnd(nextWindow_, options_.windowLength) + kSettleTime;
        return closable <= eraSince_ && closable <= acquiredUnixTime_;
    }

    // True if no holder has sent a figure of the next window: it would have told another daemon
    // before, and all of them but the former holder have reported.
    bool isKnownToBeOpen(const std::vector<std::string> &missing) const
    {
        const milliseconds closable = windowEnd(nextWindow_, options_.windowLength) + kSettleTime;
        const bool wasRunning = startedUnixTime_ && *startedUnixTime_ <= closable;
        return wasRunning && std::all_of(missing.begin(), missing.end(), [this](const auto &vm) {
                   return vm == formerHolderVm_;
               });
    }

    // A window about which nobody can know is not reported: a missing report is corrected later,
    // but a second one with other counts contradicts the first.
    void leaveOut(const std::vector<std::string> &missing)
    {
        logEvent(LogLevel::Warning, "usage_window_left_out",
                 { { "window", toLogNumber(nextWindow_) },
                   { "era", toLogNumber(era_) },
                   { "missing", toLogNumber(missing.size()) },
                   { "missing_vms", joinNames(missing) } });
        ++nextWindow_;
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
    FigureAnnouncer announcer_;
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
    // The newest window that a holder is known to have closed.
    std::uint64_t closedThrough_ = 0;
    // The newest known holder, its VM, and the VM of the holder before it; empty if unknown.
    duties::DutyHolder holder_;
    std::string holderVm_;
    std::string formerHolderVm_;
    // The era of the log, and since when it has been known.
    std::uint64_t era_ = 0;
    milliseconds eraSince_{ 0 };
    // Time of the first tick.
    std::optional<milliseconds> startedUnixTime_;
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

void UsageCollector::handleAck(const proto::UsageAck &ack, TimePoint now)
{
    state_->handleAck(ack, now);
}

void UsageCollector::handleNotice(const proto::UsageFigureNotice &notice, const std::string &sender,
                                  TimePoint now)
{
    state_->handleNotice(notice, sender, now);
}

void UsageCollector::handleNoticeAck(const proto::UsageFigureAck &ack, const std::string &sender)
{
    state_->handleNoticeAck(ack, sender);
}

std::uint64_t UsageCollector::closedThrough() const
{
    return state_->closedThrough();
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
