#include "figurelog.h"

#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"

#include <algorithm>
#include <utility>

namespace auburn::usage {

FigureLog::FigureLog(duties::ConditionalLog &log, std::chrono::milliseconds windowLength)
    : log_(log)
    , keyCount_(figureKeyCount(windowLength))
{}

template<class Result>
auto FigureLog::handler(void (FigureLog::*method)(const Result &))
{
    return [this, method, alive = std::weak_ptr<int>(generation_)](const Result &result) {
        if (alive.expired())
            return;
        isBusy_ = false;
        (this->*method)(result);
    };
}

void FigureLog::reopen(std::uint64_t firstWindow)
{
    firstWindow_ = firstWindow;
    nextWindow_ = 0;
    found_.clear();
    generation_ = std::make_shared<int>(0);
    isOpen_ = false;
    isListed_ = false;
    isBusy_ = false;
    committed_.clear();
    pending_.reset();
    retry_.reset();
}

void FigureLog::commit(duties::UsageFigure figure, TimePoint now)
{
    Pending pending;
    pending.records = encodeFigure(figure, keyCount_);
    pending.figure = std::move(figure);
    pending_ = std::move(pending);
    tick(now, lastWindow_);
}

void FigureLog::tick(TimePoint now, std::uint64_t lastWindow)
{
    now_ = now;
    lastWindow_ = lastWindow;
    if (isBusy_ || !retry_.isOver(now))
        return;
    if (!isListed_)
        list();
    else if (pending_)
        appendNext();
}

void FigureLog::list()
{
    isBusy_ = true;
    log_.list(handler(&FigureLog::listed));
}

void FigureLog::listed(const std::optional<duties::LogListing> &listing)
{
    if (!listing) {
        logEvent(LogLevel::Warning, "usage_log_list_failed", { { "reason", lastError() } });
        retry_.recordFailure(now_);
        return;
    }
    CommittedFigures listed = decodeFigures(*listing, firstWindow_, lastWindow_);
    for (auto &[window, figure] : listed.figures)
        addCommitted(std::move(figure));
    nextWindow_ = std::max(nextWindow_, listed.nextWindow);
    end_ = listing->end;
    isOpen_ = true;
    isListed_ = true;
    if (!pending_)
        return;
    if (nextWindow_ > pending_->figure.window)
        pending_.reset();
    else
        pending_->appended = 0;
}

void FigureLog::appendNext()
{
    isBusy_ = true;
    const FigureRecord &record = pending_->records[pending_->appended];
    log_.append(record.key, record.value, end_, handler(&FigureLog::appended));
}

void FigureLog::appended(const duties::AppendResult &result)
{
    if (result.status == duties::AppendStatus::Appended) {
        end_ = result.end;
        retry_.reset();
        if (++pending_->appended < pending_->records.size()) {
            appendNext();
            return;
        }
        addCommitted(std::move(pending_->figure));
        pending_.reset();
        return;
    }
    // Only a record that was certainly not appended leaves the end of the log known.
    isListed_ = result.status == duties::AppendStatus::NotAppended;
    logEvent(LogLevel::Warning, "usage_commit_unconfirmed",
             { { "window", static_cast<long long>(pending_->figure.window) },
               { "result", result.status == duties::AppendStatus::Conflict      ? "conflict"
                           : result.status == duties::AppendStatus::NotAppended ? "not_appended"
                                                                                : "unknown" } });
    retry_.recordFailure(now_);
}

void FigureLog::addCommitted(duties::UsageFigure figure)
{
    const std::uint64_t window = figure.window;
    nextWindow_ = std::max(nextWindow_, window + 1);
    if (found_.insert(window).second)
        committed_[window] = std::move(figure);
    // The log does not hold older ones either.
    if (found_.size() > keyCount_)
        found_.erase(found_.begin());
}

} // namespace auburn::usage
