#pragma once

#include "auburn/routing/serverdirectory.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburn::gateway {

// What a crash under a request may be blamed on.
struct CrashSuspects
{
    // The request that was in progress, for log lines.
    std::string requestId;
    // Identifies equal requests.
    std::uint64_t fingerprint = 0;
    // The parts of the prompt that other requests may have as well.
    std::vector<std::uint64_t> promptParts;
};

// A connection that broke under a request, although the server may live on.
struct BrokenConnection
{
    std::string serverId;
    // IP:PORT.
    std::string address;
    // The start time of the server to which the request was sent; 0 if unknown.
    std::int64_t serverStartedAtUnixMs = 0;
    CrashSuspects suspects;
};

// SuspectedCrashes holds the broken connections of which it is not known yet whether their servers
// crashed, until there is evidence or the suspicion expires.
//
// That a server accepts connections does not show that it lives: the listening socket of a process
// that ends may be closed after its connections, and its successor may listen at once. But a server
// that crashed is registered again with a later start time, or another server at its address.
class SuspectedCrashes
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Number = std::uint64_t;

    // The returned number identifies the suspicion and is never reused.
    Number add(BrokenConnection connection, TimePoint now);
    // Returns null if the suspicion has ended.
    const BrokenConnection *find(Number number) const;
    // Ends a suspicion because the server has crashed. Returns nullopt if it has ended before, so
    // that no crash counts twice.
    std::optional<BrokenConnection> confirm(Number number);
    // Ends the suspicions whose server has been replaced by a later process, and returns them.
    // Drops those that have expired.
    std::vector<BrokenConnection> confirmRestarted(const routing::ServerDirectory &directory,
                                                   TimePoint now);
    // Ends the suspicions of requests with this fingerprint: one of them has succeeded since.
    void dropEqualRequests(std::uint64_t fingerprint);
    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        BrokenConnection connection;
        TimePoint at;
    };

    // In the order in which they were added.
    std::map<Number, Entry> entries_;
    Number lastNumber_ = 0;
};

} // namespace auburn::gateway
