// Which daemons of a failure domain read the platform's store, and when.
//
// The daemons are ranked by their share of a processor, then by hash. The first two always read;
// each other one reads while fewer than two of those before it say that the store answers them. So
// a daemon that is cut off from the readers, or whose readers are cut off from the store, takes
// over without asking, and all agree again by themselves. The calls to the store follow what
// happens and not the number of daemons: a daemon that starts first looks for others, and while the
// store is away the lower ranks ask less often.
#pragma once

#include "auburn/peers/peertable.h"

#include <chrono>
#include <vector>

namespace auburn::peers {

struct StoreReaderRole
{
    bool reads = true;
    // Reads although others would, if they could.
    bool isBackup = false;
    // Readers of a higher rank.
    unsigned higherRankedReaders = 0;
    // Pause after a call that the store did not answer.
    std::chrono::milliseconds retryDelay{ 400 };
};

// The duty of this daemon: peers are the live ones of its failure domain, readers those of them
// that say that the store answers them.
StoreReaderRole storeReaderRole(const PeerInfo &self, const std::vector<PeerInfo> &peers,
                                const std::vector<PeerInfo> &readers);

// What a daemon that has not read the store yet knows.
struct StartupState
{
    std::chrono::milliseconds sinceStart{ 0 };
    // The system starts for the first time, so callers do not wait yet.
    bool firstStart = false;
    bool largeFleet = false;
    // A configuration and backend servers, from another daemon.
    bool hasDocuments = false;
};

// True once the daemon has looked for others for long enough to know that its duty is to read.
bool mayStartReading(const StartupState &start, const StoreReaderRole &duty);

} // namespace auburn::peers
