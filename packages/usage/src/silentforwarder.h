// SilentForwarder passes the counts of silent daemon processes on to a new holder.
//
// A daemon that was killed together with the holder cannot report its counts again; its mirrors
// can.
#pragma once

#include "usagetable.h"

#include "auburn/core/bootclock.h"
#include "auburn/duties/dutyholder.h"
#include "auburn/usage/usagereporter.h"

#include <chrono>
#include <set>

namespace auburn::usage {

class SilentForwarder
{
public:
    using TimePoint = BootClock::time_point;

    explicit SilentForwarder(SendDatagram send);

    // Starts forwarding to a holder with a newer token.
    void setHolder(const duties::DutyHolder &holder, TimePoint now);
    // Forwards the counts of at most one silent process.
    void tick(const UsageTable &table, std::chrono::milliseconds unixTime, TimePoint now);

private:
    // Returns false if there is nothing to forward.
    bool forward(const UsageTable &table, const UsageTable::Process &process) const;

    const SendDatagram send_;
    duties::DutyHolder holder_;
    TimePoint endsAt_;
    std::set<UsageTable::Process> forwarded_;
};

} // namespace auburn::usage
