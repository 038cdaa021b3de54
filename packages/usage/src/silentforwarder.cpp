#include "silentforwarder.h"

#include "reportsplitter.h"

#include <chrono>
#include <string>
#include <unordered_set>
#include <utility>

namespace auburn::usage {

namespace {

// A holder closes the windows that were open when it took over within about 3 s.
constexpr std::chrono::seconds kForwardTime{ 5 };

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

void SilentForwarder::tick(const UsageTable &table, const std::vector<LiveDaemon> &live,
                           TimePoint now)
{
    if (now >= endsAt_ || holder_.released)
        return;
    std::unordered_set<std::string> liveVms;
    for (const LiveDaemon &daemon : live)
        liveVms.insert(daemon.vm);
    for (const UsageTable::Process &process : table.processes()) {
        if (!liveVms.contains(process.first) && forwarded_.insert(process).second) {
            forward(table, process);
            return;
        }
    }
}

void SilentForwarder::forward(const UsageTable &table, const UsageTable::Process &process) const
{
    proto::UsageReport header;
    header.set_vm(process.first);
    header.set_incarnation(process.second);
    proto::PeerDatagram datagram;
    for (proto::UsageReport &report : splitReport(header, table.countsOf(process))) {
        *datagram.mutable_usage_report() = std::move(report);
        send_(holder_.udpAddress, datagram);
    }
}

} // namespace auburn::usage
