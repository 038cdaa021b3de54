// ServerLimits keeps the limits on requests that backend servers have named in their responses: the
// requests a second that a server takes from all daemons together.
//
// A limit is in force until a newer response of the server names another one or none. Daemons pass
// on what they know with its age, so that all of them know a limit soon after the server has named
// it to one, and a report that travelled slowly does not replace a newer one.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::routing {

// Time after which a limit is forgotten unless a response has confirmed it. A server that takes
// only a few requests confirms it far more often, and one that nobody needs to send requests to is
// not harmed.
inline constexpr std::chrono::seconds kLimitLifetime{ 60 };

// Parses the limit of a response: a decimal number of requests a second. Returns nullopt for a
// negative number, one that is not finite and anything else that is no number.
std::optional<double> parseServerLimit(std::string_view text);

// Returns the limit for log lines: the requests a second, or "none".
std::string limitText(std::optional<double> requestsPerSecond);

// What a server has said, and when.
struct ServerLimitReport
{
    std::string serverId;
    // Requests a second from all daemons together; empty if the server no longer names a limit.
    std::optional<double> requestsPerSecond;
    std::chrono::steady_clock::time_point observedAt;
};

class ServerLimits
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Records that a response named a limit. Returns true if the limit in force changes.
    bool recordLimit(const std::string &serverId, double requestsPerSecond, TimePoint now);
    // Records that a response named no limit. Its request was sent at sentAt; a limit that was
    // named later than that stays in force, because responses on different connections overtake
    // each other. Returns true if the limit in force changes.
    bool recordNoLimit(const std::string &serverId, TimePoint sentAt);
    // Records what another daemon knows. Returns true if the limit in force changes.
    bool merge(const ServerLimitReport &report);
    // Drops what is known of a server that restarted or was removed.
    void remove(const std::string &serverId);
    // Drops what no response has confirmed for kLimitLifetime, so that daemons do not tell each
    // other forever of servers that are gone.
    void removeExpired(TimePoint now);

    // Returns the limit in force; nullopt if the server names none.
    std::optional<double> limitOf(std::string_view serverId) const;
    // Returns the newest reports, at most count. Ended limits are included, because other daemons
    // may still report them as in force.
    std::vector<ServerLimitReport> newestReports(std::size_t count) const;
    // Returns what is known of the server; a report of no limit if nothing is.
    ServerLimitReport reportOf(const std::string &serverId) const;
    // Returns the servers with a limit in force.
    std::vector<std::string> limitedServers() const;
    bool hasLimits() const;

private:
    struct Entry
    {
        std::optional<double> requestsPerSecond;
        TimePoint observedAt;
    };

    bool update(const std::string &serverId, const Entry &entry);

    std::map<std::string, Entry, std::less<>> entries_;
};

} // namespace auburn::routing
