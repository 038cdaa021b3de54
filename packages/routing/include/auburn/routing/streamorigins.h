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

    virtual ~StreamOrigins() = default;

    // Finds the version that began the stream of this request; the id is empty if the caller names
    // none. Calls the handler exactly once, either immediately or later on the same thread, at the
    // latest after the time limit.
    virtual void find(const std::string &requestId, const std::string &service,
                      std::chrono::milliseconds timeLimit, VersionHandler handler) = 0;
    // The version whose servers should begin a new stream of the service: another one has appeared
    // so recently that some daemons may not know it. Empty if any server may.
    virtual std::optional<std::string> preferredVersion(const std::string &service) const = 0;
    // A new stream was sent to a server of this version, or was sent again to another one before
    // its first event.
    virtual void streamSent(const StreamOrigin &origin) = 0;
    // Calls the handler exactly once, either immediately or later on the same thread: as soon as
    // every daemon, also one that starts later, can find the origin of the stream, and after a
    // limited time at the latest. To be called before the first event is passed on to the caller.
    virtual void whenFindable(const std::string &requestId, std::function<void()> handler) = 0;
};

} // namespace auburn::routing
