#include "auburn/routing/crashregistry.h"

#include "auburn/core/hash.h"
#include "auburn/core/log.h"

#include <algorithm>
#include <utility>

namespace auburn::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Causes that no request has had for this time are forgotten, blocked ones after the longer time.
constexpr seconds kEntryLifetime{ 60 };
constexpr std::chrono::minutes kBlockedLifetime{ 10 };
// The first trial of a blocked cause comes after this time, the next one after twice that time. If
// both fail, the cause stays blocked as long as requests have it.
constexpr seconds kTrialDelay{ 20 };
constexpr unsigned kMaxTrials = 2;
// The trials of the daemons are spread over this time for each daemon: long enough for the first
// one to end and be reported to the others.
constexpr milliseconds kTrialSpreadPerDaemon{ 2000 };
// Entries beyond this number are dropped once half of their lifetime has passed.
constexpr std::size_t kMaxEntries = 4096;

} // namespace

CrashRegistry::CrashRegistry(Options options)
    : options_(options)
{}

void CrashRegistry::setDaemonCount(unsigned daemons)
{
    daemons_ = std::max(1U, daemons);
}

bool CrashRegistry::isExpired(const Entry &entry, TimePoint now) const
{
    const seconds lifetime = isBlocked(entry) ? seconds(kBlockedLifetime) : kEntryLifetime;
    return now - entry.lastUsedAt > lifetime;
}

bool CrashRegistry::hasSucceeded(const Entry &entry)
{
    return entry.own.successes > 0
           || std::any_of(entry.peers.begin(), entry.peers.end(),
                          [](const auto &peer) { return peer.second.successes > 0; });
}

CrashRegistry::Entry *CrashRegistry::find(std::uint64_t cause, TimePoint now)
{
    const auto found = entries_.find(cause);
    return found == entries_.end() || isExpired(found->second, now) ? nullptr : &found->second;
}

const CrashRegistry::Entry *CrashRegistry::find(std::uint64_t cause, TimePoint now) const
{
    const auto found = entries_.find(cause);
    return found == entries_.end() || isExpired(found->second, now) ? nullptr : &found->second;
}

CrashRegistry::Entry &CrashRegistry::entryOf(std::uint64_t cause, TimePoint now)
{
    if (entries_.size() >= kMaxEntries) {
        std::erase_if(entries_, [this, now](const auto &item) {
            return !isBlocked(item.second) && now - item.second.lastUsedAt > kEntryLifetime / 2;
        });
    }
    Entry &entry = entries_[cause];
    if (isExpired(entry, now))
        entry = Entry{};
    entry.lastUsedAt = now;
    return entry;
}

void CrashRegistry::scheduleTrial(Entry &entry, TimePoint now)
{
    std::uniform_int_distribution<milliseconds::rep> spread(
            0, (kTrialSpreadPerDaemon * static_cast<milliseconds::rep>(daemons_)).count());
    entry.nextTrialAt = now + kTrialDelay * (entry.trials + 1) + milliseconds(spread(random_));
}

void CrashRegistry::addCrashes(std::uint64_t cause, Entry &entry, unsigned crashes, TimePoint now)
{
    const auto sinceLastCrash = now - entry.lastCrashAt;
    if (sinceLastCrash < options_.mergeInterval)
        --crashes;
    if (crashes == 0)
        return;
    const bool wasBlocked = isBlocked(entry);
    entry.crashes += crashes;
    entry.lastCrashAt = now;
    if (!isBlocked(entry))
        return;
    // Crashes shortly after the block are those of requests that had been sent before it.
    if (wasBlocked && sinceLastCrash >= kTrialDelay / 2)
        ++entry.trials;
    scheduleTrial(entry, now);
    if (wasBlocked)
        return;
    entry.blockedAt = now;
    logEvent(LogLevel::Warning, options_.blockedEvent,
             { { options_.causeField, toHexadecimal(cause) },
               { "crashes", static_cast<long long>(entry.crashes) } });
}

void CrashRegistry::clear(std::uint64_t cause, Entry &entry)
{
    if (isBlocked(entry))
        logEvent(LogLevel::Info, options_.unblockedEvent,
                 { { options_.causeField, toHexadecimal(cause) },
                   { "crashes", static_cast<long long>(entry.crashes) } });
    entry.crashes = 0;
    entry.trials = 0;
}

bool CrashRegistry::isKnownSound(std::uint64_t cause, TimePoint now) const
{
    const RecentSuccesses::Success *success = successes_.find(cause);
    return success && now - success->at <= kEntryLifetime;
}

CrashRegistry::Causes CrashRegistry::suspects(const Causes &causes, TimePoint now) const
{
    Causes unproven;
    Causes blocked;
    for (const std::uint64_t cause : causes) {
        const auto found = entries_.find(cause);
        if (found != entries_.end() && isBlocked(found->second))
            blocked.push_back(cause);
        if (!isKnownSound(cause, now))
            unproven.push_back(cause);
    }
    // A blocked cause explains the crash.
    if (!blocked.empty())
        return blocked;
    return unproven.empty() ? causes : unproven;
}

void CrashRegistry::recordCrash(const Causes &causes, TimePoint now)
{
    for (const std::uint64_t cause : suspects(causes, now)) {
        Entry &entry = entryOf(cause, now);
        if (now - entry.lastCrashAt >= options_.mergeInterval) {
            ++entry.own.crashes;
            entry.ownChangedAt = now;
        }
        addCrashes(cause, entry, 1, now);
    }
}

bool CrashRegistry::recordSuccess(const Causes &causes, TimePoint now)
{
    bool unblocked = false;
    for (const std::uint64_t cause : causes) {
        if (options_.remembersSuccesses)
            successes_.record({ .cause = cause, .at = now });
        Entry *entry = find(cause, now);
        // Without crashes there is nothing to clear, here or elsewhere. Reporting each success
        // would keep the entries of all popular causes in the heartbeats.
        if (!entry || (entry->crashes == 0 && entry->own.crashes == 0))
            continue;
        unblocked = unblocked || isBlocked(*entry);
        reportSuccess(cause, *entry, now);
    }
    return unblocked;
}

void CrashRegistry::reportSuccess(std::uint64_t cause, Entry &entry, TimePoint now)
{
    entry.own = { .crashes = 0, .successes = ++successCount_ };
    entry.ownChangedAt = now;
    clear(cause, entry);
}

void CrashRegistry::mergePeer(const std::string &peer, const CrashReport &report, TimePoint now)
{
    const Entry *known = find(report.cause, now);
    if (!known && report.crashes == 0 && !report.blocked)
        return;
    const bool isKnownPeer = known && known->peers.contains(peer);
    const Counts previous = isKnownPeer ? known->peers.at(peer) : Counts{};
    const bool isNews = report.successes > previous.successes
                        || (report.successes == previous.successes
                            && report.crashes > previous.crashes);
    const bool isNewBlock = report.blocked
                            && (!known || (!isBlocked(*known) && !hasSucceeded(*known)));
    // Repeated reports must not extend the lifetime of the entry, or two daemons would keep it
    // alive for each other.
    if (!isNews && !isNewBlock)
        return;
    Entry &entry = entryOf(report.cause, now);
    if (isNews)
        entry.peers[peer] = { .crashes = report.crashes, .successes = report.successes };
    if (report.successes > previous.successes) {
        if (options_.remembersSuccesses)
            successes_.record({ .cause = report.cause, .at = now, .used = true });
        clear(report.cause, entry);
        if (report.crashes > 0)
            addCrashes(report.cause, entry, report.crashes, now);
    } else if (report.successes == previous.successes && report.crashes > previous.crashes) {
        addCrashes(report.cause, entry, report.crashes - previous.crashes, now);
    }
    // A daemon that has missed the crashes, because it started later, blocks the cause as the
    // others do, unless it knows of a success.
    if (isNewBlock && !isBlocked(entry))
        addCrashes(report.cause, entry, options_.crashLimit + 1, now);
    if (entry.crashes > 0 && isKnownSound(report.cause, now)
        && !std::exchange(successes_.find(report.cause)->used, true))
        reportSuccess(report.cause, entry, now);
}

CrashRegistry::Blocking CrashRegistry::findBlocking(const Causes &causes, TimePoint now) const
{
    Blocking blocking;
    const Entry *last = nullptr;
    for (const std::uint64_t cause : causes) {
        const Entry *entry = find(cause, now);
        if (!entry || !isBlocked(*entry))
            continue;
        blocking.causes.push_back(cause);
        last = entry;
    }
    // With several blocked causes the result of a trial would tell nothing about each of them.
    blocking.allowsTrial = blocking.causes.size() == 1 && last->trials < kMaxTrials
                           && now >= last->nextTrialAt;
    return blocking;
}

std::optional<std::uint64_t> CrashRegistry::findBlockedCause(const Causes &causes,
                                                             TimePoint now) const
{
    const Blocking blocking = findBlocking(causes, now);
    if (blocking.causes.empty() || blocking.allowsTrial)
        return std::nullopt;
    return blocking.causes.back();
}

std::optional<std::uint64_t> CrashRegistry::blockedCause(const Causes &causes, TimePoint now)
{
    const Blocking blocking = findBlocking(causes, now);
    for (const std::uint64_t cause : blocking.causes)
        entries_.at(cause).lastUsedAt = now;
    if (blocking.allowsTrial)
        scheduleTrial(entries_.at(blocking.causes.front()), now);
    if (blocking.causes.empty() || blocking.allowsTrial)
        return std::nullopt;
    return blocking.causes.back();
}

bool CrashRegistry::wasBlockedSince(const Causes &causes, TimePoint since) const
{
    return std::any_of(causes.begin(), causes.end(), [&](std::uint64_t cause) {
        const auto found = entries_.find(cause);
        return found != entries_.end() && isBlocked(found->second)
               && found->second.blockedAt > since;
    });
}

std::vector<CrashReport> CrashRegistry::ownReports(std::size_t limit, TimePoint now) const
{
    std::vector<std::pair<TimePoint, CrashReport>> recent;
    for (const auto &[cause, entry] : entries_) {
        const bool blocked = isBlocked(entry);
        const bool hasCounts = entry.own.crashes > 0 || entry.own.successes > 0;
        if ((hasCounts || blocked) && !isExpired(entry, now))
            recent.push_back({ entry.ownChangedAt,
                               { .cause = cause,
                                 .crashes = entry.own.crashes,
                                 .successes = entry.own.successes,
                                 .blocked = blocked } });
    }
    std::sort(recent.begin(), recent.end(), [](const auto &left, const auto &right) {
        return std::make_pair(left.second.blocked, left.first)
               > std::make_pair(right.second.blocked, right.first);
    });
    std::vector<CrashReport> reports;
    for (std::size_t i = 0; i < std::min(limit, recent.size()); ++i)
        reports.push_back(recent[i].second);
    return reports;
}

unsigned CrashRegistry::crashes(std::uint64_t cause, TimePoint now) const
{
    const auto found = entries_.find(cause);
    return found == entries_.end() || isExpired(found->second, now) ? 0 : found->second.crashes;
}

std::size_t CrashRegistry::blockedCauses(TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(entries_.begin(), entries_.end(), [&](const auto &item) {
                return isBlocked(item.second) && !isExpired(item.second, now);
            }));
}

} // namespace auburn::routing
