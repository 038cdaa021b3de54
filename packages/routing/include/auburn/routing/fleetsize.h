// FleetSize estimates the number of daemons for the limits that they share without communication.
//
// Each daemon uses its part of such a limit, so an estimate that is too low breaks the limit. A
// daemon that is silent may be cut off and still use its part. The estimate therefore never
// decreases during the life of a process, and is unknown until the first report of a source that
// does not depend on which daemons are reachable now.
#pragma once

#include <algorithm>
#include <optional>

namespace auburn::routing {

class FleetSize
{
public:
    // Records the number of daemons that are registered in the store, or the estimate of another
    // daemon.
    void recordRegistered(unsigned daemons)
    {
        known_ = true;
        recordLive(daemons);
    }
    // Records the number of live daemons, this one included.
    void recordLive(unsigned daemons) { largest_ = std::max(largest_, daemons); }
    // Returns nullopt while the estimate is unknown.
    std::optional<unsigned> daemons() const
    {
        return known_ ? std::optional(largest_) : std::nullopt;
    }

private:
    bool known_ = false;
    unsigned largest_ = 1;
};

} // namespace auburn::routing
