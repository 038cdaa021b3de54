// PeerPull: selects a peer with a newer configuration, requests it and collects the response.
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

    // Records the revision of a peer.
    void notePeer(const std::string &peerId, std::uint64_t revision);

    // Removes peers that have nothing newer than this daemon.
    void forgetUpTo(std::uint64_t revision);

    // Sends a pull to the peer with the highest revision, unless a response is pending. Peers that
    // cannot be reached are removed; gossip adds them again.
    void begin(std::uint64_t ownRevision);

    bool isWaiting() const { return !peer_.empty(); }

    // Changes with every pull and every chunk; a timeout is due if it stays the same.
    std::uint64_t progress() const { return progress_; }

    // Ends the pull and removes the peer.
    void fail();

    // Adds a chunk; returns all chunks of the response once it is complete, which ends the pull.
    // Chunks of other senders are dropped.
    std::optional<std::vector<proto::ConfigChunk>> addChunk(const std::string &sender,
                                                            const proto::ConfigChunk &chunk);

private:
    std::optional<std::string> best() const;

    MessageBus &bus_;
    std::map<std::string, std::uint64_t> peers_;
    // Peer to which the pull was sent; empty if none.
    std::string peer_;
    ChunkAssembler assembler_;
    std::uint64_t progress_ = 0;
};

} // namespace auburn
