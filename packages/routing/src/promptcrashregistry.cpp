#include "auburn/routing/promptcrashregistry.h"

#include "auburn/core/hash.h"
#include "auburn/core/log.h"

#include <algorithm>
#include <utility>

namespace auburn::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Parts that no request has used for this time are forgotten, blocked ones after the longer time.
constexpr seconds kEntryLifetime{ 60 };
constexpr std::chrono::minutes kBlockedLifetime{ 10 };
// Crashes within this time count as one, because a failure domain that loses power ends many
// engines at once, whatever they run.
constexpr milliseconds kCrashInterval{ 250 };
// The first trial of a blocked part comes after this time, the next one after twice that time. If
// both fail, the part stays blocked as long as requests use it.
constexpr seconds kTrialDelay{ 20 };
constexpr unsigned kMaxTrials = 2;
// The trials of the daemons are spread over this time for each daemon: long enough for the first
// one to end and be reported to the others.
constexpr milliseconds kTrialSpreadPerDaemon{ 2000 };
// Entries beyond this number are dropped once half of their lifetime has passed.
constexpr std::size_t kMaxEntries = 4096;

} // namespace

void PromptCrashRegistry::setDaemonCount(unsigned daemons)
{
    daemons_ = std::max(1U, daemons);
}

bool PromptCrashRegistry::isExpired(const Entry &entry, TimePoint now)
{
    const seconds lifetime = isBlocked(entry) ? seconds(kBlockedLifetime) : kEntryLifetime;
    return now - entry.lastUsedAt > lifetime;
}

bool PromptCrashRegistry::hasSucceeded(const Entry &entry)
{
    return entry.own.successes > 0
           || std::any_of(entry.peers.begin(), entry.peers.end(),
                          [](const auto &peer) { return peer.second.successes > 0; });
}

PromptCrashRegistry::Entry *PromptCrashRegistry::find(std::uint64_t part, TimePoint now)
{
    const auto found = entries_.find(part);
    return found == entries_.end() || isExpired(found->second, now) ? nullptr : &found->second;
}

PromptCrashRegistry::Entry &PromptCrashRegistry::entryOf(std::uint64_t part, TimePoint now)
{
    if (entries_.size() >= kMaxEntries) {
        std::erase_if(entries_, [now](const auto &item) {
            return !isBlocked(item.second) && now - item.second.lastUsedAt > kEntryLifetime / 2;
        });
    }
    Entry &entry = entries_[part];
    if (isExpired(entry, now))
        entry = Entry{};
    entry.lastUsedAt = now;
    return entry;
}

void PromptCrashRegistry::scheduleTrial(Entry &entry, TimePoint now)
{
    std::uniform_int_distribution<milliseconds::rep> spread(
            0, (kTrialSpreadPerDaemon * static_cast<milliseconds::rep>(daemons_)).count());
    entry.nextTrialAt = now + kTrialDelay * (entry.trials + 1) + milliseconds(spread(random_));
}

void PromptCrashRegistry::addCrashes(std::uint64_t part, Entry &entry, unsigned crashes,
                                     TimePoint now)
{
    const auto sinceLastCrash = now - entry.lastCrashAt;
    if (sinceLastCrash < kCrashInterval)
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
    logEvent(LogLevel::Warning, "prompt_part_blocked",
             { { "part", toHexadecimal(part) },
               { "crashes", static_cast<long long>(entry.crashes) } });
}

void PromptCrashRegistry::clear(std::uint64_t part, Entry &entry)
{
    if (isBlocked(entry))
        logEvent(LogLevel::Info, "prompt_part_unblocked",
                 { { "part", toHexadecimal(part) },
                   { "crashes", static_cast<long long>(entry.crashes) } });
    entry.crashes = 0;
    entry.trials = 0;
}

bool PromptCrashRegistry::isKnownSound(std::uint64_t part, TimePoint now) const
{
    const auto found = successes_.find(part);
    return found != successes_.end() && now - found->second.at <= kEntryLifetime;
}

PromptCrashRegistry::Parts PromptCrashRegistry::suspects(const Parts &parts, TimePoint now) const
{
    Parts unproven;
    Parts blocked;
    for (const std::uint64_t part : parts) {
        const auto found = entries_.find(part);
        if (found != entries_.end() && isBlocked(found->second))
            blocked.push_back(part);
        if (!isKnownSound(part, now))
            unproven.push_back(part);
    }
    // A blocked part explains the crash.
    if (!blocked.empty())
        return blocked;
    return unproven.empty() ? parts : unproven;
}

void PromptCrashRegistry::recordCrash(const Parts &parts, TimePoint now)
{
    for (const std::uint64_t part : suspects(parts, now)) {
        Entry &entry = entryOf(part, now);
        if (now - entry.lastCrashAt >= kCrashInterval) {
            ++entry.own.crashes;
            entry.ownChangedAt = now;
        }
        addCrashes(part, entry, 1, now);
    }
}

bool PromptCrashRegistry::recordSuccess(const Parts &parts, TimePoint now)
{
    bool unblocked = false;
    if (successes_.size() >= kMaxEntries) {
        std::erase_if(successes_, [now](const auto &item) {
            return now - item.second.at > kEntryLifetime / 2;
        });
    }
    for (const std::uint64_t part : parts) {
        successes_[part] = { .at = now };
        Entry *entry = find(part, now);
        // Without crashes there is nothing to clear, here or elsewhere. Reporting each success
        // would keep the entries of all popular parts in the heartbeats.
        if (!entry || (entry->crashes == 0 && entry->own.crashes == 0))
            continue;
        unblocked = unblocked || isBlocked(*entry);
        reportSuccess(part, *entry, now);
    }
    return unblocked;
}

void PromptCrashRegistry::reportSuccess(std::uint64_t part, Entry &entry, TimePoint now)
{
    entry.own = { .crashes = 0, .successes = ++successCount_ };
    entry.ownChangedAt = now;
    clear(part, entry);
}

void PromptCrashRegistry::mergePeer(const std::string &peer, const PromptCrashReport &report,
                                    TimePoint now)
{
    const Entry *known = find(report.part, now);
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
    Entry &entry = entryOf(report.part, now);
    if (isNews)
        entry.peers[peer] = { .crashes = report.crashes, .successes = report.successes };
    if (report.successes > previous.successes) {
        successes_[report.part] = { .at = now, .used = true };
        clear(report.part, entry);
        if (report.crashes > 0)
            addCrashes(report.part, entry, report.crashes, now);
    } else if (report.successes == previous.successes && report.crashes > previous.crashes) {
        addCrashes(report.part, entry, report.crashes - previous.crashes, now);
    }
    // A daemon that has missed the crashes, because it started later, blocks the part as the others
    // do, unless it knows of a success.
    if (isNewBlock && !isBlocked(entry))
        addCrashes(report.part, entry, kPromptCrashLimit + 1, now);
    if (entry.crashes > 0 && isKnownSound(report.part, now)
        && !std::exchange(successes_[report.part].used, true))
        reportSuccess(report.part, entry, now);
}

std::optional<std::uint64_t> PromptCrashRegistry::blockedPart(const Parts &parts, TimePoint now)
{
    std::optional<std::uint64_t> blocked;
    Entry *blockedEntry = nullptr;
    unsigned blockedCount = 0;
    for (const std::uint64_t part : parts) {
        Entry *entry = find(part, now);
        if (!entry || !isBlocked(*entry))
            continue;
        entry->lastUsedAt = now;
        blocked = part;
        blockedEntry = entry;
        ++blockedCount;
    }
    // With several blocked parts the result of a trial would tell nothing about each of them.
    const bool isTrial = blockedCount == 1 && blockedEntry->trials < kMaxTrials
                         && now >= blockedEntry->nextTrialAt;
    if (!isTrial)
        return blocked;
    scheduleTrial(*blockedEntry, now);
    return std::nullopt;
}

bool PromptCrashRegistry::wasBlockedSince(const Parts &parts, TimePoint since) const
{
    return std::any_of(parts.begin(), parts.end(), [&](std::uint64_t part) {
        const auto found = entries_.find(part);
        return found != entries_.end() && isBlocked(found->second)
               && found->second.blockedAt > since;
    });
}

std::vector<PromptCrashReport> PromptCrashRegistry::ownReports(std::size_t limit,
                                                               TimePoint now) const
{
    std::vector<std::pair<TimePoint, PromptCrashReport>> recent;
    for (const auto &[part, entry] : entries_) {
        const bool blocked = isBlocked(entry);
        const bool hasCounts = entry.own.crashes > 0 || entry.own.successes > 0;
        if ((hasCounts || blocked) && !isExpired(entry, now))
            recent.push_back({ entry.ownChangedAt,
                               { .part = part,
                                 .crashes = entry.own.crashes,
                                 .successes = entry.own.successes,
                                 .blocked = blocked } });
    }
    std::sort(recent.begin(), recent.end(), [](const auto &left, const auto &right) {
        return std::make_pair(left.second.blocked, left.first)
               > std::make_pair(right.second.blocked, right.first);
    });
    std::vector<PromptCrashReport> reports;
    for (std::size_t i = 0; i < std::min(limit, recent.size()); ++i)
        reports.push_back(recent[i].second);
    return reports;
}

std::size_t PromptCrashRegistry::blockedParts(TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(entries_.begin(), entries_.end(), [&](const auto &item) {
                return isBlocked(item.second) && !isExpired(item.second, now);
            }));
}

} // namespace auburn::routing
