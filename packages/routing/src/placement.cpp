#include "auburn/routing/placement.h"

#include "placementcost.h"
#include "prediction.h"

#include "auburn/routing/cell.h"

#include <algorithm>
#include <utility>

namespace auburn::routing {

using std::chrono::microseconds;

namespace {

// Share of the engine's capacity that is available to the cache; running requests use the rest.
constexpr double kCacheShare = 0.8;
// A prompt is large if prefilling it takes more than this share of the time left to its target.
constexpr double kLargePromptShare = 0.5;
// Share of the prefill of shared tokens that a copy from another engine costs: the transfer takes
// little time, but the copied parts take up memory of a second engine.
constexpr double kCopyCostShare = 0.5;

// Usual time of a whole request: a stream of an engine, or the response of a plain service.
// Estimates: a stream lasts several seconds, and a plain response takes about 40 ms (see
// prediction.cpp) and rarely ten times as long.
constexpr std::chrono::milliseconds kUsualStreamTime{ 5000 };
constexpr std::chrono::milliseconds kUsualResponseTime{ 500 };

// Returns true if the platform takes the server away before a request that starts now would
// usually end.
bool leavesTooSoon(const BackendServer &server, const Service &service, Placement::TimePoint now)
{
    const auto usual = service.engine ? kUsualStreamTime : kUsualResponseTime;
    return server.leavesAt && *server.leavesAt - now < usual;
}

// Returns the uncached tokens of a prompt whose shared parts are copied from another engine, as
// the number of tokens that are as expensive to prefill.
std::uint64_t uncachedWithCopy(std::uint64_t uncachedTokens, std::uint64_t ownTokens)
{
    const std::uint64_t missing = uncachedTokens - std::min(uncachedTokens, ownTokens);
    const auto copied = static_cast<std::uint64_t>(kCopyCostShare * static_cast<double>(missing));
    return uncachedTokens - missing + copied;
}

} // namespace

Placement::Placement(Options options)
    : options_(std::move(options))
{
    const auto found = options_.regions.find(options_.failureDomain);
    if (found != options_.regions.end())
        region_ = found->second;
}

ServerView &Placement::view(const std::string &serverId, const Service &service)
{
    const auto found = views_.find(serverId);
    if (found != views_.end())
        return found->second;
    const double capacity = service.engine
                                    ? static_cast<double>(service.engine->cacheTokens) * kCacheShare
                                    : 0;
    return views_.emplace(serverId, ServerView(static_cast<std::uint64_t>(capacity))).first->second;
}

bool Placement::isInOwnRegion(const std::string &failureDomain) const
{
    const auto found = options_.regions.find(failureDomain);
    return found != options_.regions.end() && found->second == region_;
}

Distance Placement::distanceTo(const BackendServer &server) const
{
    if (server.failureDomain == options_.failureDomain)
        return Distance::OwnDomain;
    return isInOwnRegion(server.failureDomain) ? Distance::OwnRegion : Distance::OtherRegion;
}

std::optional<PlacementChoice> Placement::choose(const ServerDirectory &directory,
                                                 const PlacementQuery &query, TimePoint now)
{
    return chooseAmong(directory.availableServers(query.service->name, now), query, now);
}

std::optional<PlacementChoice> Placement::chooseInCell(const ServerDirectory &directory,
                                                       const Cell &cell,
                                                       const PlacementQuery &query, TimePoint now)
{
    std::vector<const BackendServer *> servers = directory.availableServers(query.service->name,
                                                                            now);
    std::erase_if(servers,
                  [&cell](const BackendServer *server) { return !cell.contains(*server); });
    return chooseAmong(servers, query, now);
}

std::optional<PlacementChoice> Placement::chooseAmong(
        const std::vector<const BackendServer *> &servers, const PlacementQuery &query,
        TimePoint now)
{
    Candidates candidates = makeCandidates(servers, query, now);
    arrangeStreamPool(candidates, query, now);
    auto onTime = chooseLowestCost(candidates, query, query.urgency.onTime, now);
    if (!onTime || !shouldUseLateUrgency(query, *onTime))
        return onTime;
    return chooseLowestCost(candidates, query, query.urgency.late, now);
}

Placement::Candidates Placement::makeCandidates(const std::vector<const BackendServer *> &servers,
                                                const PlacementQuery &query, TimePoint now)
{
    Candidates candidates;
    candidates.all.reserve(servers.size());
    for (const BackendServer *server : servers) {
        if (leavesTooSoon(*server, *query.service, now))
            continue;
        const ServerView &known = view(server->id, *query.service);
        candidates.all.push_back({ .server = server,
                                   .view = &known,
                                   .load = known.totalLoad(now),
                                   .slowness = known.slowness(now) });
        candidates.slownessSum += candidates.all.back().slowness;
    }
    return candidates;
}

void Placement::arrangeStreamPool(Candidates &candidates, const PlacementQuery &query,
                                  TimePoint now)
{
    const bool hasPool = query.gapSensitiveStream || pools_.contains(query.service->name);
    if (candidates.all.empty() || !hasPool)
        return;
    StreamPool &pool = pools_[query.service->name];
    candidates.poolSize = pool.resize(candidates.all, query.gapSensitiveStream, now);
    if (candidates.poolSize > 0)
        StreamPool::sortCandidates(candidates.all);
}

// Large prompts keep their urgency, because they would otherwise wait until the end of a burst.
bool Placement::shouldUseLateUrgency(const PlacementQuery &query, const PlacementChoice &choice)
{
    if (!query.service->engine || query.urgency.late == query.urgency.onTime)
        return false;
    const microseconds target = query.timeToTarget;
    const bool isLarge = prefillTime(choice.uncachedTokens) > target * kLargePromptShare;
    return !isLarge && choice.predicted > target;
}

Placement::PromptLocation Placement::locatePrompt(const Candidates &candidates,
                                                  const PlacementQuery &query, TimePoint now)
{
    if (!query.service->engine)
        return {};
    PromptLocation location;
    if (!query.gapSensitiveStream)
        location.affinity = PromptAffinity(candidates.all, candidates.poolSize, query.prompt);
    location.copySource = location.affinity.copySource(candidates.all, query, now);
    return location;
}

Placement::Assessment Placement::assessEngine(const Candidate &candidate, bool inPool,
                                              double slowness, const PromptLocation &location,
                                              const PlacementQuery &query, int urgency,
                                              TimePoint now)
{
    const std::uint64_t ownTokens = totalTokens(query.prompt) - sharedTokens(query.prompt);
    Assessment result;
    result.uncachedTokens = location.affinity.expectedUncached(candidate, query.prompt);
    const bool lacksParts = result.uncachedTokens > ownTokens;
    if (lacksParts && location.copySource != candidate.server)
        result.copySource = location.copySource;
    if (result.copySource)
        result.uncachedTokens = uncachedWithCopy(result.uncachedTokens, ownTokens);
    const std::uint64_t repeatedTokens = result.uncachedTokens
                                         - std::min(result.uncachedTokens, ownTokens);
    result.predicted = predictEngine(candidate, result.uncachedTokens, slowness, urgency, now);
    result.cost = result.predicted + repeatedPrefillCost(repeatedTokens)
                  + neighbourCost(candidate.load, result.uncachedTokens)
                  + StreamPool::cost(candidate, inPool, query.gapSensitiveStream,
                                     result.uncachedTokens);
    return result;
}

Placement::Assessment Placement::assessPlain(const Candidate &candidate, double slowness,
                                             TimePoint now) const
{
    const microseconds predicted = predictPlain(candidate, slowness, now);
    return { .predicted = predicted,
             .cost = predicted + spreadCost(*candidate.server, options_.vm) };
}

std::optional<PlacementChoice> Placement::chooseLowestCost(const Candidates &candidates,
                                                           const PlacementQuery &query, int urgency,
                                                           TimePoint now) const
{
    const PromptLocation location = locatePrompt(candidates, query, now);
    const Candidate *best = nullptr;
    Assessment bestAssessment;
    for (std::size_t i = 0; i < candidates.all.size(); ++i) {
        const Candidate &candidate = candidates.all[i];
        if (isExcluded(query, candidate.server->id))
            continue;
        const double slowness = relativeSlowness(candidate.slowness, candidates.slownessSum,
                                                 candidates.all.size());
        const bool inPool = i < candidates.poolSize;
        Assessment assessment = query.service->engine ? assessEngine(candidate, inPool, slowness,
                                                                     location, query, urgency, now)
                                                      : assessPlain(candidate, slowness, now);
        assessment.cost += distanceCost(distanceTo(*candidate.server), query.prompt)
                           + stragglerCost(slowness)
                           + failureCost(*candidate.view, query.repeatable, now);
        if (best && assessment.cost >= bestAssessment.cost)
            continue;
        best = &candidate;
        bestAssessment = assessment;
    }
    if (!best)
        return std::nullopt;
    const BackendServer *source = bestAssessment.copySource;
    return PlacementChoice{ .serverId = best->server->id,
                            .address = best->server->address,
                            .predicted = bestAssessment.predicted,
                            .uncachedTokens = bestAssessment.uncachedTokens,
                            .inFlight = best->view->ownLoad().running,
                            .gapSensitiveStream = query.gapSensitiveStream,
                            .copySource = source ? source->id : std::string(),
                            .urgency = urgency,
                            .reportAge = best->view->reportAge(now) };
}

void Placement::attemptStarted(const PlacementChoice &choice, const PlacementQuery &query)
{
    view(choice.serverId, *query.service).attemptStarted(choice, query.prompt);
}

void Placement::attemptProgressed(const PlacementChoice &choice, microseconds sinceStart,
                                  TimePoint now)
{
    const auto found = views_.find(choice.serverId);
    if (found != views_.end())
        found->second.attemptProgressed(choice, sinceStart, now);
}

void Placement::attemptEnded(const PlacementChoice &choice, bool progressed, AttemptOutcome outcome,
                             TimePoint now)
{
    const auto found = views_.find(choice.serverId);
    if (found != views_.end())
        found->second.attemptEnded(choice, progressed, outcome, now);
}

void Placement::recordLoadReport(const std::string &serverId, LoadReport report, TimePoint now)
{
    const auto found = views_.find(serverId);
    if (found != views_.end())
        found->second.recordLoadReport(report, now);
}

void Placement::recordPeerLoads(const std::string &peer,
                                const std::map<std::string, PeerLoad> &loads, TimePoint now)
{
    for (auto &[id, server] : views_) {
        const auto load = loads.find(id);
        if (load == loads.end())
            server.removePeerLoad(peer);
        else
            server.recordPeerLoad(peer, load->second, now);
    }
}

void Placement::removeServer(const std::string &serverId)
{
    views_.erase(serverId);
}

std::map<std::string, PeerLoad> Placement::ownLoads() const
{
    std::map<std::string, PeerLoad> loads;
    for (const auto &[id, server] : views_) {
        if (server.ownLoad().running > 0)
            loads.emplace(id, server.ownLoad());
    }
    return loads;
}

std::vector<std::string> Placement::avoidedServers(TimePoint now) const
{
    std::vector<std::string> avoided;
    for (const auto &[id, server] : views_) {
        if (server.isAvoided(now))
            avoided.push_back(id);
    }
    return avoided;
}

bool Placement::isAvoided(const std::string &serverId, TimePoint now) const
{
    const auto found = views_.find(serverId);
    return found != views_.end() && found->second.isAvoided(now);
}

} // namespace auburn::routing
