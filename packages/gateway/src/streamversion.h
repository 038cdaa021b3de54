#pragma once

#include "auburn/routing/streamorigins.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace auburn::gateway {

// StreamVersion keeps a caller's resumable stream at one software version of the backend servers,
// whose events do not fit together with those of other versions.
//
// The first event fixes the version. It is passed on to the caller only once every daemon can find
// the version, because the caller may resume the stream at another daemon from then on.
class StreamVersion
{
public:
    // The origins are null if the stream may be resumed by any server, or by none.
    StreamVersion(routing::StreamOrigins *origins, std::string requestId, std::string service)
        : origins_(origins)
        , requestId_(std::move(requestId))
        , service_(std::move(service))
    {}

    // Finds the version of the stream that the caller's attempt with this id began. Calls the
    // handler with false if it is unknown; the stream must not be resumed then.
    void find(const std::string &resumedId, std::chrono::milliseconds timeLimit,
              std::function<void(bool found)> handler);

    // The version that a server for the next attempt must have; empty if any may be used.
    std::optional<std::string> required() const;
    // Allows any version for the next attempt if only a preference for one excludes servers;
    // returns false if it does not.
    bool dropPreference();
    // True if a server of another version may be used where the preferred ones would miss the
    // latency target.
    bool preferenceYieldsToLatency() const;

    // The request is sent to a server of this version.
    void attemptStarted(const std::string &version);
    // The current attempt has brought an event. The first time, calls the handler once, also before
    // it returns: with true as soon as every daemon can find the version, or with false after a
    // limited time. Events are not held any more then.
    void eventReceived(const std::function<void(bool findable)> &released);
    // The version at which the stream should begin anew because its own one is not findable; empty
    // if it should go on.
    std::optional<std::string> replacement() const;
    // Forgets the version and the events of it, none of which was passed on.
    void beginAnew();

    // True if events have to be held.
    bool isHeld() const { return isHeld_; }
    void hold(std::string_view events) { held_.append(events); }
    // Forgets the events that were held; no more are held.
    void dropHeld()
    {
        isHeld_ = false;
        held_.clear();
    }
    // Returns the events that were held.
    std::string takeHeld() { return std::exchange(held_, {}); }
    std::size_t heldBytes() const { return held_.capacity(); }

private:
    routing::StreamOrigins *const origins_;
    const std::string requestId_;
    const std::string service_;
    // The version that began the stream.
    std::optional<std::string> version_;
    bool ignoresPreference_ = false;
    std::string attemptVersion_;
    bool isHeld_ = false;
    std::string held_;
};

} // namespace auburn::gateway
