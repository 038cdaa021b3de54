// SnapshotTracker: tracks the newest complete snapshot on the log.
#pragma once

#include "auburn.pb.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace auburn {

class SnapshotTracker
{
public:
    // Adds a chunk that was read from the log, with its time on the log.
    void addChunk(std::chrono::milliseconds time, const proto::ConfigChunk &chunk);

    // Adds the snapshot that a peer reported.
    void adopt(const proto::SnapshotMark &mark);

    // Both fields are 0 if no snapshot is known.
    const proto::SnapshotMark &newest() const { return newest_; }

    // Zero if no chunk was read.
    std::chrono::steady_clock::time_point lastChunkRead() const { return lastChunkRead_; }

private:
    struct Partial
    {
        std::set<std::uint32_t> seen;
        std::chrono::milliseconds firstTime{ 0 };
    };

    std::map<std::string, Partial> partials_;
    proto::SnapshotMark newest_;
    std::chrono::steady_clock::time_point lastChunkRead_;
};

} // namespace auburn
