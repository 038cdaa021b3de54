// ConfigFollower: keeps this daemon's configuration up to date.
//
// Relays read the configuration stream of the log by long polling; all other daemons pull from a
// peer that has a higher revision, so that the log serves tens of readers instead of hundreds. A
// daemon without configuration takes it from a peer, or from the log if no peer has it.
#pragma once

#include "auburn/config/changehistory.h"
#include "auburn/config/configstore.h"
#include "auburn/config/logclient.h"
#include "auburn/mesh/bus.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburn {

struct ConfigFollowerOptions
{
    std::string stream = "config";
    // Longest wait of one read of the log. A read on a connection that has gone silent ends after
    // this and the client's margin, which must leave time within the 20 s in which a change takes
    // effect.
    std::chrono::milliseconds pollWait{ 5000 };
    // A reader of the log that receives a higher revision by gossip pulls it from the peer after
    // this time: its read of the log may be on a silent connection.
    std::chrono::milliseconds overdueAfter{ 2000 };
    // Maximum number of records in one read of the log.
    std::size_t readRecords = 100;
    // Bounds of the delay after a failed read; the delay doubles from the first to the second.
    std::chrono::milliseconds retryMin{ 200 };
    std::chrono::milliseconds retryMax{ 5000 };
    // A daemon without configuration queries peers for this long before it reads the log.
    std::chrono::milliseconds bootPeerWait{ 2000 };
    // A pull ends if no chunk of the response arrives for this long.
    std::chrono::milliseconds pullTimeout{ 2000 };
    // Size of the chunks of a response to a pull.
    std::size_t chunkBytes = 64UL * 1024;
};

// State of the configuration stream, for the decision whether a new snapshot is needed.
struct SnapshotStatus
{
    // False while the reader has not reached the end of the stream.
    bool caughtUp = false;
    std::uint64_t earliest = 0;
    std::uint64_t next = 0;
    // The newest complete snapshot; both 0 if none is known.
    std::uint64_t uptoOffset = 0;
    std::chrono::milliseconds time{ 0 };
    // When a chunk of a snapshot was last read; zero if none was.
    std::chrono::steady_clock::time_point lastChunkRead;
};

// Made, started and destroyed on the thread of Qt's event loop.
class ConfigFollower
{
public:
    using FoldedListener = std::function<void(const std::vector<FoldedChange> &)>;
    // The effect ends when the handle is destroyed, on the thread of Qt's event loop.
    using Handle = std::shared_ptr<void>;

    virtual ~ConfigFollower() = default;

    // Sets the bus handlers of ConfigPull and ConfigChunk, so it must come before the bus starts.
    // The log, bus and store must outlive the follower.
    static std::unique_ptr<ConfigFollower> make(ConfigFollowerOptions options, LogClient &log,
                                                MessageBus &bus, ConfigStore &store);

    // Begins to look for configuration.
    virtual void start() = 0;

    // True while this daemon is a relay. Callable from any thread.
    virtual void setFollowing(bool following) = 0;

    // Records the configuration revision of a peer, also if it is 0: a daemon without configuration
    // queries any peer. Callable from any thread, as often as gossip arrives.
    virtual void onPeerRevision(const std::string &peerId, std::uint64_t revision) = 0;

    // Outcomes of recent changes, oldest first. Callable from any thread.
    virtual std::vector<FoldedChange> history() const = 0;

    // The remaining calls are for the thread of Qt's event loop.

    // Reads the log while the handle exists, also on a daemon that is not a relay.
    virtual Handle keepReading() = 0;

    // The listener receives the outcomes of changes once the store holds them.
    virtual Handle onFolded(FoldedListener listener) = 0;

    virtual SnapshotStatus snapshotStatus() const = 0;

    // The current state in chunks, for a snapshot; empty if there is no configuration.
    virtual std::vector<proto::ConfigChunk> snapshotChunks(std::size_t maxBytes) const = 0;
};

} // namespace auburn
