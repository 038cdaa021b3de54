#include "suspectedcrashes.h"

#include <iterator>
#include <utility>

namespace auburn::gateway {

using routing::BackendServer;

namespace {

// Covers the restart of a server and the delay with which it is registered again.
constexpr std::chrono::seconds kSuspicionLifetime{ 20 };
// Beyond this number the oldest suspicion is dropped.
constexpr std::size_t kMaxSuspicions = 1000;

// True if the server is a later process than the one to which the connection led.
bool isSuccessor(const BackendServer &server, const BrokenConnection &connection)
{
    // A registration that only now states its start time is no restart.
    const bool isLater = connection.serverStartedAtUnixMs != 0
                         && server.startedAtUnixMs > connection.serverStartedAtUnixMs;
    return isLater && (server.id == connection.serverId || server.address == connection.address);
}

bool hasSuccessor(const routing::ServerDirectory &directory, const BrokenConnection &connection)
{
    bool found = false;
    directory.visit(
            [&](const BackendServer &server) { found = found || isSuccessor(server, connection); });
    return found;
}

} // namespace

SuspectedCrashes::Number SuspectedCrashes::add(BrokenConnection connection, TimePoint now)
{
    if (entries_.size() >= kMaxSuspicions)
        entries_.erase(entries_.begin());
    entries_.emplace(++lastNumber_, Entry{ .connection = std::move(connection), .at = now });
    return lastNumber_;
}

const BrokenConnection *SuspectedCrashes::find(Number number) const
{
    const auto found = entries_.find(number);
    return found == entries_.end() ? nullptr : &found->second.connection;
}

std::optional<BrokenConnection> SuspectedCrashes::confirm(Number number)
{
    auto node = entries_.extract(number);
    if (node.empty())
        return std::nullopt;
    return std::move(node.mapped().connection);
}

std::vector<BrokenConnection> SuspectedCrashes::confirmRestarted(
        const routing::ServerDirectory &directory, TimePoint now)
{
    std::vector<BrokenConnection> confirmed;
    for (auto item = entries_.begin(); item != entries_.end();) {
        Entry &entry = item->second;
        const bool isExpired = now - entry.at > kSuspicionLifetime;
        const bool isConfirmed = !isExpired && hasSuccessor(directory, entry.connection);
        if (isConfirmed)
            confirmed.push_back(std::move(entry.connection));
        item = isExpired || isConfirmed ? entries_.erase(item) : std::next(item);
    }
    return confirmed;
}

void SuspectedCrashes::dropEqualRequests(std::uint64_t fingerprint)
{
    std::erase_if(entries_, [fingerprint](const auto &item) {
        return item.second.connection.suspects.fingerprint == fingerprint;
    });
}

} // namespace auburn::gateway
