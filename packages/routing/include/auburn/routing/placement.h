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

#include "auburn/routing/attempt.h"
#include "auburn/routing/candidate.h"
#include "auburn/routing/distance.h"
#include "auburn/routing/explanation.h"
#include "auburn/routing/probebudget.h"
#include "auburn/routing/promptaffinity.h"
#include "auburn/routing/serverdirectory.h"
#include "auburn/routing/serverload.h"
#include "auburn/routing/serverview.h"
#include "auburn/routing/streampool.h"
#include "auburn/routing/trafficconfig.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::routing {

struct Cell;

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
        // Use the work time that servers report; see SpeedEstimator.
        bool learnedSpeeds = true;
    };

    explicit Placement(Options options);

    // Returns the ready server with the lowest cost; empty if the service has no ready server that
    // is not excluded.
    std::optional<PlacementChoice> choose(const ServerDirectory &directory,
                                          const PlacementQuery &query, TimePoint now);

    // Like choose(), but considers only the servers of one cell.
    std::optional<PlacementChoice> chooseInCell(const ServerDirectory &directory, const Cell &cell,
                                                const PlacementQuery &query, TimePoint now);

    // Returns what choose() would return, with the cost of each server or the reason why it is no
    // candidate. Changes nothing.
    Explanation explain(const ServerDirectory &directory, const PlacementQuery &query,
                        TimePoint now) const;

    // Track one attempt; called in this order. attemptProgressed() is skipped if the attempt ends
    // before its first token or response.
    void attemptStarted(const PlacementChoice &choice, const PlacementQuery &query);
    void attemptProgressed(const PlacementChoice &choice, std::chrono::microseconds sinceStart,
                           TimePoint now);
    void attemptEnded(const PlacementChoice &choice, bool progressed, AttemptOutcome outcome,
                      TimePoint now);

    // Stores the load that the server itself reported.
    void recordLoadReport(const std::string &serverId, LoadReport report, TimePoint now);
    // Stores a report of the work time that another daemon forwarded.
    void recordSpeedReport(const std::string &serverId, const SpeedEstimator::Report &report);
    // Returns the newest report of the server's work time; empty if there is none.
    std::optional<SpeedEstimator::Report> speedReport(const std::string &serverId) const;
    // What is learned about one server.
    struct LearnedSpeed
    {
        std::string serverId;
        // As a multiple of the usual one.
        double workTime = 1;
        double usefulConcurrency = 1;
    };
    // Returns the servers that report their work time, at most the given number.
    std::vector<LearnedSpeed> learnedSpeeds(const ServerDirectory &directory, std::size_t limit,
                                            TimePoint now) const;
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
    // The candidates of one query; the first poolSize of them are reserved for gap-sensitive
    // streams.
    struct Candidates
    {
        std::vector<Candidate> all;
        std::size_t poolSize = 0;
        double slownessSum = 0;
        // Sum of the reciprocals of the slownesses.
        double speedSum = 0;
    };

    // Where the shared parts of the query's prompt are expected.
    struct PromptLocation
    {
        PromptAffinity affinity;
        // Null if there is no engine to copy the parts from.
        const BackendServer *copySource = nullptr;
    };
    // The consequences of placing the query at one candidate.
    struct Assessment
    {
        CostParts cost;
        std::uint64_t uncachedTokens = 0;
        double slowness = 1;
        // Null if the candidate copies nothing.
        const BackendServer *copySource = nullptr;
    };

    Distance distanceTo(const BackendServer &server) const;
    // Returns what the daemon knows of the server, without the cost.
    ExplainedServer describe(const BackendServer &server, TimePoint now) const;
    // Returns why the server is no candidate whatever the request; empty if it is one.
    static std::string_view exclusion(const ServerDirectory &directory, const BackendServer &server,
                                      const Service &service, TimePoint now);
    ServerView &view(const std::string &serverId, const Service &service);
    // Returns the view of a server, or an empty one if nothing is known of it.
    const ServerView &findView(const std::string &serverId) const;
    std::optional<PlacementChoice> chooseAmong(const std::vector<const BackendServer *> &servers,
                                               const PlacementQuery &query, TimePoint now);
    // Selects a candidate with the urgency that the query gets.
    std::optional<PlacementChoice> decide(const Candidates &candidates, const PlacementQuery &query,
                                          TimePoint now) const;
    Assessment assess(const Candidates &candidates, std::size_t index,
                      const PromptLocation &location, const PlacementQuery &query, int urgency,
                      TimePoint now) const;
    // Returns the usual speed if nothing is known of the service's servers.
    const CommonWorkTime &commonWorkTimeOf(const std::string &service) const;
    Candidate makeCandidate(const BackendServer &server, bool allowsProbe,
                            const CommonWorkTime &common, TimePoint now) const;
    static double slownessAmong(const Candidates &candidates, const Candidate &candidate);
    Candidates makeCandidates(const std::vector<const BackendServer *> &servers,
                              const PlacementQuery &query, TimePoint now) const;
    std::optional<PlacementChoice> chooseLowestCost(const Candidates &candidates,
                                                    const PlacementQuery &query, int urgency,
                                                    TimePoint now) const;
    static PromptLocation locatePrompt(const Candidates &candidates, const PlacementQuery &query,
                                       TimePoint now);
    static Assessment assessEngine(const Candidate &candidate, bool inPool, double slowness,
                                   const PromptLocation &location, const PlacementQuery &query,
                                   int urgency, TimePoint now);
    Assessment assessPlain(const Candidate &candidate, double slowness, TimePoint now) const;
    // Reserves engines for gap-sensitive streams and sorts them to the front.
    static void arrangeStreamPool(Candidates &candidates, StreamPool &pool,
                                  const PlacementQuery &query, TimePoint now);
    bool usesStreamPool(const PlacementQuery &query) const;
    static bool shouldUseLateUrgency(const PlacementQuery &query, const PlacementChoice &choice);

    const Options options_;
    std::string region_;
    std::map<std::string, ServerView> views_;
    // By service.
    std::map<std::string, StreamPool> pools_;
    std::map<std::string, ProbeBudget> probes_;
    std::map<std::string, CommonWorkTime> commonWorkTimes_;
};

} // namespace auburn::routing
