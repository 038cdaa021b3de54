#include "auburn/usage/usagereporter.h"

#include "reportsplitter.h"

#include "auburn/core/hash.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace auburn::usage {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kCompleteInterval{ 1000 };
// Time after the full second, and thus after the end of a window, at which complete reports begin:
// requests that have just begun are counted by then.
constexpr milliseconds kCompleteDelay{ 100 };
// The complete reports of a fleet are spread over 1 ms for each daemon, up to this time, so that
// they do not overflow the holder's receive buffer.
constexpr milliseconds kMaxSpread{ 800 };
// Changes are sent at this interval, or less often in fleets so large that the holder would receive
// more than about 700 of these reports a second; in the largest only with the complete reports.
constexpr milliseconds kChangesInterval{ 100 };
constexpr microseconds kChangesIntervalPerDaemon{ 1500 };
// Datagrams sent in one tick, so that they do not overflow the holder's receive buffer. 21,000
// organisations in one window are about 300 datagrams.
constexpr std::size_t kMaxDatagramsPerTick = 32;
// Reports also go to this number of mirrors. In large fleets a third one would exceed the bandwidth
// of 14 KB/s that a daemon may use for control traffic.
constexpr std::size_t kMirrors = 3;
constexpr std::size_t kLargeFleetMirrors = 2;
constexpr std::size_t kLargeFleet = 13;
// A mirror acknowledges once a second.
constexpr unsigned kMaxAcksSkipped = 32;

} // namespace

UsageReporter::UsageReporter(Options options, const FleetClock &clock, UsageLedger &ledger)
    : options_(std::move(options))
    , clock_(clock)
    , ledger_(ledger)
{}

void UsageReporter::setHolder(const duties::DutyHolder &holder)
{
    if (holder.token < holder_.token)
        return;
    if (holder.token > holder_.token || holder.udpAddress != holder_.udpAddress) {
        isReceiverNew_ = true;
        queue_.clear();
    }
    holder_ = holder;
}

void UsageReporter::handleAck(const proto::UsageAck &ack, const std::string &sender)
{
    // A window that any holder has closed has a final figure, whatever the token of that holder.
    ledger_.closeThrough(ack.closed_through());
    if (ack.incarnation() != options_.incarnation)
        return;
    if (ack.token() > 0 && ack.token() == holder_.token)
        ledger_.acknowledge(ack.number());
    const auto mirror = std::find_if(mirrors_.begin(), mirrors_.end(), [&](const Mirror &known) {
        return known.udpAddress == sender;
    });
    if (mirror != mirrors_.end())
        handleMirrorAck(ack, *mirror);
}

void UsageReporter::handleMirrorAck(const proto::UsageAck &ack, Mirror &mirror)
{
    if (std::exchange(mirror.incarnation, ack.receiver_incarnation()) != ack.receiver_incarnation())
        mirror.acksToSkip = 0;
    if (ack.number() == fullReport_)
        mirror.completeIncarnation = ack.receiver_incarnation();
    if (ack.receiver_incarnation() == mirror.completeIncarnation) {
        mirror.acksToSkip = 0;
        mirror.nextSkip = 1;
        return;
    }
    if (ack.number() <= fullReport_)
        return;
    if (mirror.acksToSkip > 0) {
        --mirror.acksToSkip;
        return;
    }
    isReceiverNew_ = true;
    mirror.acksToSkip = mirror.nextSkip;
    mirror.nextSkip = std::min(2 * mirror.nextSkip, kMaxAcksSkipped);
}

std::vector<MirrorProcess> UsageReporter::mirrors() const
{
    std::vector<MirrorProcess> processes;
    for (const Mirror &mirror : mirrors_) {
        if (mirror.incarnation != 0)
            processes.push_back({ mirror.udpAddress, mirror.incarnation });
    }
    return processes;
}

void UsageReporter::tick(TimePoint now, const std::vector<LiveDaemon> &live)
{
    const milliseconds unixTime = clock_.unixTime(now);
    ledger_.dropExpired(unixTime);
    if (queue_.empty()) {
        const bool isDue = takeCompleteReportDue(unixTime, live.size());
        if (isDue && chooseMirrors(live))
            isReceiverNew_ = true;
        if (std::exchange(isReceiverNew_, false))
            queueCompleteReport(UsageLedger::Scope::Everything, unixTime);
        else if (isDue)
            queueCompleteReport(UsageLedger::Scope::Unacknowledged, unixTime);
        else if (now >= nextChangesAt_)
            queueChanges(unixTime);
        if (!queue_.empty())
            nextChangesAt_ = now
                             + std::max<microseconds>(kChangesInterval,
                                                      kChangesIntervalPerDaemon * live.size());
    }
    sendQueued(kMaxDatagramsPerTick);
}

void UsageReporter::flush(TimePoint now)
{
    queue_.clear();
    queueCompleteReport(UsageLedger::Scope::Everything, clock_.unixTime(now));
    sendQueued(std::numeric_limits<std::size_t>::max());
}

bool UsageReporter::takeCompleteReportDue(milliseconds unixTime, std::size_t liveDaemons)
{
    const milliseconds spread = std::min(kMaxSpread, milliseconds(liveDaemons));
    const milliseconds share = spread * (stableHash(options_.vm) % 1000) / 1000;
    const std::int64_t second = (unixTime - kCompleteDelay - share) / kCompleteInterval;
    return std::exchange(lastCompleteSecond_, second) != second;
}

bool UsageReporter::chooseMirrors(const std::vector<LiveDaemon> &live)
{
    const std::vector<std::string> addresses = selectMirrors(live);
    const auto hasAddress = [](const Mirror &mirror, const std::string &address) {
        return mirror.udpAddress == address;
    };
    if (std::equal(mirrors_.begin(), mirrors_.end(), addresses.begin(), addresses.end(),
                   hasAddress))
        return false;
    mirrors_.clear();
    for (const std::string &address : addresses)
        mirrors_.push_back({ .udpAddress = address });
    return true;
}

std::vector<std::string> UsageReporter::selectMirrors(const std::vector<LiveDaemon> &live) const
{
    // Rendezvous hashing, so that few daemons change their mirrors when one comes or goes. Daemons
    // of this failure domain come last, because they may be killed together with this one.
    using Rank = std::pair<bool, std::uint64_t>;
    std::vector<std::pair<Rank, const LiveDaemon *>> candidates;
    const std::uint64_t seed = stableHash(options_.vm);
    for (const LiveDaemon &daemon : live) {
        const Rank rank(daemon.failureDomain == options_.failureDomain,
                        stableHash(daemon.vm, seed));
        if (daemon.vm != options_.vm && daemon.udpAddress != holder_.udpAddress)
            candidates.emplace_back(rank, &daemon);
    }
    const std::size_t count = std::min(live.size() > kLargeFleet ? kLargeFleetMirrors : kMirrors,
                                       candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end());
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < count; ++i)
        addresses.push_back(candidates[i].second->udpAddress);
    std::sort(addresses.begin(), addresses.end());
    return addresses;
}

std::vector<proto::UsageReport> UsageReporter::makeReports(UsageLedger::Scope scope,
                                                           milliseconds unixTime)
{
    proto::UsageReport header;
    header.set_vm(options_.vm);
    header.set_incarnation(options_.incarnation);
    header.set_closed_through(closedThrough_);
    header.set_fleet_ms(static_cast<std::uint64_t>(unixTime.count()));
    const UsageLedger::Report report = ledger_.takeReport(scope);
    header.set_number(report.number);
    if (scope == UsageLedger::Scope::Everything)
        fullReport_ = report.number;
    return splitReport(header, report.windows);
}

void UsageReporter::queueChanges(milliseconds unixTime)
{
    std::vector<proto::UsageReport> reports = makeReports(UsageLedger::Scope::Changes, unixTime);
    if (reports.front().windows_size() > 0)
        std::move(reports.begin(), reports.end(), std::back_inserter(queue_));
}

void UsageReporter::queueCompleteReport(UsageLedger::Scope scope, milliseconds unixTime)
{
    std::vector<proto::UsageReport> reports = makeReports(scope, unixTime);
    std::uint32_t part = 0;
    for (proto::UsageReport &report : reports) {
        report.set_part(++part);
        report.set_parts(static_cast<std::uint32_t>(reports.size()));
        queue_.push_back(std::move(report));
    }
}

void UsageReporter::sendQueued(std::size_t limit)
{
    proto::PeerDatagram datagram;
    for (; limit > 0 && !queue_.empty(); --limit) {
        *datagram.mutable_usage_report() = std::move(queue_.front());
        queue_.pop_front();
        if (hasHolder())
            options_.send(holder_.udpAddress, datagram);
        for (const Mirror &mirror : mirrors_)
            options_.send(mirror.udpAddress, datagram);
    }
}

} // namespace auburn::usage
