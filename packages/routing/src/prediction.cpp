#include "prediction.h"

#include "durations.h"

#include <algorithm>

namespace auburn::routing {

using std::chrono::microseconds;

namespace {

// Prefill speed of an engine in prompt tokens per millisecond, averaged over whole batch steps.
constexpr double kPrefillTokensPerMs = 55.0;
// Time from the admission of a request with no tokens to prefill to its first token.
constexpr double kFirstTokenMs = 75.0;
// Increase of the duration of one batch step for each running request.
constexpr double kStepMsPerRequest = 0.15;
// Time until one of the requests in a full batch ends, if all were placed at once.
constexpr double kFullBatchMs = 1000.0;
// Processing time of one request at a plain service, and its increase for each other request there.
constexpr double kPlainWorkMs = 40.0;
constexpr double kPlainMsPerRequest = 0.5;
// A server is never idle while it fails requests, but one that fails them fast looks so: the share
// of failed attempts counts as this many times its share of use.
constexpr double kFailureCrowding = 8.0;
// Expected delay at a plain service whose useful concurrency is in use. More than the round trip to
// another region, so that requests go there shortly before a queue begins.
constexpr double kCrowdedMs = 60.0;

// Returns the number of tokens that the engine prefills before those of a new request: the more
// urgent ones, and the rest of the prompt in progress, which a more urgent request does not
// interrupt. Since long prompts are in progress for longer, its rest is about one mean prompt.
std::uint64_t tokensAhead(const PeerLoad &load, int urgency)
{
    const std::uint64_t urgent = tokensUpTo(load, urgency);
    const std::uint64_t all = tokensUpTo(load, kLowestUrgency);
    const std::uint64_t meanPrompt = all / std::max(1U, load.waiting);
    return urgent + std::min(all - urgent, meanPrompt);
}

double usableSlots(const Candidate &candidate)
{
    return candidate.learned ? candidate.learned->usefulConcurrency : candidate.server->slots;
}

} // namespace

microseconds prefillTime(std::uint64_t tokens)
{
    return fromMs(static_cast<double>(tokens) / kPrefillTokensPerMs);
}

microseconds predictEngine(const Candidate &candidate, std::uint64_t uncachedTokens,
                           double slowness, int urgency, TimePoint now)
{
    const double slots = usableSlots(candidate);
    unsigned running = candidate.load.running;
    if (const auto report = candidate.view->recentReport(now))
        running = std::max(running, report->running);
    const std::uint64_t ahead = tokensAhead(candidate.load, urgency);
    double ms = kFirstTokenMs + toMs(prefillTime(ahead + uncachedTokens))
                + running * kStepMsPerRequest;
    // A full batch admits the next request only when another one ends.
    if (slots > 0 && running >= slots)
        ms += kFullBatchMs * (running - slots + 1) / slots;
    return fromMs(ms * slowness);
}

microseconds predictPlain(const Candidate &candidate, double slowness, TimePoint now)
{
    const double slots = usableSlots(candidate);
    double busy = candidate.load.running;
    if (candidate.learned)
        busy = candidate.learned->running;
    else if (const auto report = candidate.view->recentReport(now))
        busy = std::max(candidate.load.running, report->running + report->waiting);
    const double queued = busy >= slots ? busy - slots + 1.0 : 0.0;
    const double ms = kPlainWorkMs * (1 + queued / std::max(1.0, slots))
                      + busy * kPlainMsPerRequest;
    return fromMs(ms * slowness);
}

double relativeSlowness(double own, double sum, std::size_t servers)
{
    if (servers < 2)
        return 1;
    const double others = (sum - own) / static_cast<double>(servers - 1);
    return std::max(1.0, own / std::max(1.0, others));
}

microseconds crowdingTime(const Candidate &candidate, double slowness, TimePoint now)
{
    if (!candidate.learned)
        return microseconds(0);
    const double used = candidate.learned->running / candidate.learned->usefulConcurrency;
    const double failures = std::min(1.0, candidate.view->failureShare(now) * kFailureCrowding);
    const double share = std::max(used, failures);
    return fromMs(kCrowdedMs * slowness * share * share);
}

} // namespace auburn::routing
