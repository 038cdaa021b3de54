// ServerAvailability keeps what backend servers have said about themselves in their responses and
// what takes effect before the registry lists it: that they are leaving.
//
// A server speaks only for itself, so a faulty one can at most withdraw itself.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace auburn::routing {

class ServerAvailability
{
public:
    // Records that a server is leaving. It receives no more requests until it restarts: the
    // registry may be unavailable or behind and still list it as ready. Returns false if this was
    // known.
    bool withdraw(const std::string &serverId, std::int64_t startedAtUnixMs);
    // Returns true unless the server is leaving. A server that started later under the same id is
    // another process.
    bool isAvailable(std::string_view serverId, std::int64_t startedAtUnixMs) const;
    std::size_t withdrawnServers() const { return withdrawn_.size(); }

private:
    // Start times of the servers that are leaving, by their ids.
    std::map<std::string, std::int64_t, std::less<>> withdrawn_;
};

} // namespace auburn::routing
