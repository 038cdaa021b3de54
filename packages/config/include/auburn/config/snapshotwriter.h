// SnapshotWriter: keeps a usable snapshot of the configuration on the log.
//
// The log removes records after its retention, so a relay appends the whole state again when the
// newest usable snapshot is older than a third of the retention. Several relays run this; the delay
// before a snapshot is random, and a relay that reads another relay's chunks in that time writes
// none.
#pragma once

#include "auburn/config/configfollower.h"
#include "auburn/config/logclient.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace auburn {

struct SnapshotWriterOptions
{
    std::string stream = "config";
    // Age at which the log may remove a record.
    std::chrono::milliseconds retention{ std::chrono::hours(24) };
    std::size_t chunkBytes = 64UL * 1024;
    // How often the need for a snapshot is checked.
    std::chrono::milliseconds checkInterval{ 5000 };
    // Longest random delay before a snapshot that is due is written.
    std::chrono::milliseconds maxDelay{ 30000 };
    // Pause between the appends of two chunks: at most 50 of the several hundred appends/s of the
    // log.
    std::chrono::milliseconds chunkPause{ 20 };
    // Shortest time between two snapshots of this writer.
    std::chrono::milliseconds minInterval{ 60000 };
};

// Used on the thread of Qt's event loop.
class SnapshotWriter
{
public:
    virtual ~SnapshotWriter() = default;

    // The log and the follower must outlive the writer.
    static std::unique_ptr<SnapshotWriter> make(SnapshotWriterOptions options, LogClient &log,
                                                ConfigFollower &follower);

    // True while this daemon is a relay. Callable from any thread.
    virtual void setActive(bool active) = 0;

    // Snapshots that were appended completely.
    virtual unsigned written() const = 0;
};

} // namespace auburn
