#include "auburn/routing/placement.h"

#include "placementcost.h"
#include "prediction.h"

#include "auburn/routing/cell.h"
#include "auburn/routing/promptaffinity.h"

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
    return chooseAmong(directory.readyServers(query.service->name), query, now);
}

std::optional<PlacementChoice> Placement::chooseInCell(const ServerDirectory &directory,
                                                       const Cell &cell,
                                                       const PlacementQuery &query, TimePoint now)
{
    std::vector<const BackendServer *> servers = directory.readyServers(query.service->name);
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

std::optional<PlacementChoice> Placement::chooseLowestCost(const Candidates &candidates,
                                                           const PlacementQuery &query, int urgency,
                                                           TimePoint now) const
{
    const PromptAffinity affinity = query.gapSensitiveStream
                                            ? PromptAffinity()
                                            : PromptAffinity(candidates.all, candidates.poolSize,
                                                             query.prompt);
    const std::uint64_t ownTokens = totalTokens(query.prompt) - sharedTokens(query.prompt);
    const BackendServer *copySource = query.service->engine
                                              ? affinity.copySource(candidates.all, query, now)
                                              : nullptr;
    std::optional<PlacementChoice> best;
    microseconds bestCost{ 0 };
    for (std::size_t i = 0; i < candidates.all.size(); ++i) {
        const Candidate &candidate = candidates.all[i];
        if (isExcluded(query, candidate.server->id))
            continue;
        const double slowness = relativeSlowness(candidate.slowness, candidates.slownessSum,
                                                 candidates.all.size());
        std::uint64_t uncached = 0;
        bool copies = false;
        microseconds predicted{ 0 };
        microseconds spread{ 0 };
        if (query.service->engine) {
            uncached = affinity.expectedUncached(candidate, query.prompt);
            copies = copySource && copySource != candidate.server && uncached > ownTokens;
            if (copies)
                uncached = uncachedWithCopy(uncached, ownTokens);
            predicted = predictEngine(candidate, uncached, slowness, urgency, now);
        } else {
            predicted = predictPlain(candidate, slowness, now);
            spread = spreadCost(*candidate.server, options_.vm);
        }
        const std::uint64_t repeatedTokens = uncached - std::min(uncached, ownTokens);
        const microseconds cost = predicted + spread
                                  + distanceCost(distanceTo(*candidate.server), query.prompt)
                                  + repeatedPrefillCost(repeatedTokens) + stragglerCost(slowness)
                                  + StreamPool::cost(candidate, i < candidates.poolSize,
                                                     query.gapSensitiveStream, uncached)
                                  + failureCost(*candidate.view, query.repeatable, now);
        if (best && cost >= bestCost)
            continue;
        bestCost = cost;
        best = PlacementChoice{ .serverId = candidate.server->id,
                                .address = candidate.server->address,
                                .predicted = predicted,
                                .uncachedTokens = uncached,
                                .inFlight = candidate.view->ownLoad().running,
                                .gapSensitiveStream = query.gapSensitiveStream,
                                .copySource = copies ? copySource->id : std::string(),
                                .urgency = urgency,
                                .reportAge = candidate.view->reportAge(now) };
    }
    return best;
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
