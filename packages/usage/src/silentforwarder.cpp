#include "silentforwarder.h"

#include "reportsplitter.h"

#include <utility>
#include <vector>

namespace auburn::usage {

namespace {

// A holder closes the windows that were open when it took over within about 3 s.
constexpr std::chrono::seconds kForwardTime{ 5 };
// A process that has not reported for this time has probably ended, because it reports once a
// second; its VM may be live again with another process. A new holder closes windows 1.5 s after it
// took over, so the counts of a process that was killed just before must be forwarded until then.
constexpr std::chrono::milliseconds kSilence{ 1300 };

} // namespace

SilentForwarder::SilentForwarder(SendDatagram send)
    : send_(std::move(send))
{}

void SilentForwarder::setHolder(const duties::DutyHolder &holder, TimePoint now)
{
    if (holder.token <= holder_.token)
        return;
    holder_ = holder;
    endsAt_ = now + kForwardTime;
    forwarded_.clear();
}

void SilentForwarder::tick(const UsageTable &table, std::chrono::milliseconds unixTime,
                           TimePoint now)
{
    if (now >= endsAt_ || holder_.released)
        return;
    for (const UsageTable::Process &process : table.processesSilentSince(unixTime - kSilence)) {
        // One process a tick bounds the datagrams that are sent at once.
        if (forwarded_.insert(process).second && forward(table, process))
            return;
    }
}

bool SilentForwarder::forward(const UsageTable &table, const UsageTable::Process &process) const
{
    const std::vector<proto::UsageWindow> counts = table.countsOf(process);
    if (counts.empty())
        return false;
    proto::UsageReport header;
    header.set_vm(process.first);
    header.set_incarnation(process.second);
    proto::PeerDatagram datagram;
    for (proto::UsageReport &report : splitReport(header, counts)) {
        *datagram.mutable_usage_report() = std::move(report);
        send_(holder_.udpAddress, datagram);
    }
    return true;
}

} // namespace auburn::usage
