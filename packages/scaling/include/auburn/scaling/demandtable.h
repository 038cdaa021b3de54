// DemandTable merges the demand reports of all daemons at the holder of the duties.
//
// The load of a service is the highest sum over all daemons within the last 15 s, so that a shorter
// lull, or the low of a wave with a period of about 11 s, takes no servers away.
#pragma once

#include "auburn.pb.h"
#include "auburn/scaling/fleetstate.h"
#include "auburn/scaling/slidingmaximum.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace auburn::scaling {

class DemandTable
{
public:
    // Stores the report if it is newer than the stored one of its daemon and part.
    void record(const proto::DemandReport &report, TimePoint now);
    // Drops old reports and adds the current sums to the observed loads. To be called several times
    // a second.
    void update(TimePoint now);

    ServiceLoad load(const std::string &service) const;
    // Number of daemons with a recent report, as of the last update.
    unsigned reportingDaemons() const { return reportingDaemons_; }
    // Returns true if nearly all of the live daemons have reported recently.
    bool isComplete(unsigned liveDaemons) const;

private:
    struct Entry
    {
        proto::DemandReport report;
        TimePoint at;
    };
    struct Peak
    {
        SlidingMaximum inProgress;
        SlidingMaximum tokensPerSecond;
    };

    // By VM and part.
    std::map<std::pair<std::string, std::uint32_t>, Entry> reports_;
    unsigned reportingDaemons_ = 0;
    // By service.
    std::map<std::string, Peak> peaks_;
};

} // namespace auburn::scaling
