// BackendServerTable: what the owner of a cell knows about its backend servers, and the choice of
// the backend server that gets the next request.
//
// Slots in use are counted here, from grants and releases; load reports lag and only add a weight
// for work that this owner did not grant. A backend server whose first-token time or token gap is
// far over the pool's median is a straggler and gets fewer slots. An unreachable or crashed backend
// server is set aside for a growing time and then tried with a single request. The class is pure:
// it reads no clock and takes no lock.
#pragma once

#include "auburn/schedule/slotsource.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburn {

struct BackendServerSpec
{
    std::string name;
    // host:port
    std::string address;
    unsigned slots = 1;
    // False for a draining or leaving backend server: it keeps its requests and gets no new ones.
    bool accepting = true;
    bool operator==(const BackendServerSpec &) const = default;
};

// A backend server's own load report, as of some moment in the past.
struct BackendServerLoad
{
    unsigned running = 0;
    unsigned waiting = 0;
};

class BackendServerTable
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    // Number of a backend server in this table; valid while the backend server is configured or has
    // slots in use.
    using BackendServerId = std::uint32_t;

    struct Options
    {
        // Entries of the map from prefix hash to backend server.
        std::size_t affinityCapacity = 4096;
        // Advantage of the backend server that has the prefix, as a share of its slots. Half of the
        // slots lets a hot prefix spread to other backend servers before its backend server is
        // full.
        double affinityBonus = 0.5;
        // Times over the median from which a backend server is a straggler.
        double stragglerRatio = 2.0;
        // Releases with timings that are needed to judge a backend server.
        unsigned minSamples = 5;
        // Consecutive failed attempts after which a reachable backend server is set aside.
        unsigned maxFailures = 3;
        std::chrono::milliseconds initialBackoff{ 500 };
        std::chrono::milliseconds maxBackoff{ 15000 };
        // A probing request that is still in progress after this time counts as answered. The
        // first-token target is 1.8 s; a stream may last far longer.
        std::chrono::milliseconds probeSuccessAfter{ 3000 };
        // Load reports older than this are ignored.
        std::chrono::milliseconds loadReportTtl{ 5000 };
    };

    explicit BackendServerTable(Options options);

    // Replaces the set of backend servers. A removed backend server stays known while it has slots
    // in use.
    void configure(const std::vector<BackendServerSpec> &backendServers);

    std::optional<BackendServerId> find(const std::string &name) const;
    const std::string &name(BackendServerId id) const { return entries_[id].spec.name; }
    const std::string &address(BackendServerId id) const { return entries_[id].spec.address; }
    unsigned inUse(BackendServerId id) const { return entries_[id].inUse; }

    // The backend server for a request; empty if no backend server outside excluded has a free
    // slot.
    std::optional<BackendServerId> choose(std::uint64_t prefixHash,
                                          const std::vector<std::string> &excluded,
                                          TimePoint now) const;
    // Takes a slot of a chosen backend server; true if the request is the probe of a backend server
    // that was set aside.
    bool acquire(BackendServerId id, std::uint64_t prefixHash, TimePoint now);
    // Counts a slot that another owner has granted.
    void adopt(BackendServerId id);
    // Returns a slot and learns from the attempt. probe is what acquire returned.
    void release(BackendServerId id, bool probe, const SlotReport &report, TimePoint now);

    void reportLoad(const std::string &name, BackendServerLoad load, TimePoint now);
    // Updates medians and probes; to be called a few times a second.
    void update(TimePoint now);

    bool hasFreeSlot(TimePoint now) const;
    // Earliest time at which some backend server outside excluded may take a request, not before
    // now; empty if no such backend server accepts requests.
    std::optional<TimePoint> earliestAvailable(const std::vector<std::string> &excluded,
                                               TimePoint now) const;
    // Slots over all backend servers that accept requests and are not set aside.
    unsigned freeSlots() const;
    unsigned totalSlots() const;
    // Times over the pool's median; 1 for a backend server that is not a straggler.
    double slowness(BackendServerId id) const { return entries_[id].slowness; }

private:
    // Exponential moving average in microseconds.
    struct MovingAverage
    {
        double value = 0;
        unsigned samples = 0;
        void add(std::chrono::microseconds sample);
    };

    static constexpr std::size_t kNotFree = static_cast<std::size_t>(-1);

    struct Entry
    {
        BackendServerSpec spec;
        // False for an entry that can be reused.
        bool present = false;
        bool configured = false;
        unsigned inUse = 0;
        // Highest number of slots in use since the last and since the previous load report.
        unsigned peak = 0;
        unsigned previousPeak = 0;
        // Requests on the backend server that this owner did not grant.
        unsigned externalLoad = 0;
        TimePoint loadExpiresAt;
        MovingAverage firstToken;
        MovingAverage tokenGap;
        double slowness = 1;
        unsigned failures = 0;
        bool ejected = false;
        bool probing = false;
        TimePoint ejectedUntil;
        TimePoint probeStartedAt;
        // Counted in healthy_.
        bool countedHealthy = false;
        std::chrono::milliseconds backoff{ 0 };
        // Position in free_, or kNotFree.
        std::size_t freeIndex = kNotFree;
    };

    // A healthy backend server with a free slot; the lowest score is taken.
    struct FreeBackendServer
    {
        BackendServerId id = 0;
        double score = 0;
    };

    using AffinityList = std::list<std::pair<std::uint64_t, BackendServerId>>;

    static bool acceptsRequests(const Entry &entry);
    unsigned slotLimit(const Entry &entry) const;
    bool isHealthyAndFree(const Entry &entry) const;
    bool isProbeDue(const Entry &entry, TimePoint now) const;
    std::optional<BackendServerId> dueProbe(const std::vector<std::string> &excluded,
                                            TimePoint now) const;
    static double score(const Entry &entry);
    void updateIndexes(BackendServerId id);
    void removeFree(Entry &entry);
    std::optional<BackendServerId> backendServerWithPrefix(std::uint64_t prefixHash) const;
    void recordAffinity(std::uint64_t prefixHash, BackendServerId id);
    void eject(Entry &entry, TimePoint now);
    static void markHealthy(Entry &entry);
    void recordProbeOutcome(Entry &entry, const SlotReport &report, TimePoint now);
    void recordOutcome(Entry &entry, const SlotReport &report, TimePoint now);
    double medianOf(MovingAverage Entry::*average) const;
    BackendServerId addEntry();
    void removeIfUnused(BackendServerId id);

    Options options_;
    std::vector<Entry> entries_;
    std::unordered_map<std::string, BackendServerId> byName_;
    AffinityList affinity_;
    std::unordered_map<std::uint64_t, AffinityList::iterator> affinityByHash_;
    std::vector<FreeBackendServer> free_;
    // Backend servers that accept requests and are set aside.
    std::set<BackendServerId> ejected_;
    // Backend servers that accept requests and are not set aside.
    unsigned healthyCount_ = 0;
    // First free backend server to look at, so that equally loaded backend servers take turns.
    std::size_t scanStart_ = 0;
};

} // namespace auburn
