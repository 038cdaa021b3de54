#include "peerpull.h"

#include <QRandomGenerator>

#include <algorithm>
#include <iterator>
#include <utility>

namespace auburn {

PeerPull::PeerPull(MessageBus &bus)
    : bus_(bus)
{}

void PeerPull::notePeer(const std::string &peerId, std::uint64_t revision)
{
    peers_[peerId] = revision;
}

void PeerPull::forgetUpTo(std::uint64_t revision)
{
    std::erase_if(peers_, [revision](const auto &entry) { return entry.second <= revision; });
}

// A random one of those with the highest revision, so that the daemons of a failure domain spread
// their pulls.
std::optional<std::string> PeerPull::best() const
{
    std::vector<std::string> candidates;
    std::uint64_t highest = 0;
    for (const auto &[peerId, revision] : peers_) {
        if (revision > highest)
            candidates.clear();
        highest = std::max(highest, revision);
        if (revision == highest)
            candidates.push_back(peerId);
    }
    if (candidates.empty())
        return std::nullopt;
    const auto count = static_cast<quint32>(candidates.size());
    return candidates[QRandomGenerator::global()->bounded(count)];
}

void PeerPull::begin(std::uint64_t ownRevision)
{
    while (!isWaiting()) {
        const auto peer = best();
        if (!peer)
            return;
        proto::Envelope envelope;
        envelope.mutable_config_pull()->set_after_revision(ownRevision);
        if (bus_.send(*peer, std::move(envelope))) {
            peer_ = *peer;
            ++progress_;
        } else {
            peers_.erase(*peer);
        }
    }
}

void PeerPull::fail()
{
    peers_.erase(peer_);
    peer_.clear();
    assembler_ = ChunkAssembler();
    ++progress_;
}

std::optional<std::vector<proto::ConfigChunk>> PeerPull::addChunk(const std::string &sender,
                                                                  const proto::ConfigChunk &chunk)
{
    if (!isWaiting() || sender != peer_)
        return std::nullopt;
    ++progress_;
    if (chunk.count() == 0) {
        fail();
        return std::nullopt;
    }
    assembler_.add(chunk);
    if (!assembler_.isComplete())
        return std::nullopt;
    peers_.erase(peer_);
    peer_.clear();
    return assembler_.take();
}

} // namespace auburn
