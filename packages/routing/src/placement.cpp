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

// Prompt tokens that an engine reads in a millisecond.
constexpr double kPrefillTokensPerMs = 55.0;
// From the admission of a request with nothing to read to its first token.
constexpr double kFirstTokenMs = 75.0;
// Growth of the time of one batch step for each running request.
constexpr double kStepMsPerRequest = 0.15;
// Work of one request at a plain service.
constexpr double kPlainWorkMs = 40.0;
// Round trip to another region.
constexpr milliseconds kOtherRegionCost{ 45 };
constexpr milliseconds kOtherDomainCost{ 3 };
// Less than the way to another failure domain, more than a few requests in progress.
constexpr microseconds kSpreadCost{ 2000 };
// Bytes of a prompt that cross regions are paid for; cost for each 1,000 tokens.
constexpr microseconds kRegionCostPerKiloToken{ 2000 };
// Reading a shared part again takes an engine's time from all requests that wait there, and not
// only from the one that is placed; cost for each 1,000 tokens beyond the time that is predicted.
constexpr microseconds kRereadCostPerKiloToken{ 200000 };
// Share of the shared tokens that is expected to be cached at the first and the second engine of
// the rendezvous order, where this daemon has not sent them itself.
constexpr double kFirstHomeCachedShare = 0.8;
constexpr double kSecondHomeCachedShare = 0.2;
// Running requests take a part of the memory that the cache could use.
constexpr double kCacheShare = 0.8;
constexpr milliseconds kSlownessHalfLife{ 4000 };
constexpr double kSlownessGain = 0.3;
constexpr double kSlownessMin = 0.5;
constexpr double kSlownessMax = 10.0;
// A server this many times slower than the others is a straggler; cached parts do not keep requests
// there.
constexpr double kStraggler = 2.0;
constexpr double kStraggleMs = 600.0;
constexpr milliseconds kFailureHalfLife{ 3000 };
constexpr double kFailureGain = 0.25;
// Cost of an expected failure; one that cannot be repaired by a retry is dearer.
constexpr double kRepeatableFailureMs = 300.0;
constexpr double kFinalFailureMs = 1500.0;
constexpr milliseconds kAvoidFirst{ 400 };
constexpr milliseconds kAvoidMax{ 3200 };
// Avoided servers are taken only when no other is left.
constexpr milliseconds kAvoidCost{ 20000 };
// Part of an engine's slots that steady streams use before the pool grows, and the largest part of
// the engines in the pool.
constexpr double kPoolSlotShare = 0.7;
constexpr double kPoolMaxShare = 0.5;
constexpr milliseconds kPoolShrinkPause{ 1500 };
// The pool is given up after this time without a steady stream.
constexpr milliseconds kPoolLifetime{ 8000 };
constexpr milliseconds kStreamOutsidePoolCost{ 400 };
constexpr milliseconds kPromptInsidePoolCost{ 150 };
// Prompt tokens that delay an event of a stream by less than its longest pause, and the cost of
// more.
constexpr std::uint64_t kPoolPromptTokens = 6000;
constexpr milliseconds kLongPromptInsidePoolCost{ 2500 };
// A prompt that takes this part of its target to read is large.
constexpr double kLargePromptShare = 0.5;
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

double halvings(std::chrono::steady_clock::duration age, milliseconds halfLife)
{
    return std::exp2(-toMs(age) / static_cast<double>(halfLife.count()));
}

void dropWaiting(std::uint64_t &waiting, std::uint64_t tokens)
{
    waiting -= std::min(waiting, tokens);
}

microseconds rereadCost(std::uint64_t tokens)
{
    return kRereadCostPerKiloToken * static_cast<std::int64_t>(tokens) / 1000;
}

microseconds straggleCost(double slowness)
{
    const double excess = std::max(0.0, slowness - kStraggler);
    return fromMs(excess * kStraggleMs);
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

// The first two servers by rendezvous hashing, which every daemon finds alike.
Placement::Homes Placement::homeServers(const std::vector<Candidate> &candidates, std::size_t first,
                                        const PromptParts &prompt)
{
    Homes homes;
    if (prompt.empty())
        return homes;
    const std::uint64_t key = sessionPartId(prompt);
    std::uint64_t firstWeight = 0;
    std::uint64_t secondWeight = 0;
    for (std::size_t i = first; i < candidates.size(); ++i) {
        const BackendServer *server = candidates[i].server;
        const std::uint64_t weight = stableHash(server->id, key);
        if (!homes.first || weight > firstWeight) {
            homes.second = homes.first;
            secondWeight = firstWeight;
            homes.first = server;
            firstWeight = weight;
        } else if (!homes.second || weight > secondWeight) {
            homes.second = server;
            secondWeight = weight;
        }
    }
    return homes;
}

std::uint64_t Placement::expectedUncached(const Candidate &candidate, const Homes &homes,
                                          const PromptParts &prompt)
{
    const std::uint64_t uncached = candidate.view->cache.uncachedTokens(prompt);
    const std::uint64_t shared = sharedTokens(prompt);
    const std::uint64_t own = totalTokens(prompt) - shared;
    double share = 0;
    if (candidate.server == homes.first)
        share = kFirstHomeCachedShare;
    else if (candidate.server == homes.second)
        share = kSecondHomeCachedShare;
    const auto expected = own
                          + static_cast<std::uint64_t>((1 - share) * static_cast<double>(shared));
    return std::min(uncached, expected);
}

double Placement::decayedSlowness(const ServerView &view, TimePoint now)
{
    return 1 + (view.slowness - 1) * halvings(now - view.slownessAt, kSlownessHalfLife);
}

// Slowness against the average of the other servers, because a queue that grows everywhere makes
// none of them slow.
double Placement::relativeSlowness(double own, double sum, std::size_t servers)
{
    if (servers < 2)
        return 1;
    const double others = (sum - own) / static_cast<double>(servers - 1);
    return std::max(1.0, own / std::max(1.0, others));
}

double Placement::decayedFailureShare(const ServerView &view, TimePoint now)
{
    return view.failureShare * halvings(now - view.failureAt, kFailureHalfLife);
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
    const double readMs = (waiting + static_cast<double>(uncached)) / kPrefillTokensPerMs;
    double ms = kFirstTokenMs + readMs + running * kStepMsPerRequest;
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
    return kSpreadCost * static_cast<std::int64_t>(step) / static_cast<std::int64_t>(kSteps);
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
    const bool shrinks = wanted < pool.size && now - pool.changedAt > kPoolShrinkPause;
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
    std::vector<Candidate> candidates = candidatesOf(servers, query, now);
    const std::size_t poolSize = arrangeStreamPool(candidates, query, now);
    auto onTime = cheapest(candidates, poolSize, query, query.urgency.onTime, now);
    if (!onTime || !mayYield(query, *onTime))
        return onTime;
    return cheapest(candidates, poolSize, query, query.urgency.late, now);
}

std::vector<Placement::Candidate> Placement::candidatesOf(
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

// Large prompts keep their turn: they would otherwise wait for as long as the burst lasts.
bool Placement::mayYield(const PlacementQuery &query, const PlacementChoice &choice)
{
    if (!query.service->engine || query.urgency.late == query.urgency.onTime)
        return false;
    const microseconds target = query.timeToTarget;
    const double readMs = static_cast<double>(choice.uncachedTokens) / kPrefillTokensPerMs;
    const bool isLarge = fromMs(readMs) > target * kLargePromptShare;
    return !isLarge && choice.predicted > target;
}

std::optional<PlacementChoice> Placement::cheapest(const std::vector<Candidate> &candidates,
                                                   std::size_t poolSize,
                                                   const PlacementQuery &query, int urgency,
                                                   TimePoint now) const
{
    const Homes homes = query.gapSensitiveStream ? Homes()
                                                 : homeServers(candidates, poolSize, query.prompt);
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
            uncached = expectedUncached(candidate, homes, query.prompt);
            predicted = predictEngine(candidate, uncached, slowness, urgency, now);
        } else {
            predicted = predictPlain(candidate, slowness, now);
            spread = spreadCost(*server);
        }
        const std::uint64_t reread = uncached - std::min(uncached, ownTokens);
        const microseconds cost = predicted + spread + distanceCost(*server, query)
                                  + rereadCost(reread) + straggleCost(slowness)
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
    dropWaiting(server.waitingTokens[choice.urgency], choice.uncachedTokens);
    const double predictedMs = std::max(10.0, toMs(choice.predicted));
    // The prediction contains the slowness that was known when it was made.
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
        dropWaiting(server.waitingTokens[choice.urgency], choice.uncachedTokens);
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
    server.avoidUntil = now + std::min(kAvoidFirst * (1U << doublings), kAvoidMax);
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
