// Which daemons of a failure domain read the platform's store, in a fleet in which not all need to.
//
// The daemons are ranked by their share of a processor, then by hash. The first two always read;
// each other one reads while fewer than two of those before it say that the store answers them. So
// a daemon that is cut off from the readers, or whose readers are cut off from the store, takes
// over without asking, and all agree again by themselves.
#pragma once

#include "auburn/peers/peertable.h"

#include <vector>

namespace auburn::peers {

struct ReaderDuty
{
    bool reads = true;
    // Reads although others would, if they could; such a daemon asks less often.
    bool standsIn = false;
    // Readers of a higher rank.
    unsigned readersAhead = 0;
};

// The duty of this daemon: peers are the live ones of its failure domain, readers those of them
// that say that the store answers them.
ReaderDuty readerDuty(const LivePeer &self, const std::vector<LivePeer> &peers,
                      const std::vector<LivePeer> &readers);

} // namespace auburn::peers
