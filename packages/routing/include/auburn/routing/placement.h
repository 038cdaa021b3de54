// Placement: picks the backend server of a request from this daemon's view of all of them.
//
// Every candidate gets a predicted time to the first token (engines) or to the answer (plain
// services) plus the price of its distance; the lowest wins. For engines the prediction is made of
// the prompt tokens that wait there and those of the request that are not cached. All daemons find
// the same home engines for a shared prompt part, so that a part is read by one engine and not by
// several as long as that engine is not overloaded.
//
// A request that cannot be on time yields to those of its rank that can, so that a burst makes some
// requests late and not all of them.
//
// Where a chunk of a prompt between two events would make the pauses of a stream too long, a few
// engines are kept for such streams; their number follows the streams that run.
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

struct PlacementQuery
{
    // For logs.
    std::string requestId;
    const Service *service = nullptr;
    PromptParts prompt;
    Urgency urgency;
    // Time to the first token within which the request is on time, from now.
    std::chrono::milliseconds timeToTarget{ 1000 };
    // Servers that already failed this request.
    std::vector<std::string> excluded;
    // A stream whose pauses suffer where prompts are read; see isGapSensitive().
    bool gapSensitiveStream = false;
    // A failure can be repaired by another attempt.
    bool repeatable = false;
};

struct PlacementChoice
{
    std::string serverId;
    std::string address;
    // Time to the first token or to the answer.
    std::chrono::microseconds predicted{ 0 };
    std::uint64_t uncachedTokens = 0;
    // Requests of this daemon at the server before this one.
    unsigned inFlight = 0;
    bool gapSensitiveStream = false;
    // Urgency at the engine.
    int urgency = 0;
    // Set if another daemon placed the attempt: its address and the number of the attempt there.
    std::string owner;
    std::uint64_t ownerNumber = 0;
    // The server's last own report is so old; empty if there was none.
    std::optional<std::chrono::milliseconds> reportAge;
};

// How an attempt ended, as far as it tells about the server.
enum class AttemptOutcome {
    // A complete answer that is not a server error.
    Succeeded,
    // An answer that reports an error of the server itself.
    ServerError,
    // No connection, a broken or spoiled answer, or silence.
    Failed,
    // The server did not take the request.
    Rejected,
    // The caller left or the request timed out elsewhere.
    Abandoned,
};

std::string_view attemptOutcomeName(AttemptOutcome outcome);

// What a server says of itself with an answer.
struct LoadReport
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

// Uncached prompt tokens of requests without a first token, by urgency.
using WaitingTokens = std::array<std::uint64_t, kLowestUrgency + 1>;

// What a daemon, or all of them, have at a server.
struct PeerLoad
{
    unsigned running = 0;
    // Part of the running ones.
    unsigned gapSensitiveStreams = 0;
    WaitingTokens waitingTokens{};
};

class Placement
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Options
    {
        // Name of this daemon's VM.
        std::string vm;
        std::string failureDomain;
        // Region of each failure domain.
        std::map<std::string, std::string> regions;
    };

    explicit Placement(Options options);

    // The best ready server; empty if the directory has none for the service that is not excluded.
    std::optional<PlacementChoice> choose(const ServerDirectory &directory,
                                          const PlacementQuery &query, TimePoint now);

    // The same among the servers of one cell.
    std::optional<PlacementChoice> chooseInCell(const ServerDirectory &directory, const Cell &cell,
                                                const PlacementQuery &query, TimePoint now);

    // Bookkeeping of one attempt, in this order; first progress may not come.
    void attemptStarted(const PlacementChoice &choice, const PlacementQuery &query);
    void attemptProgressed(const PlacementChoice &choice, std::chrono::microseconds sinceStart,
                           TimePoint now);
    void attemptEnded(const PlacementChoice &choice, bool progressed, AttemptOutcome outcome,
                      TimePoint now);

    void recordLoadReport(const std::string &serverId, LoadReport report, TimePoint now);
    // Everything that the other daemon has under way, by server.
    void recordPeerLoads(const std::string &peer, const std::map<std::string, PeerLoad> &loads,
                         TimePoint now);
    // Forgets everything about a server that was started again or has left.
    void removeServer(const std::string &serverId);

    // This daemon's load at each server with requests, for other daemons.
    std::map<std::string, PeerLoad> ownLoads() const;
    // The failure domain lies in this daemon's region.
    bool isInOwnRegion(const std::string &failureDomain) const;
    // True if the server failed recently and is avoided.
    bool isAvoided(const std::string &serverId, TimePoint now) const;
    std::vector<std::string> avoidedServers(TimePoint now) const;

private:
    struct PeerEntry
    {
        PeerLoad load;
        TimePoint at;
    };
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
        // Measured over predicted time, 1 for a server that behaves as the others.
        double slowness = 1;
        TimePoint slownessAt;
        // Share of recent attempts that failed, falling with time.
        double failureShare = 0;
        TimePoint failureAt;
        unsigned failuresInRow = 0;
        std::optional<TimePoint> avoidUntil;
    };

    // Where a shared part is expected; either may be null.
    struct Homes
    {
        const BackendServer *first = nullptr;
        const BackendServer *second = nullptr;
    };

    // Engines of one service that steady streams share with no long prompts.
    struct StreamPool
    {
        std::size_t size = 0;
        TimePoint changedAt;
        std::optional<TimePoint> lastStream;
    };

    // One server as it is seen at the time of a choice.
    struct Candidate
    {
        const BackendServer *server = nullptr;
        const ServerView *view = nullptr;
        // Of all daemons.
        PeerLoad load;
        double slowness = 1;
    };

    ServerView &view(const std::string &serverId, const Service &service);
    std::optional<PlacementChoice> chooseAmong(const std::vector<const BackendServer *> &servers,
                                               const PlacementQuery &query, TimePoint now);
    std::vector<Candidate> candidatesOf(const std::vector<const BackendServer *> &servers,
                                        const PlacementQuery &query, TimePoint now);
    std::optional<PlacementChoice> cheapest(const std::vector<Candidate> &candidates,
                                            std::size_t poolSize, const PlacementQuery &query,
                                            int urgency, TimePoint now) const;
    // Moves the engines of the stream pool to the front, in an order that all daemons share, and
    // returns their number.
    std::size_t arrangeStreamPool(std::vector<Candidate> &candidates, const PlacementQuery &query,
                                  TimePoint now);
    static std::chrono::microseconds poolCost(const Candidate &candidate, bool inPool,
                                              const PlacementQuery &query, std::uint64_t uncached);
    static double relativeSlowness(double own, double sum, std::size_t servers);
    std::chrono::microseconds distanceCost(const BackendServer &server,
                                           const PlacementQuery &query) const;
    static Homes homeServers(const std::vector<Candidate> &candidates, std::size_t first,
                             const PromptParts &prompt);
    static std::uint64_t expectedUncached(const Candidate &candidate, const Homes &homes,
                                          const PromptParts &prompt);
    static double decayedSlowness(const ServerView &view, TimePoint now);
    static double decayedFailureShare(const ServerView &view, TimePoint now);
    // What this daemon and all others have at the server.
    static PeerLoad totalLoad(const ServerView &view, TimePoint now);
    static std::chrono::microseconds predictEngine(const Candidate &candidate,
                                                   std::uint64_t uncached, double slowness,
                                                   int urgency, TimePoint now);
    // Tokens that an engine reads before those of a new request with the urgency.
    static std::uint64_t tokensAhead(const PeerLoad &load, int urgency);
    static bool mayYield(const PlacementQuery &query, const PlacementChoice &choice);
    // Differs between daemons, so that those without a common view do not all take the same of
    // several equal servers.
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
