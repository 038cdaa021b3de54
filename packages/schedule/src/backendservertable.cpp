#include "auburn/schedule/backendservertable.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace auburn {

namespace {

// Weight of the newest sample in the exponential moving averages.
constexpr double kMovingAverageWeight = 0.2;
// Minimum number of backend servers with enough samples for a median.
constexpr std::size_t kMinBackendServersForMedian = 3;
// Upper bound of the ratio to the median.
constexpr double kMaxSlowness = 16;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

void BackendServerTable::MovingAverage::add(std::chrono::microseconds sample)
{
    if (sample.count() <= 0)
        return;
    const auto sampleUs = static_cast<double>(sample.count());
    value = samples == 0 ? sampleUs : value + kMovingAverageWeight * (sampleUs - value);
    ++samples;
}

BackendServerTable::BackendServerTable(Options options)
    : options_(options)
{}

void BackendServerTable::configure(const std::vector<BackendServerSpec> &backendServers)
{
    for (Entry &entry : entries_)
        entry.configured = false;
    for (const BackendServerSpec &spec : backendServers) {
        const auto found = byName_.find(spec.name);
        const BackendServerId id = found == byName_.end() ? addEntry() : found->second;
        Entry &entry = entries_[id];
        // A new address means a new process, so the health recorded for the old one no longer
        // applies.
        if (entry.spec.address != spec.address)
            markHealthy(entry);
        entry.spec = spec;
        entry.configured = true;
        byName_[spec.name] = id;
    }
    for (BackendServerId id = 0; id < entries_.size(); ++id) {
        removeIfUnused(id);
        updateIndexes(id);
    }
}

std::optional<BackendServerTable::BackendServerId> BackendServerTable::find(
        const std::string &name) const
{
    const auto found = byName_.find(name);
    return found == byName_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<BackendServerTable::BackendServerId> BackendServerTable::choose(
        std::uint64_t prefixHash, const std::vector<std::string> &excluded, TimePoint now) const
{
    // A due probe goes first, because otherwise an ejected backend server would never return to a
    // busy cell. A retry is not used as a probe while healthy backend servers are free.
    const std::optional<BackendServerId> probe = dueProbe(excluded, now);
    if (probe && excluded.empty())
        return probe;
    const std::optional<BackendServerId> affinityChoice = backendServerWithPrefix(prefixHash);
    std::optional<BackendServerId> best;
    double bestScore = std::numeric_limits<double>::max();
    const std::size_t count = free_.size();
    for (std::size_t offset = 0; offset < count; ++offset) {
        const FreeBackendServer &candidate = free_[(scanStart_ + offset) % count];
        const double bonus = affinityChoice == candidate.id ? options_.affinityBonus : 0;
        if (candidate.score - bonus >= bestScore)
            continue;
        if (!excluded.empty() && contains(excluded, entries_[candidate.id].spec.name))
            continue;
        best = candidate.id;
        bestScore = candidate.score - bonus;
    }
    return best ? best : probe;
}

bool BackendServerTable::acquire(BackendServerId id, std::uint64_t prefixHash, TimePoint now)
{
    Entry &entry = entries_[id];
    ++scanStart_;
    adopt(id);
    recordAffinity(prefixHash, id);
    if (!entry.ejected)
        return false;
    entry.probing = true;
    entry.probeStartedAt = now;
    return true;
}

void BackendServerTable::adopt(BackendServerId id)
{
    Entry &entry = entries_[id];
    ++entry.inUse;
    entry.peak = std::max(entry.peak, entry.inUse);
    updateIndexes(id);
}

void BackendServerTable::release(BackendServerId id, bool probe, const SlotReport &report,
                                 TimePoint now)
{
    Entry &entry = entries_[id];
    assert(entry.inUse > 0);
    --entry.inUse;
    if (report.outcome == SlotOutcome::Completed || report.outcome == SlotOutcome::Cancelled) {
        entry.firstToken.add(report.firstToken);
        entry.tokenGap.add(report.tokenGap);
    }
    if (entry.ejected) {
        if (probe)
            recordProbeOutcome(entry, report, now);
    } else {
        recordOutcome(entry, report, now);
    }
    removeIfUnused(id);
    updateIndexes(id);
}

void BackendServerTable::reportLoad(const std::string &name, BackendServerLoad load, TimePoint now)
{
    const std::optional<BackendServerId> id = find(name);
    if (!id)
        return;
    Entry &entry = entries_[*id];
    // The data may be as old as the previous report, so the report may include everything granted
    // here in both periods.
    const unsigned own = std::max(entry.peak, entry.previousPeak);
    const unsigned reported = load.running + load.waiting;
    entry.externalLoad = reported - std::min(reported, own);
    entry.loadExpiresAt = now + options_.loadReportTtl;
    entry.previousPeak = entry.peak;
    entry.peak = entry.inUse;
    updateIndexes(*id);
}

void BackendServerTable::update(TimePoint now)
{
    const double firstToken = medianOf(&Entry::firstToken);
    const double tokenGap = medianOf(&Entry::tokenGap);
    for (BackendServerId id = 0; id < entries_.size(); ++id) {
        Entry &entry = entries_[id];
        if (entry.probing && now - entry.probeStartedAt >= options_.probeSuccessAfter)
            markHealthy(entry);
        double ratio = 1;
        if (firstToken > 0 && entry.firstToken.samples >= options_.minSamples)
            ratio = std::max(ratio, entry.firstToken.value / firstToken);
        if (tokenGap > 0 && entry.tokenGap.samples >= options_.minSamples)
            ratio = std::max(ratio, entry.tokenGap.value / tokenGap);
        entry.slowness = ratio < options_.stragglerRatio ? 1 : std::min(ratio, kMaxSlowness);
        if (now >= entry.loadExpiresAt)
            entry.externalLoad = 0;
        updateIndexes(id);
    }
}

bool BackendServerTable::hasFreeSlot(TimePoint now) const
{
    return !free_.empty() || dueProbe({}, now).has_value();
}

std::optional<BackendServerTable::TimePoint> BackendServerTable::earliestAvailable(
        const std::vector<std::string> &excluded, TimePoint now) const
{
    if (excluded.empty() && healthyCount_ > 0)
        return now;
    std::optional<TimePoint> earliest;
    for (const Entry &entry : entries_) {
        if (!acceptsRequests(entry) || contains(excluded, entry.spec.name))
            continue;
        const bool waits = entry.ejected && !entry.probing;
        const TimePoint from = waits ? std::max(now, entry.ejectedUntil) : now;
        earliest = earliest ? std::min(*earliest, from) : from;
    }
    return earliest;
}

unsigned BackendServerTable::freeSlots() const
{
    unsigned total = 0;
    for (const FreeBackendServer &backendServer : free_)
        total += slotLimit(entries_[backendServer.id]) - entries_[backendServer.id].inUse;
    return total;
}

unsigned BackendServerTable::totalSlots() const
{
    unsigned total = 0;
    for (const Entry &entry : entries_) {
        if (acceptsRequests(entry) && !entry.ejected)
            total += entry.spec.slots;
    }
    return total;
}

bool BackendServerTable::acceptsRequests(const Entry &entry)
{
    return entry.present && entry.configured && entry.spec.accepting;
}

unsigned BackendServerTable::slotLimit(const Entry &entry) const
{
    if (entry.slowness <= 1)
        return entry.spec.slots;
    // A straggler keeps one slot, so that it is still measured and can recover its share.
    const auto reduced = static_cast<unsigned>(entry.spec.slots / entry.slowness);
    return std::min(entry.spec.slots, std::max(1U, reduced));
}

bool BackendServerTable::isHealthyAndFree(const Entry &entry) const
{
    return acceptsRequests(entry) && !entry.ejected && entry.inUse < slotLimit(entry);
}

bool BackendServerTable::isProbeDue(const Entry &entry, TimePoint now) const
{
    return !entry.probing && now >= entry.ejectedUntil && entry.inUse < slotLimit(entry);
}

std::optional<BackendServerTable::BackendServerId> BackendServerTable::dueProbe(
        const std::vector<std::string> &excluded, TimePoint now) const
{
    for (const BackendServerId id : ejected_) {
        if (isProbeDue(entries_[id], now) && !contains(excluded, entries_[id].spec.name))
            return id;
    }
    return std::nullopt;
}

double BackendServerTable::score(const Entry &entry)
{
    const double load = entry.inUse + entry.externalLoad + 1;
    return load / entry.spec.slots * entry.slowness;
}

// Updates free_, ejected_ and healthyCount_ after a change of an entry.
void BackendServerTable::updateIndexes(BackendServerId id)
{
    Entry &entry = entries_[id];
    const bool healthy = acceptsRequests(entry) && !entry.ejected;
    if (healthy != entry.countedHealthy) {
        healthyCount_ = healthy ? healthyCount_ + 1 : healthyCount_ - 1;
        entry.countedHealthy = healthy;
    }
    if (acceptsRequests(entry) && entry.ejected)
        ejected_.insert(id);
    else if (!ejected_.empty())
        ejected_.erase(id);

    if (!isHealthyAndFree(entry)) {
        removeFree(entry);
        return;
    }
    if (entry.freeIndex == kNotFree) {
        entry.freeIndex = free_.size();
        free_.push_back(FreeBackendServer{ .id = id });
    }
    free_[entry.freeIndex].score = score(entry);
}

void BackendServerTable::removeFree(Entry &entry)
{
    if (entry.freeIndex == kNotFree)
        return;
    free_[entry.freeIndex] = free_.back();
    entries_[free_.back().id].freeIndex = entry.freeIndex;
    free_.pop_back();
    entry.freeIndex = kNotFree;
}

std::optional<BackendServerTable::BackendServerId> BackendServerTable::backendServerWithPrefix(
        std::uint64_t prefixHash) const
{
    const auto found = affinityByHash_.find(prefixHash);
    return found == affinityByHash_.end() ? std::nullopt : std::optional(found->second->second);
}

void BackendServerTable::recordAffinity(std::uint64_t prefixHash, BackendServerId id)
{
    if (prefixHash == 0 || options_.affinityCapacity == 0)
        return;
    const auto found = affinityByHash_.find(prefixHash);
    if (found != affinityByHash_.end()) {
        found->second->second = id;
        affinity_.splice(affinity_.begin(), affinity_, found->second);
        return;
    }
    if (affinity_.size() >= options_.affinityCapacity) {
        affinityByHash_.erase(affinity_.back().first);
        affinity_.pop_back();
    }
    affinity_.emplace_front(prefixHash, id);
    affinityByHash_[prefixHash] = affinity_.begin();
}

void BackendServerTable::eject(Entry &entry, TimePoint now)
{
    const auto doubled = std::max(options_.initialBackoff, 2 * entry.backoff);
    entry.backoff = std::min(doubled, options_.maxBackoff);
    entry.ejected = true;
    entry.probing = false;
    entry.ejectedUntil = now + entry.backoff;
}

void BackendServerTable::markHealthy(Entry &entry)
{
    entry.ejected = false;
    entry.probing = false;
    entry.failures = 0;
    entry.backoff = {};
}

void BackendServerTable::recordProbeOutcome(Entry &entry, const SlotReport &report, TimePoint now)
{
    const bool answered = report.outcome == SlotOutcome::Completed
                          || (report.outcome == SlotOutcome::Cancelled
                              && report.firstToken.count() > 0);
    const bool failed = report.outcome == SlotOutcome::Failed
                        || report.outcome == SlotOutcome::BackendServerUnreachable;
    if (answered)
        markHealthy(entry);
    else if (failed)
        eject(entry, now);
    else
        entry.probing = false;
}

void BackendServerTable::recordOutcome(Entry &entry, const SlotReport &report, TimePoint now)
{
    switch (report.outcome) {
    case SlotOutcome::Completed:
        entry.failures = 0;
        break;
    case SlotOutcome::Failed:
        if (++entry.failures >= options_.maxFailures)
            eject(entry, now);
        break;
    case SlotOutcome::BackendServerUnreachable:
        eject(entry, now);
        break;
    case SlotOutcome::Cancelled:
    case SlotOutcome::Unused:
        break;
    }
}

double BackendServerTable::medianOf(MovingAverage Entry::*average) const
{
    std::vector<double> values;
    for (const Entry &entry : entries_) {
        if (acceptsRequests(entry) && (entry.*average).samples >= options_.minSamples)
            values.push_back((entry.*average).value);
    }
    if (values.size() < kMinBackendServersForMedian)
        return 0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

BackendServerTable::BackendServerId BackendServerTable::addEntry()
{
    const auto vacant = std::find_if(entries_.begin(), entries_.end(),
                                     [](const Entry &entry) { return !entry.present; });
    const auto id = static_cast<BackendServerId>(vacant - entries_.begin());
    if (vacant == entries_.end())
        entries_.emplace_back();
    assert(entries_[id].freeIndex == kNotFree && !entries_[id].countedHealthy);
    entries_[id] = Entry{};
    entries_[id].present = true;
    return id;
}

void BackendServerTable::removeIfUnused(BackendServerId id)
{
    Entry &entry = entries_[id];
    if (!entry.present || entry.configured || entry.inUse > 0)
        return;
    byName_.erase(entry.spec.name);
    entry.present = false;
}

} // namespace auburn
