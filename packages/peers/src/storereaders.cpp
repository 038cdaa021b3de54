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

bool isAhead(const LivePeer &peer, const LivePeer &self)
{
    return peer.serving
           && std::pair(peer.cpuMillis, stableHash(peer.vm))
                      > std::pair(self.cpuMillis, stableHash(self.vm));
}

unsigned countAhead(const std::vector<LivePeer> &peers, const LivePeer &self)
{
    return static_cast<unsigned>(
            std::count_if(peers.begin(), peers.end(),
                          [&self](const LivePeer &peer) { return isAhead(peer, self); }));
}

} // namespace

ReaderDuty readerDuty(const LivePeer &self, const std::vector<LivePeer> &peers,
                      const std::vector<LivePeer> &readers)
{
    ReaderDuty duty;
    duty.readersAhead = countAhead(readers, self);
    duty.reads = duty.readersAhead < kReaders;
    const unsigned rank = countAhead(peers, self);
    duty.standsIn = duty.reads && rank >= kReaders;
    if (duty.standsIn)
        duty.retryPause = std::min(kLongestStandInPause,
                                   kStandInPause * (1 + rank / kRanksPerPause));
    return duty;
}

bool mayBeginReading(const ReaderStart &start, const ReaderDuty &duty)
{
    const milliseconds findTime = start.firstStart ? kFirstFindTime : kFindTime;
    if (start.sinceStart < findTime)
        return false;
    const bool othersWill = start.largeFleet && duty.standsIn;
    const bool callersWait = !start.firstStart && !start.knowsDocuments;
    return !othersWill || callersWait || start.sinceStart >= findTime + kReaderWordTime;
}

} // namespace auburn::peers
