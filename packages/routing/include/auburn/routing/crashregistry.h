// CrashRegistry: counts the backend servers that broke off while they worked on equal requests,
// over all daemons, so that a request that crashes its servers is stopped after a few of them.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburn::routing {

// Crashes after which equal requests are refused.
constexpr unsigned kCrashLimit = 3;

struct CrashCount
{
    // Hash of organisation, path and body.
    std::uint64_t fingerprint = 0;
    unsigned crashes = 0;
};

class CrashRegistry
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    void addCrash(std::uint64_t fingerprint, TimePoint now);
    // Another daemon's own count; an older report never lowers a newer one.
    void mergePeer(const std::string &peer, CrashCount count, TimePoint now);
    // Over all daemons.
    unsigned crashes(std::uint64_t fingerprint, TimePoint now) const;
    bool isBlocked(std::uint64_t fingerprint, TimePoint now) const
    {
        return crashes(fingerprint, now) >= kCrashLimit;
    }
    // This daemon's own counts that are recent enough to matter, newest first, at most limit.
    std::vector<CrashCount> ownCounts(std::size_t limit, TimePoint now) const;

private:
    struct Entry
    {
        unsigned own = 0;
        std::map<std::string, unsigned> peers;
        TimePoint last;
    };

    Entry &entry(std::uint64_t fingerprint, TimePoint now);

    std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace auburn::routing
