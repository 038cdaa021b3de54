// FigureLog commits the figure of a window to the log before it is sent.
//
// Every append is conditional on the end of the log as it was listed, and a figure is appended only
// if the listing has none of its window. So the log holds at most one figure for each window, also
// if an append is executed late, if its response is lost, or if another daemon appends as well.
//
// If the log is restored from an older copy, the figures that it has lost and that are known here,
// from the log or from their holder's notice, are appended again, before any other.
#pragma once

#include "figurerecord.h"
#include "retrydelay.h"

#include "auburn/core/bootclock.h"
#include "auburn/core/logposition.h"
#include "auburn/duties/conditionallog.h"
#include "auburn/duties/dutyapi.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace auburn::usage {

class FigureLog
{
public:
    using TimePoint = BootClock::time_point;

    // The log must outlive this object.
    FigureLog(duties::ConditionalLog &log, std::chrono::milliseconds windowLength);

    // Lists the log with the next tick, and forgets everything but the figures that a restored log
    // may lack. Figures are read from this window on.
    void reopen(std::uint64_t firstWindow);
    // True if the log has been listed since reopen().
    bool isOpen() const { return isOpen_; }
    // One past the newest window whose figure is known to be committed; 0 if there is none.
    std::uint64_t nextWindow() const { return nextWindow_; }
    // The figures that have been found or committed since the last call.
    Figures takeCommitted() { return std::exchange(committed_, {}); }
    // The era of the log at its newest response, and when it was listed or appended to last.
    std::uint64_t currentEra() const { return log_.era(); }
    std::uint64_t listedEra() const { return eraOf(end_); }
    // Takes note of a figure that another daemon has committed in this era of the log.
    void remember(const duties::UsageFigure &figure, std::uint64_t era);
    // Commits a figure, unless the log turns out to hold one of this window or of a later one;
    // isCommitting() is true until then. Only while the log is open and nothing is being committed.
    void commit(duties::UsageFigure figure, TimePoint now);
    bool isCommitting() const { return !pending_.empty(); }
    // Continues after failures; to be called about every 100 ms. Later windows than the last one
    // are ignored in the log.
    void tick(TimePoint now, std::uint64_t lastWindow);

private:
    struct Pending
    {
        duties::UsageFigure figure;
        std::vector<FigureRecord> records;
        std::size_t appended = 0;
    };
    struct Known
    {
        duties::UsageFigure figure;
        // The newest era in which the log held it.
        std::uint64_t era = 0;
    };

    void list();
    void listed(const std::optional<duties::LogListing> &listing);
    void appendNext();
    void appended(const duties::AppendResult &result);
    Pending makePending(duties::UsageFigure figure) const;
    // Appends the known figures again that the listing of a later era lacks.
    void restoreLost(const CommittedFigures &listed);
    void addCommitted(duties::UsageFigure figure);
    void addKnown(const duties::UsageFigure &figure, std::uint64_t era);
    // Wraps a handler so that it does nothing after reopen() or destruction.
    template<class Result>
    auto handler(void (FigureLog::*method)(const Result &));

    duties::ConditionalLog &log_;
    const std::uint64_t keyCount_;
    bool isOpen_ = false;
    // The end of the log is known.
    bool isListed_ = false;
    bool isBusy_ = false;
    LogPosition end_ = 0;
    std::uint64_t firstWindow_ = 0;
    std::uint64_t lastWindow_ = 0;
    std::uint64_t nextWindow_ = 0;
    Figures committed_;
    // The windows whose figures have been in committed_.
    std::set<std::uint64_t> found_;
    // Committed one after another.
    std::deque<Pending> pending_;
    // The newest keyCount_ figures that were committed, by window, also by other daemons; kept by
    // reopen().
    std::map<std::uint64_t, Known> known_;
    RetryDelay retry_;
    // Time of the last tick.
    TimePoint now_;
    // Replaced by reopen(); handlers of earlier calls see that theirs has expired.
    std::shared_ptr<int> generation_ = std::make_shared<int>(0);
};

} // namespace auburn::usage
