#include "auburn/peers/storereaders.h"

#include "auburn/core/hash.h"

#include <algorithm>
#include <utility>

namespace auburn::peers {

namespace {

using std::chrono::milliseconds;

// Number of daemons in a failure domain that read the store.
constexpr unsigned kReadersPerDomain = 2;
// Retry delays of backup readers, for the highest and the lowest ranks. Any daemon of the fleet
// that can read the store informs the others, so the lowest ranks can wait longer.
constexpr milliseconds kBackupRetryDelay{ 1200 };
constexpr milliseconds kMaxBackupRetryDelay{ 4800 };
// Number of ranks after which the delay grows by another step.
constexpr unsigned kRanksPerDelayStep = 5;
// Time for which a starting daemon waits to hear from others of its region; short, because callers
// wait meanwhile.
constexpr milliseconds kDiscoveryTime{ 50 };
// On the first start all daemons start within a fraction of a second, and the CPUs are busy with
// the start.
constexpr milliseconds kFirstStartDiscoveryTime{ 1500 };
// Readers announce themselves to their failure domain within this time after the discovery time.
constexpr milliseconds kReaderDiscoveryTime{ 1250 };

bool ranksHigher(const PeerInfo &peer, const PeerInfo &self)
{
    return peer.serving
           && std::pair(peer.cpuMillis, stableHash(peer.vm))
                      > std::pair(self.cpuMillis, stableHash(self.vm));
}

unsigned countRankedHigher(const std::vector<PeerInfo> &peers, const PeerInfo &self)
{
    return static_cast<unsigned>(
            std::count_if(peers.begin(), peers.end(),
                          [&self](const PeerInfo &peer) { return ranksHigher(peer, self); }));
}

} // namespace

StoreReaderRole storeReaderRole(const PeerInfo &self, const std::vector<PeerInfo> &peers,
                                const std::vector<PeerInfo> &readers)
{
    StoreReaderRole role;
    role.higherRankedReaders = countRankedHigher(readers, self);
    role.reads = role.higherRankedReaders < kReadersPerDomain;
    const unsigned rank = countRankedHigher(peers, self);
    role.isBackup = role.reads && rank >= kReadersPerDomain;
    if (role.isBackup)
        role.retryDelay = std::min(kMaxBackupRetryDelay,
                                   kBackupRetryDelay * (1 + rank / kRanksPerDelayStep));
    return role;
}

bool mayStartReading(const StartupState &start, const StoreReaderRole &role)
{
    const milliseconds discoveryTime = start.firstStart ? kFirstStartDiscoveryTime : kDiscoveryTime;
    if (start.sinceStart < discoveryTime)
        return false;
    const bool othersRead = start.largeFleet && role.isBackup;
    const bool callersWaiting = !start.firstStart && !start.hasDocuments;
    return !othersRead || callersWaiting
           || start.sinceStart >= discoveryTime + kReaderDiscoveryTime;
}

} // namespace auburn::peers
