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
    return views_.emplace(serverId, ServerView(service.name, static_cast<std::uint64_t>(capacity)))
            .first->second;
}

const ServerView &Placement::findView(const std::string &serverId) const
{
    static const ServerView empty("", 0);
    const auto found = views_.find(serverId);
    return found == views_.end() ? empty : found->second;
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
    for (const BackendServer *server : servers)
        view(server->id, *query.service);
    Candidates candidates = makeCandidates(servers, query, now);
    if (usesStreamPool(query) && !candidates.all.empty())
        arrangeStreamPool(candidates, pools_[query.service->name], query, now);
    return decide(candidates, query, now);
}

std::optional<PlacementChoice> Placement::decide(const Candidates &candidates,
                                                 const PlacementQuery &query, TimePoint now) const
{
    auto onTime = chooseLowestCost(candidates, query, query.urgency.onTime, now);
    if (!onTime || !shouldUseLateUrgency(query, *onTime))
        return onTime;
    return chooseLowestCost(candidates, query, query.urgency.late, now);
}

Explanation Placement::explain(const ServerDirectory &directory, const PlacementQuery &query,
                               TimePoint now) const
{
    Explanation result;
    const std::string &service = query.service->name;
    Candidates candidates = makeCandidates(directory.availableServers(service, now), query, now);
    const auto pool = pools_.find(service);
    StreamPool poolCopy = pool == pools_.end() ? StreamPool() : pool->second;
    if (usesStreamPool(query) && !candidates.all.empty())
        arrangeStreamPool(candidates, poolCopy, query, now);
    result.choice = decide(candidates, query, now);
    const PromptLocation location = locatePrompt(candidates, query, now);
    const int urgency = result.choice ? result.choice->urgency : query.urgency.onTime;
    for (std::size_t i = 0; i < candidates.all.size(); ++i) {
        const Assessment assessment = assess(candidates, i, location, query, urgency, now);
        const BackendServer &server = *candidates.all[i].server;
        ExplainedServer explained = describe(server, now);
        explained.excluded = isExcluded(query, server) ? "excluded_by_query" : "";
        explained.cost = assessment.cost;
        explained.uncachedTokens = assessment.uncachedTokens;
        explained.slowness = assessment.slowness;
        result.servers.push_back(std::move(explained));
    }
    directory.visit([&](const BackendServer &server) {
        const std::string_view reason = server.service == service
                                                ? exclusion(directory, server, *query.service, now)
                                                : std::string_view();
        if (reason.empty())
            return;
        ExplainedServer explained = describe(server, now);
        explained.excluded = reason;
        const auto returnAt = directory.availability().returnTime(server.id, server.startedAtUnixMs,
                                                                  now);
        if (returnAt)
            explained.returnsIn = std::chrono::ceil<std::chrono::milliseconds>(*returnAt - now);
        result.servers.push_back(std::move(explained));
    });
    return result;
}

ExplainedServer Placement::describe(const BackendServer &server, TimePoint now) const
{
    const ServerView &known = findView(server.id);
    const unsigned knownRequests = known.totalLoad(now).running;
    return { .serverId = server.id,
             .isAvoided = known.isAvoided(now),
             .isFull = knownRequests >= server.slots,
             .reportAge = known.reportAge(now),
             .slots = server.slots,
             .ownRequests = known.ownLoad().running,
             .knownRequests = knownRequests };
}

std::string_view Placement::exclusion(const ServerDirectory &directory, const BackendServer &server,
                                      const Service &service, TimePoint now)
{
    if (directory.isAvailable(server.id, now))
        return leavesTooSoon(server, service, now) ? "leaving" : "";
    if (directory.availability().returnTime(server.id, server.startedAtUnixMs, now))
        return "backing_off";
    return server.state == ServerState::Draining ? "draining" : "withdrawn";
}

Placement::Candidates Placement::makeCandidates(const std::vector<const BackendServer *> &servers,
                                                const PlacementQuery &query, TimePoint now) const
{
    Candidates candidates;
    candidates.all.reserve(servers.size());
    const auto budget = probes_.find(query.service->name);
    const bool allowsProbe = budget == probes_.end() || budget->second.allowsProbe();
    const CommonWorkTime &common = commonWorkTimeOf(query.service->name);
    for (const BackendServer *server : servers) {
        if (leavesTooSoon(*server, *query.service, now))
            continue;
        candidates.all.push_back(makeCandidate(*server, allowsProbe, common, now));
        candidates.slownessSum += candidates.all.back().slowness;
        candidates.speedSum += 1 / candidates.all.back().slowness;
    }
    return candidates;
}

const CommonWorkTime &Placement::commonWorkTimeOf(const std::string &service) const
{
    static const CommonWorkTime usual;
    const auto found = commonWorkTimes_.find(service);
    return found == commonWorkTimes_.end() ? usual : found->second;
}

Candidate Placement::makeCandidate(const BackendServer &server, bool allowsProbe,
                                   const CommonWorkTime &common, TimePoint now) const
{
    const ServerView &known = findView(server.id);
    Candidate candidate{ .server = &server, .view = &known, .load = known.totalLoad(now) };
    const SpeedEstimator &speed = known.speed();
    if (!speed.isKnown()) {
        candidate.slowness = known.slowness(now);
        return candidate;
    }
    const bool isProbed = allowsProbe && known.ownLoad().running == 0
                          && speed.needsProbe(now, common);
    candidate.slowness = isProbed ? 1 : speed.workTime(now, common);
    candidate.learned = LearnedState{
        .running = known.estimatedRunning(candidate.load.running, now),
        .usefulConcurrency = speed.usefulConcurrency(server.slots, now),
        .isProbed = isProbed
    };
    return candidate;
}

// A reported work time is exact, so servers faster than the others count as well. It is related to
// the mean speed of all servers: if all of them are slower at once, no prediction changes.
double Placement::slownessAmong(const Candidates &candidates, const Candidate &candidate)
{
    const std::size_t servers = candidates.all.size();
    if (!candidate.learned)
        return relativeSlowness(candidate.slowness, candidates.slownessSum, servers);
    return candidate.slowness * candidates.speedSum / static_cast<double>(servers);
}

bool Placement::usesStreamPool(const PlacementQuery &query) const
{
    return query.gapSensitiveStream || pools_.contains(query.service->name);
}

void Placement::arrangeStreamPool(Candidates &candidates, StreamPool &pool,
                                  const PlacementQuery &query, TimePoint now)
{
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
    result.cost = { .predicted = predictEngine(candidate, result.uncachedTokens, slowness, urgency,
                                               now),
                    .repeatedPrefill = repeatedPrefillCost(repeatedTokens),
                    .neighbours = neighbourCost(candidate.load, result.uncachedTokens),
                    .streamPool = StreamPool::cost(candidate, inPool, query.gapSensitiveStream,
                                                   result.uncachedTokens) };
    return result;
}

Placement::Assessment Placement::assessPlain(const Candidate &candidate, double slowness,
                                             TimePoint now) const
{
    return { .cost = { .predicted = predictPlain(candidate, slowness, now),
                       .crowding = crowdingTime(candidate, slowness, now),
                       .spread = spreadCost(*candidate.server, options_.vm) } };
}

Placement::Assessment Placement::assess(const Candidates &candidates, std::size_t index,
                                        const PromptLocation &location, const PlacementQuery &query,
                                        int urgency, TimePoint now) const
{
    const Candidate &candidate = candidates.all[index];
    const double slowness = slownessAmong(candidates, candidate);
    const bool inPool = index < candidates.poolSize;
    Assessment result = query.service->engine ? assessEngine(candidate, inPool, slowness, location,
                                                             query, urgency, now)
                                              : assessPlain(candidate, slowness, now);
    result.slowness = slowness;
    result.cost.distance = distanceCost(distanceTo(*candidate.server), query.prompt);
    result.cost.straggler = stragglerCost(slowness);
    result.cost.failures = failureCost(*candidate.view, query.repeatable, now);
    return result;
}

std::optional<PlacementChoice> Placement::chooseLowestCost(const Candidates &candidates,
                                                           const PlacementQuery &query, int urgency,
                                                           TimePoint now) const
{
    const PromptLocation location = locatePrompt(candidates, query, now);
    const Candidate *best = nullptr;
    Assessment bestAssessment;
    microseconds lowest{ 0 };
    for (std::size_t i = 0; i < candidates.all.size(); ++i) {
        const Candidate &candidate = candidates.all[i];
        if (isExcluded(query, *candidate.server))
            continue;
        const Assessment assessment = assess(candidates, i, location, query, urgency, now);
        const microseconds cost = assessment.cost.sum();
        if (best && cost >= lowest)
            continue;
        best = &candidate;
        lowest = cost;
        bestAssessment = assessment;
    }
    if (!best)
        return std::nullopt;
    const BackendServer *source = bestAssessment.copySource;
    return PlacementChoice{ .serverId = best->server->id,
                            .address = best->server->address,
                            .predicted = bestAssessment.cost.predicted,
                            .uncachedTokens = bestAssessment.uncachedTokens,
                            .inFlight = best->view->ownLoad().running,
                            .gapSensitiveStream = query.gapSensitiveStream,
                            .copySource = source ? source->id : std::string(),
                            .urgency = urgency,
                            .isProbe = best->learned && best->learned->isProbed,
                            .reportAge = best->view->reportAge(now) };
}

void Placement::attemptStarted(const PlacementChoice &choice, const PlacementQuery &query)
{
    ServerView &server = view(choice.serverId, *query.service);
    server.attemptStarted(choice, query.prompt);
    if (!server.speed().isKnown())
        return;
    ProbeBudget &budget = probes_[query.service->name];
    budget.addRequest();
    if (choice.isProbe)
        budget.spend();
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
    if (found == views_.end())
        return;
    if (!options_.learnedSpeeds)
        report.workTimePercent.reset();
    ServerView &server = found->second;
    server.recordLoadReport(report, commonWorkTimes_[server.service()], now);
}

void Placement::recordSpeedReport(const std::string &serverId, const SpeedEstimator::Report &report)
{
    const auto found = views_.find(serverId);
    if (found != views_.end() && options_.learnedSpeeds)
        found->second.recordSpeedReport(report, commonWorkTimes_[found->second.service()]);
}

std::optional<SpeedEstimator::Report> Placement::speedReport(const std::string &serverId) const
{
    const auto found = views_.find(serverId);
    return found == views_.end() ? std::nullopt : found->second.speed().newestReport();
}

std::vector<Placement::LearnedSpeed> Placement::learnedSpeeds(const ServerDirectory &directory,
                                                              std::size_t limit,
                                                              TimePoint now) const
{
    std::vector<LearnedSpeed> speeds;
    for (const auto &[id, known] : views_) {
        const BackendServer *server = directory.find(id);
        if (speeds.size() >= limit || !server || !known.speed().isKnown())
            continue;
        const SpeedEstimator &speed = known.speed();
        const CommonWorkTime &common = commonWorkTimeOf(known.service());
        speeds.push_back({ .serverId = id,
                           .workTime = speed.workTime(now, common) * common.workTime(),
                           .usefulConcurrency = speed.usefulConcurrency(server->slots, now) });
    }
    return speeds;
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
