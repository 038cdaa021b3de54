#include "auburn/duties/lease.h"

#include "auburn.pb.h"
#include "auburn/core/hash.h"
#include "auburn/core/log.h"
#include "auburn/proto/parsemessage.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace auburn::duties {

using std::chrono::milliseconds;

namespace {

constexpr const char *kKey = "duties";
// A log of a later era was restored at least once.
constexpr std::uint64_t kFirstEra = 1;
// The holder renews this many times in each leaseTime, so two renewals in succession may fail.
constexpr int kRenewalsPerLease = 3;
// Candidates call the store at different times after a holder has failed.
constexpr unsigned kTakeoverSteps = 8;
constexpr milliseconds kTakeoverStep{ 150 };
// A daemon that knows no holder usually learns of one by heartbeats within this time, and one of a
// large fleet that it does not have to read the store.
constexpr milliseconds kFirstListingDelay{ 1000 };
constexpr milliseconds kRetryDelay{ 300 };
constexpr milliseconds kMaxRetryDelay{ 2400 };
constexpr unsigned kMaxDoublings = 3;
// Delay of the listing after a conflict or a first failure.
constexpr milliseconds kFirstRetryDelay{ 50 };
// Unknown appends that are remembered. A forgotten one that turns out to have succeeded gives no
// permit until the next renewal.
constexpr std::size_t kMaxPendingAppends = 16;

bool isNewer(const DutyHolder &left, const DutyHolder &right)
{
    return std::tie(left.token, left.renewal, left.released)
           > std::tie(right.token, right.renewal, right.released);
}

LogField tokenField(std::uint64_t token)
{
    return { "token", static_cast<long long>(token) };
}

} // namespace

Lease::Lease(Options options)
    : options_(std::move(options))
{}

bool Lease::isHeld() const
{
    return isHolder_ && !stopped_ && options_.now() < permitEnd_;
}

milliseconds Lease::timeLeft() const
{
    if (!isHeld())
        return milliseconds(0);
    const auto left = std::chrono::duration_cast<milliseconds>(permitEnd_ - options_.now());
    return std::max(left, milliseconds(0));
}

void Lease::tick()
{
    reportHeld();
    if (busy_ || options_.now() < nextCallAt_)
        return;
    if (needsListing_)
        list();
    else if (isHolder_)
        stepAsHolder();
    else
        stepAsFollower();
}

void Lease::stop()
{
    stopped_ = true;
    reportHeld();
}

void Lease::release()
{
    if (std::exchange(releasing_, true))
        return;
    stop();
    nextCallAt_ = options_.now();
    tick();
}

void Lease::recordPeerHolder(const DutyHolder &holder)
{
    if (!learn(holder))
        return;
    heldLong_.reset();
    if (isHolder_ && holder.token > token_)
        stepDown();
}

void Lease::stepAsHolder()
{
    if (releasing_)
        append(end_, true);
    else if (!stopped_ && options_.now() >= renewAt_)
        append(end_, false);
}

void Lease::stepAsFollower()
{
    if (stopped_ || !options_.isCandidate()) {
        candidateSince_.reset();
        return;
    }
    if (!candidateSince_)
        candidateSince_ = options_.now();
    if (options_.now() >= takeoverTime())
        list();
}

// Candidates have different delays, which also differ from one holder to the next.
milliseconds Lease::takeoverDelay() const
{
    const std::uint64_t hash = stableHash(options_.vm, newest_.token);
    return static_cast<int>(hash % kTakeoverSteps) * kTakeoverStep;
}

Lease::TimePoint Lease::takeoverTime() const
{
    if (newest_.token == 0)
        return *candidateSince_ + kFirstListingDelay + takeoverDelay();
    // Heartbeats do not tell whether a released lease was held for long, so it has to be read.
    const bool waits = !newest_.released || (heldLong_ && !*heldLong_);
    const milliseconds wait = waits ? options_.leaseTime + kLeaseMargin : milliseconds(0);
    return learnedAt_ + wait + takeoverDelay();
}

bool Lease::isTakeoverDue() const
{
    return !isHolder_ && !stopped_ && candidateSince_ && options_.isCandidate()
           && options_.now() >= takeoverTime();
}

void Lease::list()
{
    busy_ = true;
    options_.log->list([this](const std::optional<LogListing> &listing) { listed(listing); });
}

void Lease::listed(const std::optional<LogListing> &listing)
{
    busy_ = false;
    if (!listing) {
        retryAfterFailure();
        return;
    }
    needsListing_ = false;
    const auto item = std::find_if(listing->items.begin(), listing->items.end(),
                                   [](const LogItem &entry) { return entry.key == kKey; });
    if (item != listing->items.end())
        recordNewest(*item, listing->end);
    else if (newest_.token == 0 && isTakeoverDue() && !mayHaveLostHolder(listing->end))
        append(listing->end, false);
    else if (newest_.token == 0 || !writeAgain(listing->end))
        retryAfterFailure();
    tick();
}

bool Lease::mayHaveLostHolder(LogPosition end) const
{
    return eraOf(end) > kFirstEra
           && options_.now() < *candidateSince_ + options_.leaseTime + kLeaseMargin;
}

bool Lease::writeAgain(LogPosition end)
{
    if (eraOf(end) <= eraOf(newest_.token))
        return false;
    if (isHolder_ && (releasing_ || !stopped_)) {
        logEvent(LogLevel::Info, "lease_written_again",
                 { tokenField(token_), { "era", static_cast<long long>(eraOf(end)) } });
        append(end, releasing_);
    } else if (isTakeoverDue()) {
        append(end, false);
    } else {
        return false;
    }
    return true;
}

void Lease::recordNewest(const LogItem &item, LogPosition end)
{
    proto::LeaseRecord record;
    // An unreadable record counts as one of an unknown holder.
    if (!proto::parseMessage(item.value, record))
        record.Clear();
    // The token is the position after the record that acquired the lease. A higher one would make
    // all that follow look outdated.
    const bool hasToken = record.token() > 0 && record.token() <= item.position + 1;
    const DutyHolder holder{ .token = hasToken ? record.token() : item.position + 1,
                             .renewal = record.renewal(),
                             .udpAddress = record.udp_address(),
                             .released = record.released() };
    // A listing that is older than what other daemons know is no basis for an append.
    if (isNewer(newest_, holder)) {
        if (!writeAgain(end)) {
            needsListing_ = isHolder_;
            retryAfterFailure();
        }
        return;
    }
    if (isOwn(record)) {
        holdRecord(holder, end);
    } else {
        learn(holder);
        heldLong_ = record.held_long();
        if (isHolder_)
            stepDown();
        if (isTakeoverDue())
            append(end, false);
    }
    // An append that expects an earlier end cannot succeed any more.
    std::erase_if(pendingAppends_,
                  [end](const auto &entry) { return entry.second.expectedEnd < end; });
}

bool Lease::isOwn(const proto::LeaseRecord &record) const
{
    return record.vm() == options_.vm && record.incarnation() == options_.incarnation;
}

void Lease::append(LogPosition expectedEnd, bool released)
{
    const std::uint64_t renewal = ++appendCount_;
    const TimePoint now = options_.now();
    proto::LeaseRecord record;
    record.set_vm(options_.vm);
    record.set_incarnation(options_.incarnation);
    // The position of a record is another one after a restore, so the record states its token.
    record.set_token(isHolder_ ? token_ : expectedEnd + 1);
    record.set_renewal(renewal);
    record.set_released(released);
    record.set_udp_address(options_.udpAddress);
    record.set_held_long(released && now - acquiredAt_ >= options_.leaseTime + kLeaseMargin);
    if (pendingAppends_.size() >= kMaxPendingAppends)
        pendingAppends_.erase(pendingAppends_.begin());
    pendingAppends_[renewal] = { .sentAt = now, .expectedEnd = expectedEnd };
    busy_ = true;
    const DutyHolder holder{ .token = record.token(),
                             .renewal = renewal,
                             .udpAddress = options_.udpAddress,
                             .released = released };
    options_.log->append(kKey, record.SerializeAsString(), expectedEnd,
                         [this, holder](const AppendResult &result) { appended(holder, result); });
}

void Lease::appended(const DutyHolder &holder, const AppendResult &result)
{
    busy_ = false;
    switch (result.status) {
    case AppendStatus::Appended:
        failures_ = 0;
        if (holder.token == token_ && !holder.released)
            ++renewals_;
        // The response may arrive long after the lease was lost.
        if (holder.token >= newest_.token)
            holdRecord(holder, result.end);
        pendingAppends_.clear();
        break;
    case AppendStatus::Conflict:
        pendingAppends_.erase(holder.renewal);
        needsListing_ = true;
        retryAfter(kFirstRetryDelay);
        break;
    case AppendStatus::NotAppended:
        pendingAppends_.erase(holder.renewal);
        retryAfterFailure();
        break;
    case AppendStatus::Unknown:
        needsListing_ = true;
        retryAfterFailure();
        break;
    }
    tick();
}

void Lease::holdRecord(const DutyHolder &holder, LogPosition end)
{
    if (holder.token != token_)
        acquiredAt_ = options_.now();
    token_ = holder.token;
    end_ = end;
    isHolder_ = !holder.released;
    if (const auto pending = pendingAppends_.find(holder.renewal);
        pending != pendingAppends_.end()) {
        permitEnd_ = std::max(permitEnd_, pending->second.sentAt + options_.leaseTime);
        renewAt_ = pending->second.sentAt + options_.leaseTime / kRenewalsPerLease;
    }
    learn(holder);
    if (holder.released)
        logEvent(LogLevel::Info, "lease_released", { tokenField(token_) });
    reportHeld();
}

void Lease::stepDown()
{
    isHolder_ = false;
    needsListing_ = false;
    logEvent(LogLevel::Warning, "lease_lost",
             { tokenField(token_),
               { "successor", static_cast<long long>(newest_.token) },
               { "held", reportedHeld_ ? "yes" : "no" } });
    reportHeld();
}

std::optional<milliseconds> Lease::newestAge() const
{
    if (newest_.token == 0)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(options_.now() - learnedAt_);
}

bool Lease::learn(const DutyHolder &holder)
{
    if (!isNewer(holder, newest_))
        return false;
    const bool changed = holder.token != newest_.token || holder.released != newest_.released
                         || holder.udpAddress != newest_.udpAddress;
    newest_ = holder;
    failures_ = 0;
    learnedAt_ = options_.now();
    if (changed)
        options_.onHolderChanged(newest_);
    return true;
}

void Lease::reportHeld()
{
    const bool held = isHeld();
    if (held == reportedHeld_)
        return;
    reportedHeld_ = held;
    if (held)
        logEvent(LogLevel::Info, "lease_acquired", { tokenField(token_), { "vm", options_.vm } });
    else if (isHolder_ && !stopped_)
        logEvent(LogLevel::Warning, "lease_expired", { tokenField(token_) });
    options_.onHeldChanged(held);
}

void Lease::retryAfter(milliseconds delay)
{
    nextCallAt_ = options_.now() + delay;
}

void Lease::retryAfterFailure()
{
    const unsigned earlier = failures_++;
    if (earlier == 0) {
        retryAfter(kFirstRetryDelay);
        return;
    }
    // Candidates must not add to the load of a store that is failing; the holder is only one.
    if (isHolder_)
        retryAfter(kRetryDelay);
    else
        retryAfter(std::min(kRetryDelay * (1U << std::min(earlier, kMaxDoublings)), kMaxRetryDelay)
                   + takeoverDelay());
}

} // namespace auburn::duties
