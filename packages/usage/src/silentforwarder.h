// SilentForwarder passes the counts of silent daemon processes on to a new holder and to new
// mirrors of this daemon.
//
// A daemon that was killed cannot report its counts again. If the holder was killed together with
// it, its mirrors pass its counts on to the next one. A process that replaces one of this daemon's
// mirrors gets them as well, so that replacing the daemons one after another loses nothing.
#pragma once

#include "usagetable.h"

#include "auburn/core/bootclock.h"
#include "auburn/duties/dutyholder.h"
#include "auburn/usage/usagereporter.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace auburn::usage {

class SilentForwarder
{
public:
    using TimePoint = BootClock::time_point;

    explicit SilentForwarder(SendDatagram send);

    // Starts forwarding to a holder with a newer token.
    void setHolder(const duties::DutyHolder &holder, TimePoint now);
    // Stops forwarding to the holder, because it is this daemon.
    void skipHolder() { holderReceiver_.endsAt = {}; }
    // Starts forwarding to the mirrors that were not among those of the last call.
    void setMirrors(const std::vector<MirrorProcess> &mirrors, TimePoint now);
    // Forwards the counts of some silent processes to each receiver.
    void tick(const UsageTable &table, std::chrono::milliseconds unixTime, TimePoint now);

private:
    struct Receiver
    {
        std::string udpAddress;
        TimePoint endsAt;
        std::set<UsageTable::Process> forwarded;
    };

    // Forwards the counts of the first of these processes that were not forwarded yet.
    void forwardNext(Receiver &receiver, const UsageTable &table,
                     const std::vector<UsageTable::Process> &silent) const;
    // Returns the number of datagrams.
    std::size_t forward(const std::string &udpAddress, const UsageTable &table,
                        const UsageTable::Process &process) const;

    const SendDatagram send_;
    duties::DutyHolder holder_;
    Receiver holderReceiver_;
    std::map<MirrorProcess, Receiver> mirrors_;
};

} // namespace auburn::usage
