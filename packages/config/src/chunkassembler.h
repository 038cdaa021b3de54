// ChunkAssembler: collects the chunks of one snapshot or of one response to a pull.
#pragma once

#include "auburn.pb.h"

#include <cstdint>
#include <map>
#include <vector>

namespace auburn {

class ChunkAssembler
{
public:
    // Adds a chunk; a repeated one replaces the first. A chunk that does not fit to the others
    // starts a new set.
    void add(proto::ConfigChunk chunk);

    bool isComplete() const;

    // All chunks in index order; call once, when complete.
    std::vector<proto::ConfigChunk> take();

private:
    std::map<std::uint32_t, proto::ConfigChunk> chunks_;
};

} // namespace auburn
