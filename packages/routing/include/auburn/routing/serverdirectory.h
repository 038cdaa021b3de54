// ServerDirectory: the backend servers that may get requests, as the platform's registry lists
// them.
//
// The registry removes the entries of live servers while it is unavailable and lists them again
// shortly after its return. Until then such a server keeps its work; an entry that is removed while
// the registry is available is obeyed at once, because some servers leave without announcing it.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::routing {

// Time after the registry's return within which live servers are listed again.
constexpr std::chrono::milliseconds kRelistPeriod{ 2300 };

enum class ServerState { Ready, Draining };

struct BackendServer
{
    // Names one start of a server in most cases; see startedAtUnixMs.
    std::string id;
    std::string service;
    // IP:PORT; another server may get it later.
    std::string address;
    std::string failureDomain;
    unsigned slots = 1;
    ServerState state = ServerState::Ready;
    // Start of the server as it says; 0 if unknown. A server that starts again under its old id has
    // a later one.
    std::int64_t startedAtUnixMs = 0;
    // Count of orders or heartbeats since the start.
    std::int64_t sequence = 0;
};

// Why an update was or was not taken.
enum class DirectoryChange {
    // The server is new, or it was started again.
    Added,
    // Its state, address or another field that matters to routing changed.
    Changed,
    // Only its sequence changed.
    Refreshed,
    // The update is older than what is known.
    Stale,
    // The server gets no more work.
    Removed,
    // The removal waits for the server to be listed again.
    RemovalPending,
    Unknown,
};

std::string_view directoryChangeName(DirectoryChange change);

class ServerDirectory
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Applies one record of the registry. The position orders the records of one key.
    DirectoryChange update(BackendServer server, std::uint64_t position);
    // The newest record of the id was removed, or it names no usable server.
    DirectoryChange remove(std::string_view id, std::uint64_t position, TimePoint now);
    // The same from a source that knows that the server will not be listed again.
    DirectoryChange removeImmediately(std::string_view id, std::uint64_t position);

    // The registry did not answer, or answered that it cannot serve.
    void setRegistryUnavailable();
    void setRegistryAvailable(TimePoint now);
    bool isRegistryAvailable() const { return available_; }
    // The registry was there all the while and only this daemon could not reach it: what is missing
    // has left.
    void endRelistPeriod(TimePoint now);

    // Ends the grace of removed servers that were not listed again; returns their ids.
    std::vector<std::string> removeExpired(TimePoint now);

    // Servers of the service that may get new requests.
    std::vector<const BackendServer *> readyServers(std::string_view service) const;
    // Null if no entry has the id.
    const BackendServer *find(std::string_view id) const;
    std::vector<std::string> ids() const;
    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        BackendServer server;
        std::uint64_t position = 0;
        // Set while a removal waits.
        std::optional<TimePoint> removeAt;
    };

    void erase(const std::string &id);
    // Removals wait while live servers may be missing from the registry.
    bool isRelisting(TimePoint now) const;

    std::map<std::string, Entry, std::less<>> entries_;
    // Positions of removed ids, so that a late older record does not bring one back.
    std::map<std::string, std::uint64_t, std::less<>> removed_;
    bool available_ = true;
    std::optional<TimePoint> returnedAt_;
};

} // namespace auburn::routing
