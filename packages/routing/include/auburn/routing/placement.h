// Placement selects the backend server for a request from this daemon's view of the load of all
// servers.
//
// Each candidate's cost is its predicted time to the first token (engines) or to the response
// (plain services) plus a network distance cost; the lowest cost wins. For engines the prediction
// is based on the prompt tokens queued there and on the request's tokens that are not cached.
// Rendezvous hashing gives all daemons the same preferred engines for a shared prompt part, so the
// part is prefilled by one engine instead of several as long as that engine is not overloaded.
//
// A request that cannot meet its latency target gives way to requests of the same rank that still
// can, so a burst makes some requests late instead of all of them.
//
// Where one prefill chunk between two events would make a stream's gaps too long, a few engines are
// reserved for such streams; their number follows the number of running streams.
#pragma once

#include "auburn/routing/enginecache.h"
#include "auburn/routing/serverdirectory.h"
#include "auburn/routing/trafficconfig.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::routing {

struct Cell;

// Describes a request for which a server is to be selected.
struct PlacementQuery
{
    // Only used in log lines.
    std::string requestId;
    const Service *service = nullptr;
    PromptParts prompt;
    Urgency urgency;
    // Time left, from now, within which the first token still meets the latency target.
    std::chrono::milliseconds timeToTarget{ 1000 };
    // Ids of servers that must not be used, because an attempt of this request there did not
    // succeed or because they are avoided.
    std::vector<std::string> excluded;
    // A stream whose token gaps grow too long on engines that prefill prompts; see
    // isGapSensitive().
    bool gapSensitiveStream = false;
    // The request can be retried on another server if the attempt fails.
    bool repeatable = false;
};

// The server selected for one attempt, and what the selection was based on. It is passed back with
// every report about the attempt.
struct PlacementChoice
{
    std::string serverId;
    std::string address;
    // Predicted time to the first token or to the response.
    std::chrono::microseconds predicted{ 0 };
    std::uint64_t uncachedTokens = 0;
    // Number of requests that this daemon already had in progress at the server.
    unsigned inFlight = 0;
    bool gapSensitiveStream = false;
    // Urgency with which the request is queued at the engine.
    int urgency = 0;
    // Set if another daemon placed the attempt: the owner's address and the number under which it
    // tracks the attempt.
    std::string owner;
    std::uint64_t ownerNumber = 0;
    // Age of the server's last load report; empty if there was none.
    std::optional<std::chrono::milliseconds> reportAge;
};

// How an attempt ended, as far as the outcome says something about the server.
enum class AttemptOutcome {
    // A complete response other than a server error.
    Succeeded,
    // A response that reports an error of the server itself.
    ServerError,
    // The connection failed, the response was truncated or malformed, or the server did not
    // respond in time.
    Failed,
    // The server did not accept the request.
    Rejected,
    // The attempt ended for a reason that says nothing about the server: the caller disconnected or
    // the request timed out elsewhere.
    Abandoned,
};

std::string_view attemptOutcomeName(AttemptOutcome outcome);

// The load that a server reports about itself with a response.
struct LoadReport
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

// Uncached prompt tokens of requests that have not produced their first token, indexed by urgency.
using WaitingTokens = std::array<std::uint64_t, kLowestUrgency + 1>;

// The load of one daemon, or the total of all daemons, at one server.
struct PeerLoad
{
    unsigned running = 0;
    // Number of gap-sensitive streams among the running requests.
    unsigned gapSensitiveStreams = 0;
    WaitingTokens waitingTokens{};
};

class Placement
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Options
    {
        // Name of the VM that this daemon runs on.
        std::string vm;
        std::string failureDomain;
        // Maps each failure domain to its region.
        std::map<std::string, std::string> regions;
    };

    explicit Placement(Options options);

    // Returns the ready server with the lowest cost; empty if the service has no ready server that
    // is not excluded.
    std::optional<PlacementChoice> choose(const ServerDirectory &directory,
                                          const PlacementQuery &query, TimePoint now);

    // Like choose(), but considers only the servers of one cell.
    std::optional<PlacementChoice> chooseInCell(const ServerDirectory &directory, const Cell &cell,
                                                const PlacementQuery &query, TimePoint now);

    // Track one attempt; called in this order. attemptProgressed() is skipped if the attempt ends
    // before its first token or response.
    void attemptStarted(const PlacementChoice &choice, const PlacementQuery &query);
    void attemptProgressed(const PlacementChoice &choice, std::chrono::microseconds sinceStart,
                           TimePoint now);
    void attemptEnded(const PlacementChoice &choice, bool progressed, AttemptOutcome outcome,
                      TimePoint now);

    // Stores the load that the server itself reported.
    void recordLoadReport(const std::string &serverId, LoadReport report, TimePoint now);
    // Replaces the loads that another daemon reported; servers missing from loads have no requests
    // of that daemon.
    void recordPeerLoads(const std::string &peer, const std::map<std::string, PeerLoad> &loads,
                         TimePoint now);
    // Drops all state of a server that restarted or was removed.
    void removeServer(const std::string &serverId);

    // Returns this daemon's load at each server with running requests, to be sent to the other
    // daemons.
    std::map<std::string, PeerLoad> ownLoads() const;
    // Returns true if the failure domain lies in this daemon's region.
    bool isInOwnRegion(const std::string &failureDomain) const;
    // Returns true if an attempt at the server recently failed or was rejected, so that the server
    // is used only if no other one is left.
    bool isAvoided(const std::string &serverId, TimePoint now) const;
    std::vector<std::string> avoidedServers(TimePoint now) const;

private:
    // The last load that another daemon reported for a server.
    struct PeerEntry
    {
        PeerLoad load;
        TimePoint at;
    };
    // What this daemon knows about one server.
    struct ServerView
    {
        explicit ServerView(std::uint64_t cacheTokens)
            : cache(cacheTokens)
        {}

        EngineCache cache;
        unsigned running = 0;
        unsigned gapSensitiveStreams = 0;
        WaitingTokens waitingTokens{};
        std::map<std::string, PeerEntry> peers;
        LoadReport report;
        std::optional<TimePoint> reportedAt;
        // Ratio of measured to predicted time; 1 for a server that behaves as predicted.
        double slowness = 1;
        TimePoint slownessAt;
        // Exponentially decaying share of recent attempts with an outcome other than Succeeded;
        // Abandoned attempts are not counted.
        double failureShare = 0;
        TimePoint failureAt;
        // Number of attempts in a row that failed or were rejected.
        unsigned failuresInRow = 0;
        // Set after an attempt that failed or was rejected.
        std::optional<TimePoint> avoidUntil;
    };

    // The engines where a shared prompt part is expected to be cached; either may be null.
    struct AffinityServers
    {
        const BackendServer *primary = nullptr;
        const BackendServer *secondary = nullptr;
    };

    // Engines of one service that are reserved for gap-sensitive streams and receive no long
    // prompts.
    struct StreamPool
    {
        std::size_t size = 0;
        TimePoint changedAt;
        std::optional<TimePoint> lastStream;
    };

    // Snapshot of one server's state for one placement decision.
    struct Candidate
    {
        const BackendServer *server = nullptr;
        const ServerView *view = nullptr;
        // Total of all daemons.
        PeerLoad load;
        double slowness = 1;
    };

    ServerView &view(const std::string &serverId, const Service &service);
    std::optional<PlacementChoice> chooseAmong(const std::vector<const BackendServer *> &servers,
                                               const PlacementQuery &query, TimePoint now);
    std::vector<Candidate> makeCandidates(const std::vector<const BackendServer *> &servers,
                                          const PlacementQuery &query, TimePoint now);
    std::optional<PlacementChoice> chooseLowestCost(const std::vector<Candidate> &candidates,
                                                    std::size_t poolSize,
                                                    const PlacementQuery &query, int urgency,
                                                    TimePoint now) const;
    // Resizes the service's stream pool and sorts its engines to the front, in an order that all
    // daemons share. Returns the size of the pool.
    std::size_t arrangeStreamPool(std::vector<Candidate> &candidates, const PlacementQuery &query,
                                  TimePoint now);
    static std::chrono::microseconds poolCost(const Candidate &candidate, bool inPool,
                                              const PlacementQuery &query, std::uint64_t uncached);
    static double relativeSlowness(double own, double sum, std::size_t servers);
    std::chrono::microseconds distanceCost(const BackendServer &server,
                                           const PlacementQuery &query) const;
    static AffinityServers findAffinityServers(const std::vector<Candidate> &candidates,
                                               std::size_t first, const PromptParts &prompt);
    static std::uint64_t expectedUncached(const Candidate &candidate,
                                          const AffinityServers &affinity,
                                          const PromptParts &prompt);
    static double decayedSlowness(const ServerView &view, TimePoint now);
    static double decayedFailureShare(const ServerView &view, TimePoint now);
    // Returns the load of this daemon and of all others at the server.
    static PeerLoad totalLoad(const ServerView &view, TimePoint now);
    static std::chrono::microseconds predictEngine(const Candidate &candidate,
                                                   std::uint64_t uncached, double slowness,
                                                   int urgency, TimePoint now);
    // Returns the number of tokens that the engine prefills before those of a new request with the
    // given urgency.
    static std::uint64_t tokensAhead(const PeerLoad &load, int urgency);
    static bool shouldUseLateUrgency(const PlacementQuery &query, const PlacementChoice &choice);
    // Adds a cost that differs between daemons, so that daemons that do not know each other's load
    // do not all select the same one of several equal servers.
    std::chrono::microseconds spreadCost(const BackendServer &server) const;
    static std::chrono::microseconds predictPlain(const Candidate &candidate, double slowness,
                                                  TimePoint now);
    static std::chrono::microseconds failureCost(const ServerView &view, bool repeatable,
                                                 TimePoint now);

    const Options options_;
    std::string region_;
    std::map<std::string, ServerView> views_;
    std::map<std::string, StreamPool> pools_;
};

} // namespace auburn::routing
