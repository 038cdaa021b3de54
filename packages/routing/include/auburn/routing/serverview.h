// ServerView is what one daemon knows about one backend server: the requests in progress there, the
// loads that the other daemons and the server itself reported, and how recent attempts went.
#pragma once

#include "auburn/routing/attempt.h"
#include "auburn/routing/commonworktime.h"
#include "auburn/routing/enginecache.h"
#include "auburn/routing/outsideload.h"
#include "auburn/routing/serverload.h"
#include "auburn/routing/speedestimator.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace auburn::routing {

class ServerView
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // The capacity of the engine's prefix cache is in tokens; 0 for a plain service.
    ServerView(std::string service, std::uint64_t cacheTokens);

    // Track one attempt; see Placement.
    void attemptStarted(const PlacementChoice &choice, const PromptParts &prompt);
    void attemptProgressed(const PlacementChoice &choice, std::chrono::microseconds sinceStart,
                           TimePoint now);
    void attemptEnded(const PlacementChoice &choice, bool progressed, AttemptOutcome outcome,
                      TimePoint now);

    // The common work time is that of the service.
    void recordLoadReport(LoadReport report, CommonWorkTime &common, TimePoint now);
    // Replaces the load that another daemon reported.
    void recordPeerLoad(const std::string &peer, const PeerLoad &load, TimePoint now);
    void removePeerLoad(const std::string &peer) { peers_.erase(peer); }

    const std::string &service() const { return service_; }
    const EngineCache &cache() const { return cache_; }
    const PeerLoad &ownLoad() const { return ownLoad_; }
    // Returns the load of this daemon and of all others that reported recently.
    PeerLoad totalLoad(TimePoint now) const;
    // Returns the server's last own report; empty if it is too old to be used.
    std::optional<LoadReport> recentReport(TimePoint now) const;
    // Returns the age of the last own report; empty if there was none.
    std::optional<std::chrono::milliseconds> reportAge(TimePoint now) const;
    // Ratio of measured to predicted time; 1 for a server that behaves as predicted.
    double slowness(TimePoint now) const;
    // What the server's reports of its work time say.
    const SpeedEstimator &speed() const { return speed_; }
    // Records a report of the work time that another daemon forwarded.
    void recordSpeedReport(const SpeedEstimator::Report &report, CommonWorkTime &common);
    // Estimates the requests of all daemons in progress there, given the number known from them.
    double estimatedRunning(unsigned known, TimePoint now) const
    {
        return outside_.estimate(ownLoad_.running, known, now);
    }
    // Exponentially decaying share of recent attempts with an outcome other than Succeeded;
    // Abandoned attempts are not counted.
    double failureShare(TimePoint now) const;
    // Returns true for some time after an attempt that failed or was rejected.
    bool isAvoided(TimePoint now) const { return avoidUntil_ && now < *avoidUntil_; }

private:
    // The last load that another daemon reported.
    struct PeerEntry
    {
        PeerLoad load;
        TimePoint at;
    };

    void recordOutcome(AttemptOutcome outcome, TimePoint now);

    const std::string service_;
    EngineCache cache_;
    PeerLoad ownLoad_;
    std::map<std::string, PeerEntry> peers_;
    LoadReport report_;
    std::optional<TimePoint> reportedAt_;
    SpeedEstimator speed_;
    OutsideLoad outside_;
    double slowness_ = 1;
    TimePoint slownessAt_;
    double failureShare_ = 0;
    TimePoint failureAt_;
    // Number of attempts in a row that failed or were rejected.
    unsigned failuresInRow_ = 0;
    std::optional<TimePoint> avoidUntil_;
};

} // namespace auburn::routing
