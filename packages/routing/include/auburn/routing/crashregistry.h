// CrashRegistry counts, across all daemons, the backend servers that broke the connection while
// they worked on equal requests, so that a request that crashes its servers is refused after a few
// of them.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburn::routing {

// Number of crashes after which equal requests are refused.
constexpr unsigned kCrashLimit = 3;

// Number of crashes caused by equal requests, which are identified by their fingerprint.
struct CrashCount
{
    // Hash of the organisation, the method, the target and the body.
    std::uint64_t fingerprint = 0;
    unsigned crashes = 0;
};

class CrashRegistry
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    void addCrash(std::uint64_t fingerprint, TimePoint now);
    // Stores another daemon's own count. A report with a count that is not higher than the known
    // one has no effect, so repeated and reordered reports are harmless.
    void mergePeer(const std::string &peer, CrashCount count, TimePoint now);
    // Returns the number of crashes over all daemons.
    unsigned crashes(std::uint64_t fingerprint, TimePoint now) const;
    bool isBlocked(std::uint64_t fingerprint, TimePoint now) const
    {
        return crashes(fingerprint, now) >= kCrashLimit;
    }
    // Returns this daemon's own counts that have not expired, newest first, at most limit of them.
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
