// Decides which daemons of a failure domain read the platform's store, and when.
//
// The daemons are ranked by their CPU share, then by a hash. The first two always read; each other
// one reads while fewer than two daemons of a higher rank announce that the store answers them. A
// daemon that is cut off from the readers, or whose readers are cut off from the store, therefore
// takes over without any coordination, and the daemons converge again by themselves. The number of
// calls to the store depends on changes and failures rather than on the number of daemons: a
// starting daemon looks for other daemons first, and the lower ranks retry less often while the
// store is unavailable.
#pragma once

#include "auburn/peers/peertable.h"

#include <chrono>
#include <vector>

namespace auburn::peers {

// Whether a daemon reads the store, and how often it retries.
struct StoreReaderRole
{
    bool reads = true;
    // The daemon reads only because too few daemons of a higher rank can.
    bool isBackup = false;
    // Number of readers of a higher rank.
    unsigned higherRankedReaders = 0;
    // Delay after a call that the store did not answer.
    std::chrono::milliseconds retryDelay{ 400 };
};

// Returns the role of the daemon self. peers are the live daemons of its failure domain; readers
// are those of them that announce that the store answers them.
StoreReaderRole storeReaderRole(const PeerInfo &self, const std::vector<PeerInfo> &peers,
                                const std::vector<PeerInfo> &readers);

// State of a daemon that has not read the store yet.
struct StartupState
{
    std::chrono::milliseconds sinceStart{ 0 };
    // The whole system starts for the first time, so no callers are waiting.
    bool firstStart = false;
    bool largeFleet = false;
    // The daemon has received a configuration and backend servers from another daemon.
    bool hasDocuments = false;
};

// Returns true once the daemon has looked for other daemons long enough to know that it has to
// read.
bool mayStartReading(const StartupState &start, const StoreReaderRole &role);

} // namespace auburn::peers
