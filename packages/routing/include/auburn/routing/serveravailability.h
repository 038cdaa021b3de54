// ServerAvailability keeps what backend servers have said about themselves in their responses and
// what takes effect before the registry lists it: that they are leaving, or want no requests for
// some time.
//
// A server speaks only for itself, so a faulty one can at most withdraw itself.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace auburn::routing {

// The longest time for which one response can stop requests to a server.
constexpr std::chrono::seconds kMaxServerBackoff{ 60 };

class ServerAvailability
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Records that a server is leaving. It receives no more requests until it restarts: the
    // registry may be unavailable or behind and still list it as ready. Returns false if this was
    // known.
    bool withdraw(const std::string &serverId, std::int64_t startedAtUnixMs);
    // Records that a server wants no requests until the time, at most for kMaxServerBackoff. An
    // earlier time than the known one has no effect.
    void backOff(const std::string &serverId, std::int64_t startedAtUnixMs, TimePoint until,
                 TimePoint now);
    // Returns true unless the server is leaving or wants no requests now. A server that started
    // later under the same id is another process.
    bool isAvailable(std::string_view serverId, std::int64_t startedAtUnixMs, TimePoint now) const;
    // Returns the time at which the server wants requests again; nullopt if it is leaving or has
    // named no later time.
    std::optional<TimePoint> returnTime(std::string_view serverId, std::int64_t startedAtUnixMs,
                                        TimePoint now) const;
    std::size_t withdrawnServers() const { return withdrawn_.size(); }
    std::size_t serversInBackoff(TimePoint now) const;

private:
    struct Backoff
    {
        std::int64_t startedAtUnixMs = 0;
        TimePoint until;
    };

    bool isWithdrawn(std::string_view serverId, std::int64_t startedAtUnixMs) const;

    // Start times of the servers that are leaving, by their ids.
    std::map<std::string, std::int64_t, std::less<>> withdrawn_;
    std::map<std::string, Backoff, std::less<>> backoffs_;
};

} // namespace auburn::routing
