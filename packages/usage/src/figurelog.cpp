#include "figurelog.h"

#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"

#include <algorithm>
#include <iterator>
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
    pending_.clear();
    retry_.reset();
}

void FigureLog::commit(duties::UsageFigure figure, TimePoint now)
{
    pending_.push_back(makePending(std::move(figure)));
    tick(now, lastWindow_);
}

FigureLog::Pending FigureLog::makePending(duties::UsageFigure figure) const
{
    Pending pending;
    pending.records = encodeFigure(figure, keyCount_);
    pending.figure = std::move(figure);
    return pending;
}

void FigureLog::tick(TimePoint now, std::uint64_t lastWindow)
{
    now_ = now;
    lastWindow_ = lastWindow;
    if (isBusy_ || !retry_.isOver(now))
        return;
    if (log_.era() > eraOf(end_))
        isListed_ = false;
    if (!isListed_)
        list();
    else if (!pending_.empty())
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
    end_ = listing->end;
    std::erase_if(pending_, [&listed](const Pending &pending) {
        return listed.nextWindow > pending.figure.window;
    });
    for (Pending &pending : pending_)
        pending.appended = 0;
    restoreLost(listed);
    nextWindow_ = std::max(nextWindow_, listed.nextWindow);
    for (auto &[window, figure] : listed.figures)
        addCommitted(std::move(figure));
    isOpen_ = true;
    isListed_ = true;
}

void FigureLog::restoreLost(const CommittedFigures &listed)
{
    std::deque<Pending> lost;
    for (const auto &[window, known] : known_) {
        // The log does not hold a figure whose key a later window has.
        const bool isReplaced = window + keyCount_ < listed.nextWindow;
        if (known.era >= eraOf(end_) || window < firstWindow_ || isReplaced
            || listed.figures.contains(window))
            continue;
        nextWindow_ = std::max(nextWindow_, window + 1);
        lost.push_back(makePending(known.figure));
    }
    if (lost.empty())
        return;
    logEvent(LogLevel::Warning, "usage_figures_written_again",
             { { "first", static_cast<long long>(lost.front().figure.window) },
               { "last", static_cast<long long>(lost.back().figure.window) },
               { "era", static_cast<long long>(eraOf(end_)) } });
    std::erase_if(pending_, [this](const Pending &pending) {
        return known_.contains(pending.figure.window);
    });
    std::move(pending_.begin(), pending_.end(), std::back_inserter(lost));
    pending_ = std::move(lost);
}

void FigureLog::appendNext()
{
    isBusy_ = true;
    const Pending &pending = pending_.front();
    const FigureRecord &record = pending.records[pending.appended];
    log_.append(record.key, record.value, end_, handler(&FigureLog::appended));
}

void FigureLog::appended(const duties::AppendResult &result)
{
    if (result.status == duties::AppendStatus::Appended) {
        end_ = result.end;
        retry_.reset();
        Pending &pending = pending_.front();
        if (++pending.appended == pending.records.size()) {
            addCommitted(std::move(pending.figure));
            pending_.pop_front();
        }
        if (!pending_.empty())
            appendNext();
        return;
    }
    // Only a record that was certainly not appended leaves the end of the log known.
    isListed_ = result.status == duties::AppendStatus::NotAppended;
    logEvent(LogLevel::Warning, "usage_commit_unconfirmed",
             { { "window", static_cast<long long>(pending_.front().figure.window) },
               { "result", result.status == duties::AppendStatus::Conflict      ? "conflict"
                           : result.status == duties::AppendStatus::NotAppended ? "not_appended"
                                                                                : "unknown" } });
    retry_.recordFailure(now_);
}

void FigureLog::remember(const duties::UsageFigure &figure, std::uint64_t era)
{
    const auto known = known_.find(figure.window);
    if (known == known_.end() || known->second.era < era)
        addKnown(figure, era);
}

void FigureLog::addKnown(const duties::UsageFigure &figure, std::uint64_t era)
{
    known_[figure.window] = { .figure = figure, .era = era };
    if (known_.size() > keyCount_)
        known_.erase(known_.begin());
}

void FigureLog::addCommitted(duties::UsageFigure figure)
{
    const std::uint64_t window = figure.window;
    nextWindow_ = std::max(nextWindow_, window + 1);
    addKnown(figure, eraOf(end_));
    if (found_.insert(window).second)
        committed_[window] = std::move(figure);
    // The log does not hold older ones either.
    if (found_.size() > keyCount_)
        found_.erase(found_.begin());
}

} // namespace auburn::usage
