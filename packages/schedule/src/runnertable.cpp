#include "auburn/schedule/runnertable.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace auburn {

namespace {

constexpr double kAverageWeight = 0.2;
// Runners with enough samples that are needed for a median.
constexpr std::size_t kMinJudged = 3;
constexpr double kMaxSlowness = 16;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

void RunnerTable::Average::add(std::chrono::microseconds sample)
{
    if (sample.count() <= 0)
        return;
    const auto micros = static_cast<double>(sample.count());
    value = samples == 0 ? micros : value + kAverageWeight * (micros - value);
    ++samples;
}

RunnerTable::RunnerTable(Options options)
    : options_(options)
{}

void RunnerTable::configure(const std::vector<RunnerSpec> &runners)
{
    for (Entry &entry : entries_)
        entry.configured = false;
    for (const RunnerSpec &spec : runners) {
        const auto found = byName_.find(spec.name);
        const RunnerId id = found == byName_.end() ? addEntry() : found->second;
        Entry &entry = entries_[id];
        // A runner at a new address is a new process; what was learned about the old one is void.
        if (entry.spec.address != spec.address)
            markHealthy(entry);
        entry.spec = spec;
        entry.configured = true;
        byName_[spec.name] = id;
    }
    for (RunnerId id = 0; id < entries_.size(); ++id) {
        dropIfUnused(id);
        refresh(id);
    }
}

std::optional<RunnerTable::RunnerId> RunnerTable::find(const std::string &name) const
{
    const auto found = byName_.find(name);
    return found == byName_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<RunnerTable::RunnerId> RunnerTable::choose(std::uint64_t prefixHash,
                                                         const std::vector<std::string> &excluded,
                                                         TimePoint now) const
{
    // A due probe goes first, or a busy pool would never get its runner back; a request that has
    // failed before is not used for it while healthy runners are free.
    const std::optional<RunnerId> probe = dueProbe(excluded, now);
    if (probe && excluded.empty())
        return probe;
    const std::optional<RunnerId> withPrefix = affine(prefixHash);
    std::optional<RunnerId> best;
    double bestScore = std::numeric_limits<double>::max();
    const std::size_t count = free_.size();
    for (std::size_t step = 0; step < count; ++step) {
        const FreeRunner &candidate = free_[(nextStart_ + step) % count];
        const double bonus = withPrefix == candidate.id ? options_.affinityBonus : 0;
        if (candidate.score - bonus >= bestScore)
            continue;
        if (!excluded.empty() && contains(excluded, entries_[candidate.id].spec.name))
            continue;
        best = candidate.id;
        bestScore = candidate.score - bonus;
    }
    return best ? best : probe;
}

bool RunnerTable::acquire(RunnerId id, std::uint64_t prefixHash, TimePoint now)
{
    Entry &entry = entries_[id];
    ++nextStart_;
    adopt(id);
    remember(prefixHash, id);
    if (!entry.setAside)
        return false;
    entry.probing = true;
    entry.probeStarted = now;
    return true;
}

void RunnerTable::adopt(RunnerId id)
{
    Entry &entry = entries_[id];
    ++entry.inUse;
    entry.peak = std::max(entry.peak, entry.inUse);
    refresh(id);
}

void RunnerTable::release(RunnerId id, bool probe, const SlotReport &report, TimePoint now)
{
    Entry &entry = entries_[id];
    assert(entry.inUse > 0);
    --entry.inUse;
    if (report.outcome == SlotOutcome::Completed || report.outcome == SlotOutcome::Cancelled) {
        entry.firstToken.add(report.firstToken);
        entry.tokenGap.add(report.tokenGap);
    }
    if (entry.setAside) {
        if (probe)
            judgeProbe(entry, report, now);
    } else {
        judge(entry, report, now);
    }
    dropIfUnused(id);
    refresh(id);
}

void RunnerTable::reportLoad(const std::string &name, RunnerLoad load, TimePoint now)
{
    const std::optional<RunnerId> id = find(name);
    if (!id)
        return;
    Entry &entry = entries_[*id];
    // The report may be as old as the previous one, so everything granted here in both periods may
    // be in it.
    const unsigned own = std::max(entry.peak, entry.previousPeak);
    const unsigned reported = load.running + load.waiting;
    entry.foreignLoad = reported - std::min(reported, own);
    entry.loadExpires = now + options_.loadLifetime;
    entry.previousPeak = entry.peak;
    entry.peak = entry.inUse;
    refresh(*id);
}

void RunnerTable::update(TimePoint now)
{
    const double firstToken = medianOf(&Entry::firstToken);
    const double tokenGap = medianOf(&Entry::tokenGap);
    for (RunnerId id = 0; id < entries_.size(); ++id) {
        Entry &entry = entries_[id];
        if (entry.probing && now - entry.probeStarted >= options_.probePasses)
            markHealthy(entry);
        double ratio = 1;
        if (firstToken > 0 && entry.firstToken.samples >= options_.minSamples)
            ratio = std::max(ratio, entry.firstToken.value / firstToken);
        if (tokenGap > 0 && entry.tokenGap.samples >= options_.minSamples)
            ratio = std::max(ratio, entry.tokenGap.value / tokenGap);
        entry.slowness = ratio < options_.stragglerRatio ? 1 : std::min(ratio, kMaxSlowness);
        if (now >= entry.loadExpires)
            entry.foreignLoad = 0;
        refresh(id);
    }
}

bool RunnerTable::hasFreeSlot(TimePoint now) const
{
    return !free_.empty() || dueProbe({}, now).has_value();
}

std::optional<RunnerTable::TimePoint> RunnerTable::usableFrom(
        const std::vector<std::string> &excluded, TimePoint now) const
{
    if (excluded.empty() && healthy_ > 0)
        return now;
    std::optional<TimePoint> earliest;
    for (const Entry &entry : entries_) {
        if (!accepts(entry) || contains(excluded, entry.spec.name))
            continue;
        const bool waits = entry.setAside && !entry.probing;
        const TimePoint from = waits ? std::max(now, entry.setAsideUntil) : now;
        earliest = earliest ? std::min(*earliest, from) : from;
    }
    return earliest;
}

unsigned RunnerTable::freeSlots() const
{
    unsigned total = 0;
    for (const FreeRunner &runner : free_)
        total += limit(entries_[runner.id]) - entries_[runner.id].inUse;
    return total;
}

unsigned RunnerTable::totalSlots() const
{
    unsigned total = 0;
    for (const Entry &entry : entries_) {
        if (accepts(entry) && !entry.setAside)
            total += entry.spec.slots;
    }
    return total;
}

bool RunnerTable::accepts(const Entry &entry)
{
    return entry.present && entry.configured && entry.spec.accepting;
}

unsigned RunnerTable::limit(const Entry &entry) const
{
    if (entry.slowness <= 1)
        return entry.spec.slots;
    // One slot keeps a straggler measured, so that it gets its share back.
    const auto reduced = static_cast<unsigned>(entry.spec.slots / entry.slowness);
    return std::min(entry.spec.slots, std::max(1U, reduced));
}

bool RunnerTable::isHealthyAndFree(const Entry &entry) const
{
    return accepts(entry) && !entry.setAside && entry.inUse < limit(entry);
}

bool RunnerTable::isProbeDue(const Entry &entry, TimePoint now) const
{
    return !entry.probing && now >= entry.setAsideUntil && entry.inUse < limit(entry);
}

std::optional<RunnerTable::RunnerId> RunnerTable::dueProbe(const std::vector<std::string> &excluded,
                                                           TimePoint now) const
{
    for (const RunnerId id : aside_) {
        if (isProbeDue(entries_[id], now) && !contains(excluded, entries_[id].spec.name))
            return id;
    }
    return std::nullopt;
}

double RunnerTable::score(const Entry &entry)
{
    const double load = entry.inUse + entry.foreignLoad + 1;
    return load / entry.spec.slots * entry.slowness;
}

// Brings free_, aside_ and healthy_ in line with an entry that has changed.
void RunnerTable::refresh(RunnerId id)
{
    Entry &entry = entries_[id];
    const bool healthy = accepts(entry) && !entry.setAside;
    if (healthy != entry.countedHealthy) {
        healthy_ = healthy ? healthy_ + 1 : healthy_ - 1;
        entry.countedHealthy = healthy;
    }
    if (accepts(entry) && entry.setAside)
        aside_.insert(id);
    else if (!aside_.empty())
        aside_.erase(id);

    if (!isHealthyAndFree(entry)) {
        removeFree(entry);
        return;
    }
    if (entry.freeIndex == kNotFree) {
        entry.freeIndex = free_.size();
        free_.push_back(FreeRunner{ .id = id });
    }
    free_[entry.freeIndex].score = score(entry);
}

void RunnerTable::removeFree(Entry &entry)
{
    if (entry.freeIndex == kNotFree)
        return;
    free_[entry.freeIndex] = free_.back();
    entries_[free_.back().id].freeIndex = entry.freeIndex;
    free_.pop_back();
    entry.freeIndex = kNotFree;
}

std::optional<RunnerTable::RunnerId> RunnerTable::affine(std::uint64_t prefixHash) const
{
    const auto found = affinityByHash_.find(prefixHash);
    return found == affinityByHash_.end() ? std::nullopt : std::optional(found->second->second);
}

void RunnerTable::remember(std::uint64_t prefixHash, RunnerId id)
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

void RunnerTable::setAside(Entry &entry, TimePoint now)
{
    const auto doubled = std::max(options_.firstBackOff, 2 * entry.backOff);
    entry.backOff = std::min(doubled, options_.maxBackOff);
    entry.setAside = true;
    entry.probing = false;
    entry.setAsideUntil = now + entry.backOff;
}

void RunnerTable::markHealthy(Entry &entry)
{
    entry.setAside = false;
    entry.probing = false;
    entry.failures = 0;
    entry.backOff = {};
}

void RunnerTable::judgeProbe(Entry &entry, const SlotReport &report, TimePoint now)
{
    const bool answered = report.outcome == SlotOutcome::Completed
                          || (report.outcome == SlotOutcome::Cancelled
                              && report.firstToken.count() > 0);
    const bool failed = report.outcome == SlotOutcome::Failed
                        || report.outcome == SlotOutcome::RunnerUnreachable;
    if (answered)
        markHealthy(entry);
    else if (failed)
        setAside(entry, now);
    else
        entry.probing = false;
}

void RunnerTable::judge(Entry &entry, const SlotReport &report, TimePoint now)
{
    switch (report.outcome) {
    case SlotOutcome::Completed:
        entry.failures = 0;
        break;
    case SlotOutcome::Failed:
        if (++entry.failures >= options_.maxFailures)
            setAside(entry, now);
        break;
    case SlotOutcome::RunnerUnreachable:
        setAside(entry, now);
        break;
    case SlotOutcome::Cancelled:
    case SlotOutcome::Unused:
        break;
    }
}

double RunnerTable::medianOf(Average Entry::*average) const
{
    std::vector<double> values;
    for (const Entry &entry : entries_) {
        if (accepts(entry) && (entry.*average).samples >= options_.minSamples)
            values.push_back((entry.*average).value);
    }
    if (values.size() < kMinJudged)
        return 0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

RunnerTable::RunnerId RunnerTable::addEntry()
{
    const auto vacant = std::find_if(entries_.begin(), entries_.end(),
                                     [](const Entry &entry) { return !entry.present; });
    const auto id = static_cast<RunnerId>(vacant - entries_.begin());
    if (vacant == entries_.end())
        entries_.emplace_back();
    assert(entries_[id].freeIndex == kNotFree && !entries_[id].countedHealthy);
    entries_[id] = Entry{};
    entries_[id].present = true;
    return id;
}

void RunnerTable::dropIfUnused(RunnerId id)
{
    Entry &entry = entries_[id];
    if (!entry.present || entry.configured || entry.inUse > 0)
        return;
    byName_.erase(entry.spec.name);
    entry.present = false;
}

} // namespace auburn
