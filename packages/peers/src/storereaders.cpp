#include "auburn/peers/storereaders.h"

#include "auburn/core/hash.h"

#include <algorithm>
#include <utility>

namespace auburn::peers {

namespace {

constexpr unsigned kReaders = 2;

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
    const unsigned readersAhead = countAhead(readers, self);
    const bool reads = readersAhead < kReaders;
    return { .reads = reads,
             .standsIn = reads && countAhead(peers, self) >= kReaders,
             .readersAhead = readersAhead };
}

} // namespace auburn::peers
