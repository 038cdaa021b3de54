#include "auburn/peers/storereaders.h"

#include "auburn/core/hash.h"

#include <algorithm>
#include <utility>

namespace auburn::peers {

namespace {

using std::chrono::milliseconds;

constexpr unsigned kReaders = 2;
// Of a daemon that stands in, for the first ranks and for the last ones. Any daemon of the fleet
// that the store answers tells the others, so the last ranks need not hurry.
constexpr milliseconds kStandInPause{ 1200 };
constexpr milliseconds kLongestStandInPause{ 4800 };
// Ranks by which the pause grows once.
constexpr unsigned kRanksPerPause = 5;
// Time in which a daemon that has started hears of others in its region; callers wait for it.
constexpr milliseconds kFindTime{ 50 };
// All daemons start within a fraction of a second, and processors are busy with the start.
constexpr milliseconds kFirstFindTime{ 1500 };
// Readers tell their failure domain of themselves within this time after that.
constexpr milliseconds kReaderWordTime{ 1250 };

bool isAhead(const PeerInfo &peer, const PeerInfo &self)
{
    return peer.serving
           && std::pair(peer.cpuMillis, stableHash(peer.vm))
                      > std::pair(self.cpuMillis, stableHash(self.vm));
}

unsigned countAhead(const std::vector<PeerInfo> &peers, const PeerInfo &self)
{
    return static_cast<unsigned>(
            std::count_if(peers.begin(), peers.end(),
                          [&self](const PeerInfo &peer) { return isAhead(peer, self); }));
}

} // namespace

StoreReaderRole storeReaderRole(const PeerInfo &self, const std::vector<PeerInfo> &peers,
                                const std::vector<PeerInfo> &readers)
{
    StoreReaderRole duty;
    duty.higherRankedReaders = countAhead(readers, self);
    duty.reads = duty.higherRankedReaders < kReaders;
    const unsigned rank = countAhead(peers, self);
    duty.isBackup = duty.reads && rank >= kReaders;
    if (duty.isBackup)
        duty.retryDelay = std::min(kLongestStandInPause,
                                   kStandInPause * (1 + rank / kRanksPerPause));
    return duty;
}

bool mayStartReading(const StartupState &start, const StoreReaderRole &duty)
{
    const milliseconds findTime = start.firstStart ? kFirstFindTime : kFindTime;
    if (start.sinceStart < findTime)
        return false;
    const bool othersWill = start.largeFleet && duty.isBackup;
    const bool callersWait = !start.firstStart && !start.hasDocuments;
    return !othersWill || callersWait || start.sinceStart >= findTime + kReaderWordTime;
}

} // namespace auburn::peers
