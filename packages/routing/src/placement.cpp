#include "auburn/routing/placement.h"

#include "auburn/core/hash.h"
#include "auburn/routing/cell.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace auburn::routing {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Prefill speed of an engine in prompt tokens per millisecond, averaged over whole batch steps.
constexpr double kPrefillTokensPerMs = 55.0;
// Time from the admission of a request with no tokens to prefill to its first token.
constexpr double kFirstTokenMs = 75.0;
// Increase of the duration of one batch step for each running request.
constexpr double kStepMsPerRequest = 0.15;
// Processing time of one request at a plain service.
constexpr double kPlainWorkMs = 40.0;
// Round-trip time to another region.
constexpr milliseconds kOtherRegionCost{ 45 };
constexpr milliseconds kOtherDomainCost{ 3 };
// Lower than the cost of another failure domain, higher than that of a few requests in progress.
constexpr microseconds kMaxSpreadCost{ 2000 };
// Traffic between regions is charged; cost for each 1,000 prompt tokens sent to another region.
constexpr microseconds kRegionCostPerKiloToken{ 2000 };
// Prefilling a shared part again delays all requests queued at the engine, not only the one being
// placed. Cost for each 1,000 tokens, in addition to the predicted time.
constexpr microseconds kRepeatedPrefillCostPerKiloToken{ 200000 };
// Share of the shared tokens that is expected to be cached at the first and at the second engine of
// the rendezvous order if this daemon has not sent them there itself.
constexpr double kPrimaryCachedShare = 0.8;
constexpr double kSecondaryCachedShare = 0.2;
// Share of the engine's capacity that is available to the cache; running requests use the rest.
constexpr double kCacheShare = 0.8;
// Half-life, smoothing factor and bounds of the measured slowness of a server.
constexpr milliseconds kSlownessHalfLife{ 4000 };
constexpr double kSlownessGain = 0.3;
constexpr double kSlownessMin = 0.5;
constexpr double kSlownessMax = 10.0;
// A server that is slower than the others by this factor is a straggler; it receives fewer requests
// even if their prompt parts are cached there.
constexpr double kStragglerSlowness = 2.0;
// Cost for each unit of slowness beyond that factor.
constexpr double kStragglerCostMs = 600.0;
// Half-life and smoothing factor of the failure share of a server.
constexpr milliseconds kFailureHalfLife{ 3000 };
constexpr double kFailureGain = 0.25;
// Cost of an expected failure, which is higher if the request cannot be retried.
constexpr double kRepeatableFailureMs = 300.0;
constexpr double kFinalFailureMs = 1500.0;
// Time for which a server is avoided after an attempt that failed or was rejected; doubles with
// each further such attempt in a row.
constexpr milliseconds kInitialAvoidTime{ 400 };
constexpr milliseconds kMaxAvoidTime{ 3200 };
// High enough that avoided servers are selected only if no other is left.
constexpr milliseconds kAvoidCost{ 20000 };
// Share of the slots of the pool's engines that gap-sensitive streams use before the pool grows,
// and the largest share of the engines that the pool may take.
constexpr double kPoolSlotShare = 0.7;
constexpr double kPoolMaxShare = 0.5;
// The pool shrinks by at most one engine within this time.
constexpr milliseconds kPoolShrinkInterval{ 1500 };
// The pool is dissolved after this time without a gap-sensitive stream.
constexpr milliseconds kPoolLifetime{ 8000 };
// Cost of a gap-sensitive stream on an engine outside of the pool, and of another request inside.
constexpr milliseconds kStreamOutsidePoolCost{ 400 };
constexpr milliseconds kPromptInsidePoolCost{ 150 };
// Number of prompt tokens that delays an event of a stream by less than its gap target, and the
// cost of exceeding it.
constexpr std::uint64_t kPoolPromptTokens = 6000;
constexpr milliseconds kLongPromptInsidePoolCost{ 2500 };
// A prompt is large if prefilling it takes more than this share of the time left to its target.
constexpr double kLargePromptShare = 0.5;
// Age up to which the loads reported by other daemons and by the server itself are used.
constexpr milliseconds kPeerLoadLifetime{ 1500 };
constexpr milliseconds kReportLifetime{ 400 };

microseconds fromMs(double ms)
{
    return microseconds(static_cast<std::int64_t>(ms * 1000));
}

double toMs(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double exponentialDecay(std::chrono::steady_clock::duration age, milliseconds halfLife)
{
    return std::exp2(-toMs(age) / static_cast<double>(halfLife.count()));
}

void subtractWaiting(std::uint64_t &waiting, std::uint64_t tokens)
{
    waiting -= std::min(waiting, tokens);
}

microseconds repeatedPrefillCost(std::uint64_t tokens)
{
    return kRepeatedPrefillCostPerKiloToken * static_cast<std::int64_t>(tokens) / 1000;
}

microseconds stragglerCost(double slowness)
{
    const double excess = std::max(0.0, slowness - kStragglerSlowness);
    return fromMs(excess * kStragglerCostMs);
}

std::uint64_t sharedTokens(const PromptParts &prompt)
{
    return prompt.size() < 2 ? 0 : totalTokens(prompt) - prompt.back().tokens;
}

} // namespace

std::string_view attemptOutcomeName(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Succeeded:
        return "succeeded";
    case AttemptOutcome::ServerError:
        return "server_error";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::Rejected:
        return "rejected";
    case AttemptOutcome::Abandoned:
        return "abandoned";
    }
    return "unknown";
}

Placement::Placement(Options options)
    : options_(std::move(options))
{
    const auto found = options_.regions.find(options_.failureDomain);
    if (found != options_.regions.end())
        region_ = found->second;
}

Placement::ServerView &Placement::view(const std::string &serverId, const Service &service)
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

microseconds Placement::distanceCost(const BackendServer &server, const PlacementQuery &query) const
{
    if (server.failureDomain == options_.failureDomain)
        return microseconds(0);
    if (isInOwnRegion(server.failureDomain))
        return kOtherDomainCost;
    const auto kiloTokens = static_cast<std::int64_t>(totalTokens(query.prompt) / 1000);
    return kOtherRegionCost + kRegionCostPerKiloToken * kiloTokens;
}

// Returns the first two servers in the order of rendezvous hashing, which is the same for all
// daemons.
Placement::AffinityServers Placement::findAffinityServers(const std::vector<Candidate> &candidates,
                                                          std::size_t first,
                                                          const PromptParts &prompt)
{
    AffinityServers affinity;
    if (prompt.empty())
        return affinity;
    const std::uint64_t key = sessionPartId(prompt);
    std::uint64_t firstWeight = 0;
    std::uint64_t secondWeight = 0;
    for (std::size_t i = first; i < candidates.size(); ++i) {
        const BackendServer *server = candidates[i].server;
        const std::uint64_t weight = stableHash(server->id, key);
        if (!affinity.primary || weight > firstWeight) {
            affinity.secondary = affinity.primary;
            secondWeight = firstWeight;
            affinity.primary = server;
            firstWeight = weight;
        } else if (!affinity.secondary || weight > secondWeight) {
            affinity.secondary = server;
            secondWeight = weight;
        }
    }
    return affinity;
}

std::uint64_t Placement::expectedUncached(const Candidate &candidate,
                                          const AffinityServers &affinity,
                                          const PromptParts &prompt)
{
    const std::uint64_t uncached = candidate.view->cache.uncachedTokens(prompt);
    const std::uint64_t shared = sharedTokens(prompt);
    const std::uint64_t own = totalTokens(prompt) - shared;
    double share = 0;
    if (candidate.server == affinity.primary)
        share = kPrimaryCachedShare;
    else if (candidate.server == affinity.secondary)
        share = kSecondaryCachedShare;
    const auto expected = own
                          + static_cast<std::uint64_t>((1 - share) * static_cast<double>(shared));
    return std::min(uncached, expected);
}

double Placement::decayedSlowness(const ServerView &view, TimePoint now)
{
    return 1 + (view.slowness - 1) * exponentialDecay(now - view.slownessAt, kSlownessHalfLife);
}

// Relates the slowness to the average of the other servers, because queues that grow at all servers
// do not make any of them slow.
double Placement::relativeSlowness(double own, double sum, std::size_t servers)
{
    if (servers < 2)
        return 1;
    const double others = (sum - own) / static_cast<double>(servers - 1);
    return std::max(1.0, own / std::max(1.0, others));
}

double Placement::decayedFailureShare(const ServerView &view, TimePoint now)
{
    return view.failureShare * exponentialDecay(now - view.failureAt, kFailureHalfLife);
}

PeerLoad Placement::totalLoad(const ServerView &view, TimePoint now)
{
    PeerLoad total{ .running = view.running,
                    .gapSensitiveStreams = view.gapSensitiveStreams,
                    .waitingTokens = view.waitingTokens };
    for (const auto &[peer, entry] : view.peers) {
        if (now - entry.at > kPeerLoadLifetime)
            continue;
        total.running += entry.load.running;
        total.gapSensitiveStreams += entry.load.gapSensitiveStreams;
        for (std::size_t level = 0; level < total.waitingTokens.size(); ++level)
            total.waitingTokens[level] += entry.load.waitingTokens[level];
    }
    return total;
}

std::uint64_t Placement::tokensAhead(const PeerLoad &load, int urgency)
{
    const auto end = load.waitingTokens.begin() + urgency + 1;
    return std::accumulate(load.waitingTokens.begin(), end, std::uint64_t{ 0 });
}

microseconds Placement::predictEngine(const Candidate &candidate, std::uint64_t uncached,
                                      double slowness, int urgency, TimePoint now)
{
    const ServerView &view = *candidate.view;
    const unsigned slots = candidate.server->slots;
    const auto waiting = static_cast<double>(tokensAhead(candidate.load, urgency));
    unsigned running = candidate.load.running;
    if (view.reportedAt && now - *view.reportedAt < kReportLifetime)
        running = std::max(running, view.report.running);
    const double prefillMs = (waiting + static_cast<double>(uncached)) / kPrefillTokensPerMs;
    double ms = kFirstTokenMs + prefillMs + running * kStepMsPerRequest;
    // A full batch admits the next request only when another one ends.
    if (slots > 0 && running >= slots)
        ms += 1000.0 * (running - slots + 1) / slots;
    return fromMs(ms * slowness);
}

microseconds Placement::predictPlain(const Candidate &candidate, double slowness, TimePoint now)
{
    const ServerView &view = *candidate.view;
    const unsigned slots = candidate.server->slots;
    unsigned busy = candidate.load.running;
    if (view.reportedAt && now - *view.reportedAt < kReportLifetime)
        busy = std::max(busy, view.report.running + view.report.waiting);
    const double queued = busy >= slots ? busy - slots + 1.0 : 0.0;
    const double ms = kPlainWorkMs * (1 + queued / std::max(1U, slots)) + busy * 0.5;
    return fromMs(ms * slowness);
}

microseconds Placement::spreadCost(const BackendServer &server) const
{
    constexpr std::uint64_t kSteps = 1000;
    const std::uint64_t step = stableHash(server.id, stableHash(options_.vm)) % kSteps;
    return kMaxSpreadCost * static_cast<std::int64_t>(step) / static_cast<std::int64_t>(kSteps);
}

microseconds Placement::failureCost(const ServerView &view, bool repeatable, TimePoint now)
{
    if (view.avoidUntil && now < *view.avoidUntil)
        return kAvoidCost;
    const double costMs = repeatable ? kRepeatableFailureMs : kFinalFailureMs;
    return fromMs(decayedFailureShare(view, now) * costMs);
}

std::size_t Placement::arrangeStreamPool(std::vector<Candidate> &candidates,
                                         const PlacementQuery &query, TimePoint now)
{
    const auto found = pools_.find(query.service->name);
    if (candidates.empty() || (!query.gapSensitiveStream && found == pools_.end()))
        return 0;
    StreamPool &pool = pools_[query.service->name];
    if (query.gapSensitiveStream)
        pool.lastStream = now;
    if (!pool.lastStream || now - *pool.lastStream > kPoolLifetime) {
        pool.size = 0;
        return 0;
    }
    double streams = query.gapSensitiveStream ? 1 : 0;
    for (const Candidate &candidate : candidates)
        streams += candidate.load.gapSensitiveStreams;
    const double perEngine = std::max(1.0, kPoolSlotShare * candidates.front().server->slots);
    const auto needed = static_cast<std::size_t>(std::ceil(streams / perEngine));
    const auto largest = static_cast<std::size_t>(
            std::max(1.0, kPoolMaxShare * static_cast<double>(candidates.size())));
    const std::size_t wanted = std::clamp<std::size_t>(needed, 1, largest);
    const bool shrinks = wanted < pool.size && now - pool.changedAt > kPoolShrinkInterval;
    if (wanted > pool.size || shrinks) {
        pool.size = shrinks ? pool.size - 1 : wanted;
        pool.changedAt = now;
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &left, const Candidate &right) {
                  return stableHash(left.server->id) < stableHash(right.server->id);
              });
    return std::min(pool.size, candidates.size());
}

microseconds Placement::poolCost(const Candidate &candidate, bool inPool,
                                 const PlacementQuery &query, std::uint64_t uncached)
{
    if (query.gapSensitiveStream)
        return inPool ? microseconds(0) : microseconds(kStreamOutsidePoolCost);
    if (!inPool)
        return microseconds(0);
    const std::uint64_t tokens = uncached + tokensAhead(candidate.load, kLowestUrgency);
    return tokens > kPoolPromptTokens ? kLongPromptInsidePoolCost : kPromptInsidePoolCost;
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
    std::vector<Candidate> candidates = makeCandidates(servers, query, now);
    const std::size_t poolSize = arrangeStreamPool(candidates, query, now);
    auto onTime = chooseLowestCost(candidates, poolSize, query, query.urgency.onTime, now);
    if (!onTime || !shouldUseLateUrgency(query, *onTime))
        return onTime;
    return chooseLowestCost(candidates, poolSize, query, query.urgency.late, now);
}

std::vector<Placement::Candidate> Placement::makeCandidates(
        const std::vector<const BackendServer *> &servers, const PlacementQuery &query,
        TimePoint now)
{
    std::vector<Candidate> candidates;
    candidates.reserve(servers.size());
    for (const BackendServer *server : servers) {
        const ServerView &known = view(server->id, *query.service);
        candidates.push_back({ .server = server,
                               .view = &known,
                               .load = totalLoad(known, now),
                               .slowness = decayedSlowness(known, now) });
    }
    return candidates;
}

// Large prompts keep their urgency, because they would otherwise wait until the end of a burst.
bool Placement::shouldUseLateUrgency(const PlacementQuery &query, const PlacementChoice &choice)
{
    if (!query.service->engine || query.urgency.late == query.urgency.onTime)
        return false;
    const microseconds target = query.timeToTarget;
    const double prefillMs = static_cast<double>(choice.uncachedTokens) / kPrefillTokensPerMs;
    const bool isLarge = fromMs(prefillMs) > target * kLargePromptShare;
    return !isLarge && choice.predicted > target;
}

std::optional<PlacementChoice> Placement::chooseLowestCost(const std::vector<Candidate> &candidates,
                                                           std::size_t poolSize,
                                                           const PlacementQuery &query, int urgency,
                                                           TimePoint now) const
{
    const AffinityServers affinity = query.gapSensitiveStream
                                             ? AffinityServers()
                                             : findAffinityServers(candidates, poolSize,
                                                                   query.prompt);
    const std::uint64_t ownTokens = totalTokens(query.prompt) - sharedTokens(query.prompt);
    double slownessSum = 0;
    for (const Candidate &candidate : candidates)
        slownessSum += candidate.slowness;
    std::optional<PlacementChoice> best;
    microseconds bestCost{ 0 };
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        const BackendServer *server = candidate.server;
        const ServerView &known = *candidate.view;
        const bool excluded = std::find(query.excluded.begin(), query.excluded.end(), server->id)
                              != query.excluded.end();
        if (excluded)
            continue;
        const double slowness = relativeSlowness(candidate.slowness, slownessSum,
                                                 candidates.size());
        std::uint64_t uncached = 0;
        microseconds predicted{ 0 };
        microseconds spread{ 0 };
        if (query.service->engine) {
            uncached = expectedUncached(candidate, affinity, query.prompt);
            predicted = predictEngine(candidate, uncached, slowness, urgency, now);
        } else {
            predicted = predictPlain(candidate, slowness, now);
            spread = spreadCost(*server);
        }
        const std::uint64_t repeatedTokens = uncached - std::min(uncached, ownTokens);
        const microseconds cost = predicted + spread + distanceCost(*server, query)
                                  + repeatedPrefillCost(repeatedTokens) + stragglerCost(slowness)
                                  + poolCost(candidate, i < poolSize, query, uncached)
                                  + failureCost(known, query.repeatable, now);
        if (best && cost >= bestCost)
            continue;
        bestCost = cost;
        best = PlacementChoice{ .serverId = server->id,
                                .address = server->address,
                                .predicted = predicted,
                                .uncachedTokens = uncached,
                                .inFlight = known.running,
                                .gapSensitiveStream = query.gapSensitiveStream,
                                .urgency = urgency };
        if (known.reportedAt)
            best->reportAge = std::chrono::duration_cast<milliseconds>(now - *known.reportedAt);
    }
    return best;
}

void Placement::attemptStarted(const PlacementChoice &choice, const PlacementQuery &query)
{
    ServerView &server = view(choice.serverId, *query.service);
    ++server.running;
    server.gapSensitiveStreams += choice.gapSensitiveStream ? 1 : 0;
    server.waitingTokens[choice.urgency] += choice.uncachedTokens;
    server.cache.touch(query.prompt);
}

void Placement::attemptProgressed(const PlacementChoice &choice, microseconds sinceStart,
                                  TimePoint now)
{
    const auto found = views_.find(choice.serverId);
    if (found == views_.end())
        return;
    ServerView &server = found->second;
    subtractWaiting(server.waitingTokens[choice.urgency], choice.uncachedTokens);
    const double predictedMs = std::max(10.0, toMs(choice.predicted));
    // The prediction already includes the slowness that was known when it was made.
    const double known = decayedSlowness(server, now);
    const double measured = std::clamp(toMs(sinceStart) / predictedMs * known, kSlownessMin,
                                       kSlownessMax);
    server.slowness = known + (measured - known) * kSlownessGain;
    server.slownessAt = now;
}

void Placement::attemptEnded(const PlacementChoice &choice, bool progressed, AttemptOutcome outcome,
                             TimePoint now)
{
    const auto found = views_.find(choice.serverId);
    if (found == views_.end())
        return;
    ServerView &server = found->second;
    server.running -= std::min(server.running, 1U);
    if (choice.gapSensitiveStream)
        server.gapSensitiveStreams -= std::min(server.gapSensitiveStreams, 1U);
    if (!progressed)
        subtractWaiting(server.waitingTokens[choice.urgency], choice.uncachedTokens);
    if (outcome == AttemptOutcome::Abandoned)
        return;
    const bool failed = outcome != AttemptOutcome::Succeeded;
    const double known = decayedFailureShare(server, now);
    server.failureShare = known + ((failed ? 1.0 : 0.0) - known) * kFailureGain;
    server.failureAt = now;
    const bool avoids = outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::Rejected;
    if (!avoids) {
        server.failuresInRow = 0;
        server.avoidUntil.reset();
        return;
    }
    const unsigned doublings = std::min(server.failuresInRow, 3U);
    ++server.failuresInRow;
    server.avoidUntil = now + std::min(kInitialAvoidTime * (1U << doublings), kMaxAvoidTime);
    if (outcome == AttemptOutcome::Failed && server.failuresInRow >= 2)
        server.cache.clear();
}

void Placement::recordLoadReport(const std::string &serverId, LoadReport report, TimePoint now)
{
    const auto found = views_.find(serverId);
    if (found == views_.end())
        return;
    found->second.report = report;
    found->second.reportedAt = now;
}

void Placement::recordPeerLoads(const std::string &peer,
                                const std::map<std::string, PeerLoad> &loads, TimePoint now)
{
    for (auto &[id, server] : views_) {
        const auto load = loads.find(id);
        if (load == loads.end())
            server.peers.erase(peer);
        else
            server.peers.insert_or_assign(peer, PeerEntry{ .load = load->second, .at = now });
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
        if (server.running > 0)
            loads.emplace(id, PeerLoad{ .running = server.running,
                                        .gapSensitiveStreams = server.gapSensitiveStreams,
                                        .waitingTokens = server.waitingTokens });
    }
    return loads;
}

std::vector<std::string> Placement::avoidedServers(TimePoint now) const
{
    std::vector<std::string> avoided;
    for (const auto &[id, server] : views_) {
        if (server.avoidUntil && now < *server.avoidUntil)
            avoided.push_back(id);
    }
    return avoided;
}

bool Placement::isAvoided(const std::string &serverId, TimePoint now) const
{
    const auto found = views_.find(serverId);
    return found != views_.end() && found->second.avoidUntil && now < *found->second.avoidUntil;
}

} // namespace auburn::routing
