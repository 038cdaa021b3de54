// StreamOrigins tells which software version of a service's backend servers began a stream, so that
// only servers of that version resume it.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace auburn::routing {

// A resumable stream and the server software that began it.
struct StreamOrigin
{
    // The request id of the caller's attempt that brings the first event.
    std::string requestId;
    std::string service;
    std::string softwareVersion;
};

class StreamOrigins
{
public:
    // Empty if the version is unknown. No server may resume the stream then.
    using VersionHandler = std::function<void(std::optional<std::string> softwareVersion)>;
    using FindableHandler = std::function<void(bool findable)>;

    virtual ~StreamOrigins() = default;

    // Finds the version that began the stream of this request; the id is empty if the caller names
    // none. Calls the handler exactly once, either immediately or later on the same thread, at the
    // latest after the time limit.
    virtual void find(const std::string &requestId, const std::string &service,
                      std::chrono::milliseconds timeLimit, VersionHandler handler) = 0;
    // The version whose servers should begin a new stream of the service: another one has appeared
    // so recently that some daemons may not know it, or origins cannot be recorded now and streams
    // of this version need no record. Empty if any server may.
    virtual std::optional<std::string> preferredVersion(const std::string &service) const = 0;
    // True if another version may begin a new stream where the servers of the preferred one would
    // miss the latency target.
    virtual bool preferenceYieldsToLatency(const std::string &service) const = 0;
    // A new stream was sent to a server of this version, or was sent again to another one before
    // its first event.
    virtual void streamSent(const StreamOrigin &origin) = 0;
    // Calls the handler exactly once, either immediately or later on the same thread: as soon as
    // every daemon, also one that starts later, can find the origin of the stream, or with false
    // after a limited time. To be called before the first event is passed on to the caller. If it
    // is not findable, the stream should begin anew at the preferred version, if there is one.
    virtual void whenFindable(const std::string &requestId, FindableHandler handler) = 0;
};

} // namespace auburn::routing
