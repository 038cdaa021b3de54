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

// The configuration of a backend server.
struct BackendServerSpec
{
    std::string name;
    // host:port
    std::string address;
    unsigned slots = 1;
    // False for a draining or leaving backend server, which finishes its requests and gets no new
    // ones.
    bool accepting = true;
    bool operator==(const BackendServerSpec &) const = default;
};

// Number of requests in a backend server's load report, which lags behind the actual load.
struct BackendServerLoad
{
    unsigned running = 0;
    unsigned waiting = 0;
};

// Tracks load, speed and health of the backend servers of one cell and chooses one for each
// request.
//
// Slots in use are counted from grants and releases. Load reports lag behind, so they only add
// weight for work that this owner did not grant. A backend server whose time to first token or
// token gap is far above the median of the cell is a straggler and gets fewer slots. An unreachable
// or crashed backend server is ejected for an exponentially growing time and then probed with a
// single request. The class reads no clock and takes no lock.
class BackendServerTable
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    // Index of a backend server in this table; valid while the backend server is configured or has
    // slots in use.
    using BackendServerId = std::uint32_t;

    struct Options
    {
        // Maximum number of entries of the map from prefix hash to backend server.
        std::size_t affinityCapacity = 4096;
        // Score bonus of the backend server that has the prefix cached, as a fraction of its slots.
        // With half of the slots, a hot prefix spreads to other backend servers before its backend
        // server is full.
        double affinityBonus = 0.5;
        // Ratio to the median from which a backend server counts as a straggler.
        double stragglerRatio = 2.0;
        // Number of releases with timings before a backend server is compared with the median.
        unsigned minSamples = 5;
        // Number of consecutive failed attempts after which a reachable backend server is ejected.
        unsigned maxFailures = 3;
        // Duration of the first ejection; doubles with each failed probe, up to maxBackoff.
        std::chrono::milliseconds initialBackoff{ 500 };
        std::chrono::milliseconds maxBackoff{ 15000 };
        // A probe that is still in progress after this time counts as successful, because a stream
        // may last far longer than the target for the first token, which is 1.8 s.
        std::chrono::milliseconds probeSuccessAfter{ 3000 };
        // Load reports older than this are ignored.
        std::chrono::milliseconds loadReportTtl{ 5000 };
    };

    explicit BackendServerTable(Options options);

    // Replaces the set of backend servers. A removed backend server stays in the table while it has
    // slots in use.
    void configure(const std::vector<BackendServerSpec> &backendServers);

    std::optional<BackendServerId> find(const std::string &name) const;
    const std::string &name(BackendServerId id) const { return entries_[id].spec.name; }
    const std::string &address(BackendServerId id) const { return entries_[id].spec.address; }
    unsigned inUse(BackendServerId id) const { return entries_[id].inUse; }

    // Returns the backend server for a request; empty if no backend server outside excluded has a
    // free slot.
    std::optional<BackendServerId> choose(std::uint64_t prefixHash,
                                          const std::vector<std::string> &excluded,
                                          TimePoint now) const;
    // Takes a slot of a chosen backend server. Returns true if the request is the probe of an
    // ejected backend server.
    bool acquire(BackendServerId id, std::uint64_t prefixHash, TimePoint now);
    // Counts a slot that another owner granted.
    void adopt(BackendServerId id);
    // Frees a slot and records the result of the attempt. probe is the result of acquire().
    void release(BackendServerId id, bool probe, const SlotReport &report, TimePoint now);

    // Records a backend server's load report; an unknown name is ignored.
    void reportLoad(const std::string &name, BackendServerLoad load, TimePoint now);
    // Updates medians, stragglers and probes; call a few times a second.
    void update(TimePoint now);

    bool hasFreeSlot(TimePoint now) const;
    // Returns the earliest time, not before now, at which some backend server outside excluded may
    // take a request; empty if none of them accepts requests.
    std::optional<TimePoint> earliestAvailable(const std::vector<std::string> &excluded,
                                               TimePoint now) const;
    // Return the number of free and of all slots of the backend servers that accept requests and
    // are not ejected.
    unsigned freeSlots() const;
    unsigned totalSlots() const;
    // Returns the time to the first token or the token gap, divided by the median of the cell,
    // whichever ratio is higher, up to 16. Returns 1 for a backend server that is not a straggler.
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
        // False for a vacant entry, which can be reused.
        bool present = false;
        bool configured = false;
        unsigned inUse = 0;
        // Highest number of slots in use since the last load report, and between the last two
        // reports.
        unsigned peak = 0;
        unsigned previousPeak = 0;
        // Number of requests on the backend server that this owner did not grant.
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
        // True if the entry is counted in healthyCount_.
        bool countedHealthy = false;
        std::chrono::milliseconds backoff{ 0 };
        // Position in free_, or kNotFree.
        std::size_t freeIndex = kNotFree;
    };

    // A healthy backend server with a free slot; the one with the lowest score is chosen.
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
    // Backend servers that accept requests and are ejected.
    std::set<BackendServerId> ejected_;
    // Number of backend servers that accept requests and are not ejected.
    unsigned healthyCount_ = 0;
    // Start of the scan over free_; advances with each grant, so that equally loaded backend
    // servers are used in turn.
    std::size_t scanStart_ = 0;
};

} // namespace auburn
