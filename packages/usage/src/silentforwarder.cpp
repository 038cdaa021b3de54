#include "silentforwarder.h"

#include "reportsplitter.h"

#include <algorithm>
#include <utility>

namespace auburn::usage {

namespace {

// A holder closes the windows that were open when it took over within about 3 s. A new mirror gets
// the counts of the processes that were killed before their reports reached it.
constexpr std::chrono::seconds kForwardTime{ 5 };
// A process that has not reported for this time has probably ended, because it reports once a
// second; its VM may be live again with another process. A new holder closes windows 1.5 s after it
// took over, so the counts of a process that was killed just before must be forwarded until then.
constexpr std::chrono::milliseconds kSilence{ 1300 };
// For each receiver. A new holder closes windows 1.5 s after it took over, which is 15 ticks; the
// counts of a process are found by a search of the whole table.
constexpr std::size_t kMaxProcessesPerTick = 4;
// The receive buffer of a daemon holds about 100 datagrams.
constexpr std::size_t kMaxDatagramsPerTick = 32;

} // namespace

SilentForwarder::SilentForwarder(SendDatagram send)
    : send_(std::move(send))
{}

void SilentForwarder::setHolder(const duties::DutyHolder &holder, TimePoint now)
{
    if (holder.token <= holder_.token)
        return;
    holder_ = holder;
    holderReceiver_ = { .udpAddress = holder.udpAddress, .endsAt = now + kForwardTime };
    if (holder.released)
        skipHolder();
}

void SilentForwarder::setMirrors(const std::vector<MirrorProcess> &mirrors, TimePoint now)
{
    std::erase_if(mirrors_, [&mirrors](const auto &item) {
        return std::find(mirrors.begin(), mirrors.end(), item.first) == mirrors.end();
    });
    for (const MirrorProcess &mirror : mirrors)
        mirrors_.try_emplace(
                mirror, Receiver{ .udpAddress = mirror.udpAddress, .endsAt = now + kForwardTime });
}

void SilentForwarder::tick(const UsageTable &table, std::chrono::milliseconds unixTime,
                           TimePoint now)
{
    std::vector<Receiver *> receivers;
    if (now < holderReceiver_.endsAt)
        receivers.push_back(&holderReceiver_);
    for (auto &[process, receiver] : mirrors_) {
        if (now < receiver.endsAt)
            receivers.push_back(&receiver);
    }
    if (receivers.empty())
        return;
    const std::vector<UsageTable::Process> silent = table.processesSilentSince(unixTime - kSilence);
    for (Receiver *receiver : receivers)
        forwardNext(*receiver, table, silent);
}

void SilentForwarder::forwardNext(Receiver &receiver, const UsageTable &table,
                                  const std::vector<UsageTable::Process> &silent) const
{
    std::size_t processes = 0;
    std::size_t datagrams = 0;
    for (const UsageTable::Process &process : silent) {
        if (processes == kMaxProcessesPerTick || datagrams >= kMaxDatagramsPerTick)
            return;
        if (!receiver.forwarded.insert(process).second)
            continue;
        ++processes;
        datagrams += forward(receiver.udpAddress, table, process);
    }
}

std::size_t SilentForwarder::forward(const std::string &udpAddress, const UsageTable &table,
                                     const UsageTable::Process &process) const
{
    proto::UsageReport header;
    header.set_vm(process.first);
    header.set_incarnation(process.second);
    std::vector<proto::UsageReport> reports = splitReport(header, table.countsOf(process));
    proto::PeerDatagram datagram;
    for (proto::UsageReport &report : reports) {
        *datagram.mutable_usage_report() = std::move(report);
        send_(udpAddress, datagram);
    }
    return reports.size();
}

} // namespace auburn::usage
