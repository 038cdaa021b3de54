// PeerPull: chooses a peer with newer configuration, asks it and collects its answer.
#pragma once

#include "auburn/mesh/bus.h"
#include "chunkassembler.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburn {

class PeerPull
{
public:
    explicit PeerPull(MessageBus &bus);

    // Notes what a peer has.
    void notePeer(const std::string &peerId, std::uint64_t revision);

    // Forgets peers that have nothing newer than this daemon.
    void forgetUpTo(std::uint64_t revision);

    // Asks the peer with the highest revision, unless an answer is awaited. Peers that cannot be
    // reached are forgotten; gossip names them again.
    void begin(std::uint64_t ownRevision);

    bool isWaiting() const { return !peer_.empty(); }

    // Changes with every pull and every chunk; a timeout is due if it stays the same.
    std::uint64_t progress() const { return progress_; }

    // Ends the pull and forgets the peer.
    void fail();

    // Takes a chunk; all chunks of the answer once it is complete, which ends the pull. Chunks of
    // other senders are dropped.
    std::optional<std::vector<proto::ConfigChunk>> addChunk(const std::string &sender,
                                                            const proto::ConfigChunk &chunk);

private:
    std::optional<std::string> best() const;

    MessageBus &bus_;
    std::map<std::string, std::uint64_t> peers_;
    // Peer that was asked; empty if none.
    std::string peer_;
    ChunkAssembler assembler_;
    std::uint64_t progress_ = 0;
};

} // namespace auburn
