// ServerDirectory holds the backend servers that may receive requests, as listed by the platform's
// registry.
//
// While the registry is unavailable it drops the entries of live servers, and it lists them again
// shortly after it recovers. Until then such a server keeps receiving requests. So does one that is
// missing from a registry that was restored from an older copy. Any other removal takes effect at
// once, because some servers leave without announcing it.
#pragma once

#include "auburn/core/logposition.h"
#include "auburn/routing/serveravailability.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::routing {

// Time after the registry's recovery within which live servers are listed again.
constexpr std::chrono::milliseconds kRelistPeriod{ 2300 };

// Draining servers finish their requests and receive no new ones.
enum class ServerState { Ready, Draining };

// One entry of the registry: a server and the properties that matter for routing.
struct BackendServer
{
    // Usually identifies one process start of a server; see startedAtUnixMs.
    std::string id;
    std::string service;
    // IP:PORT; may be reused by another server later.
    std::string address;
    std::string failureDomain;
    unsigned slots = 1;
    ServerState state = ServerState::Ready;
    // Start time as reported by the server; 0 if unknown. A server that restarts under its old id
    // has a later one.
    std::int64_t startedAtUnixMs = 0;
    // Version of the server's software; empty if the server names none. Servers of different
    // versions cannot continue each other's streams.
    std::string softwareVersion = {};
    // Number of commands or heartbeats since the start.
    std::int64_t sequence = 0;
    // The platform may reclaim the server at any time, with little notice.
    bool spot = false;
    // The time at which the platform takes the server away; empty if it has announced none.
    std::optional<std::chrono::steady_clock::time_point> leavesAt;
};

// Result of applying an update or a removal.
enum class DirectoryChange {
    // The server is new or was restarted.
    Added,
    // The state, the address or another field that matters for routing changed.
    Changed,
    // Only the sequence changed.
    Refreshed,
    // The update is older than the known entry.
    Stale,
    // The server receives no more requests.
    Removed,
    // The removal is deferred until the relist period ends, in case the server is listed again.
    RemovalPending,
    // No entry has the id.
    Unknown,
};

std::string_view directoryChangeName(DirectoryChange change);

// Who has listed all servers that it knows.
enum class ServerListSource { Registry, Peer };

class ServerDirectory
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Applies one record of the registry. A record that is not newer than the known one is ignored,
    // by its position and by the server's start time and sequence. Positions of another era say
    // nothing on that: a registry that was restored from an older copy repeats old records.
    DirectoryChange update(BackendServer server, LogPosition position);
    // Applies the removal of an id, or a newest record that names no usable server.
    DirectoryChange remove(std::string_view id, LogPosition position, TimePoint now);
    // Applies that a complete list of the records before `end` lacks the id. The removal is
    // deferred if the server is known from an earlier era only, because a restored registry has
    // lost the newest entries. A peer keeps servers that the registry may list again, so its list
    // is not doubted otherwise.
    DirectoryChange removeMissing(std::string_view id, LogPosition end, ServerListSource source,
                                  TimePoint now);
    // Like remove(), for a source that knows that the server will not be listed again: the removal
    // is never deferred.
    DirectoryChange removeImmediately(std::string_view id, LogPosition position);
    // Ends the deferred removals of servers that a peer's list lacked: another peer that is as far
    // lists them.
    void keepMissingFromPeers();

    // The registry did not answer or cannot serve. remove() defers removals until the relist period
    // after the registry's recovery ends.
    void setRegistryUnavailable();
    // The registry answered again; starts the relist period if it was unavailable.
    void setRegistryAvailable(TimePoint now);
    bool isRegistryAvailable() const { return registryAvailable_; }
    // Ends the relist period early: the registry was available all the time and only this daemon
    // could not reach it, so servers that are missing have left.
    void endRelistPeriod(TimePoint now);

    // Removes the servers whose deferred removal is due and returns their ids.
    std::vector<std::string> removeExpired(TimePoint now);

    // Returns the servers of the service that the registry lists as ready. All daemons have the
    // same ones, as far as they have read the registry equally far.
    std::vector<const BackendServer *> readyServers(std::string_view service) const;
    // Returns the ready servers of the service that accept requests now, by what they have said
    // about themselves.
    std::vector<const BackendServer *> availableServers(std::string_view service,
                                                        TimePoint now) const;
    // True if the server exists and may receive new requests.
    bool isAvailable(std::string_view id, TimePoint now) const;
    // Records that a server has said that it is leaving. Returns false if this was known.
    bool withdraw(std::string_view id);
    // Records that a server has asked for no requests until the time.
    void backOff(std::string_view id, TimePoint until, TimePoint now);
    // Returns the time at which the first of the service's servers accepts requests again; nullopt
    // if none has named a time.
    std::optional<TimePoint> firstReturn(std::string_view service, TimePoint now) const;
    const ServerAvailability &availability() const { return availability_; }
    // Returns null if no entry has the id.
    const BackendServer *find(std::string_view id) const;
    std::vector<std::string> ids() const;
    // Calls the function for every entry.
    void visit(const std::function<void(const BackendServer &)> &function) const;
    std::size_t size() const { return entries_.size(); }

private:
    // A removal that waits for the server to be listed again.
    struct DeferredRemoval
    {
        LogPosition position = 0;
        TimePoint dueAt;
        ServerListSource source = ServerListSource::Registry;
    };

    struct Entry
    {
        BackendServer server;
        LogPosition position = 0;
        std::optional<DeferredRemoval> removal;
    };

    // The last entry of a server that was removed, and the position of its removal.
    struct Removal
    {
        LogPosition position = 0;
        std::int64_t startedAtUnixMs = 0;
        std::int64_t sequence = 0;
    };

    void erase(const std::string &id);
    // Returns true if the record is no newer than the entry, or than the deferred removal.
    static bool isStale(const BackendServer &server, LogPosition position, const Entry &entry);
    void deferRemoval(Entry &entry, LogPosition position, ServerListSource source,
                      TimePoint now) const;
    // Returns true if the record was written before the server was removed.
    static bool isBeforeRemoval(const BackendServer &server, LogPosition position,
                                const Removal &removal);
    // Returns true while live servers may be missing from the registry, so that removals are
    // deferred.
    bool isRelisting(TimePoint now) const;

    std::map<std::string, Entry, std::less<>> entries_;
    // By id, so that a delayed older record does not add a removed server again.
    std::map<std::string, Removal, std::less<>> removals_;
    ServerAvailability availability_;
    bool registryAvailable_ = true;
    std::optional<TimePoint> registryRecoveredAt_;
};

} // namespace auburn::routing
