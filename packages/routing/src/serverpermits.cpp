#include "auburn/routing/serverpermits.h"

#include <algorithm>

namespace auburn::routing {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

namespace {

// A server that takes no requests is asked now and then, because only a response tells that its
// limit has changed.
constexpr double kMinRequestsPerSecond = 0.1;
// A bucket holds one token and those of this time, so that requests that arrive together find them.
constexpr Seconds kBurstTime{ 0.5 };
// A request that was denied comes back within this time and the time of one token, or not at all.
constexpr Seconds kReturnTime{ 1 };
// A request that has waited for longer than this comes before more urgent ones.
constexpr Seconds kMaxYieldTime{ 5 };
constexpr milliseconds kMinWait{ 20 };
constexpr milliseconds kMaxWait{ 5000 };
// Bounds the memory for servers that are gone.
constexpr std::size_t kMaxServers = 10000;

} // namespace

ServerPermits::Bucket &ServerPermits::bucketOf(const std::string &serverId, TimePoint now)
{
    const auto found = buckets_.find(serverId);
    if (found != buckets_.end())
        return found->second;
    if (buckets_.size() >= kMaxServers)
        buckets_.clear();
    return buckets_.emplace(serverId, Bucket{ .updatedAt = now }).first->second;
}

void ServerPermits::refill(Bucket &bucket, double rate, TimePoint now)
{
    const double capacity = 1 + rate * kBurstTime.count();
    const double earned = rate * Seconds(now - bucket.updatedAt).count();
    bucket.tokens = std::min(capacity, bucket.tokens + earned);
    bucket.updatedAt = now;
}

bool ServerPermits::mustYield(const Bucket &bucket, std::size_t urgency, TimePoint now)
{
    const auto isWaiting = [&](std::size_t level) { return now < bucket.waiting[level].until; };
    const auto isOverdue = [&](std::size_t level) {
        return isWaiting(level) && now - bucket.waiting[level].since > kMaxYieldTime;
    };
    for (std::size_t level = 0; level < kUrgencies; ++level) {
        const bool comesFirst = isOverdue(level) == isOverdue(urgency) ? level < urgency
                                                                       : isOverdue(level);
        if (isWaiting(level) && comesFirst)
            return true;
    }
    return false;
}

void ServerPermits::recordDenial(Waiting &waiting, double rate, TimePoint now)
{
    if (now >= waiting.until)
        waiting.since = now;
    waiting.until = now + std::chrono::ceil<milliseconds>(kReturnTime + Seconds(1 / rate));
}

PermitDecision ServerPermits::decide(const PermitQuery &query, TimePoint now)
{
    if (query.fleetShare <= 0)
        return { .wait = kMaxWait };
    const double rate = std::max(query.requestsPerSecond, kMinRequestsPerSecond)
                        * std::min(query.fleetShare, 1.0);
    const auto urgency = static_cast<std::size_t>(std::clamp(query.urgency, 0, kLowestUrgency));
    Bucket &bucket = bucketOf(query.serverId, now);
    refill(bucket, rate, now);
    if (bucket.tokens >= 1 && !mustYield(bucket, urgency, now)) {
        bucket.tokens -= 1;
        bucket.waiting[urgency] = {};
        return { .granted = true };
    }
    recordDenial(bucket.waiting[urgency], rate, now);
    // A request that yields waits for the token after that of the more urgent one.
    const double missing = bucket.tokens >= 1 ? 1 : 1 - bucket.tokens;
    const auto wait = std::chrono::ceil<milliseconds>(Seconds(missing / rate));
    return { .wait = std::clamp(wait, kMinWait, kMaxWait) };
}

void ServerPermits::remove(const std::string &serverId)
{
    buckets_.erase(serverId);
}

} // namespace auburn::routing
