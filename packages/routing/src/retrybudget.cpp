#include "auburn/routing/retrybudget.h"

#include <algorithm>

namespace auburn::routing {

namespace {

// Share of the limit that is used; the rest is a margin for requests that this daemon counts later
// than their caller sent them, and for retries that reach a server late.
constexpr double kUsableShare = 0.9;
// Tokens live for half a window, so those spent in one window were earned in one and a half.
constexpr double kEarnedWindows = 1.5;
// The allowance of a window is split between the tokens saved at its start and those received
// during it.
constexpr double kAllowanceParts = 2;
// Sums of fractions may fall short of a whole token by a rounding error.
constexpr double kOneToken = 1 - 1e-9;
// Configurations name few services; this limit only bounds the memory for names that are gone.
constexpr std::size_t kMaxServices = 1024;

} // namespace

RetryBudget::RetryBudget(Options options)
    : options_(options)
{}

void RetryBudget::setDaemonCount(std::optional<unsigned> daemons)
{
    daemons_ = daemons;
}

std::int64_t RetryBudget::intervalAt(TimePoint now) const
{
    const auto width = std::max(options_.window / static_cast<int>(2 * kBuckets),
                                std::chrono::milliseconds(1));
    return now.time_since_epoch() / width;
}

bool RetryBudget::isValid(const Bucket &bucket, TimePoint now) const
{
    return bucket.interval > intervalAt(now) - static_cast<std::int64_t>(kBuckets);
}

RetryBudget::ServiceTokens &RetryBudget::tokensOf(const std::string &service, TimePoint now)
{
    const auto found = services_.find(service);
    if (found != services_.end()) {
        addAllowance(found->second, now);
        return found->second;
    }
    if (services_.size() >= kMaxServices) {
        std::erase_if(services_, [&](const auto &entry) {
            return now - entry.second.allowanceUpdatedAt > options_.window;
        });
    }
    return services_.emplace(service, ServiceTokens{ .allowanceUpdatedAt = now }).first->second;
}

void RetryBudget::addAllowance(ServiceTokens &tokens, TimePoint now) const
{
    const double limit = daemons_ ? kUsableShare * options_.allowance / kAllowanceParts
                                            / std::max(1U, *daemons_)
                                  : 0;
    const double windows = std::chrono::duration<double>(now - tokens.allowanceUpdatedAt)
                           / options_.window;
    tokens.allowance = std::min(limit, tokens.allowance + windows * limit);
    tokens.allowanceUpdatedAt = now;
}

double RetryBudget::total(const ServiceTokens &tokens, TimePoint now) const
{
    double sum = tokens.allowance;
    for (const Bucket &bucket : tokens.earned) {
        if (isValid(bucket, now))
            sum += bucket.tokens;
    }
    return sum;
}

void RetryBudget::remove(ServiceTokens &tokens, double amount, TimePoint now) const
{
    const std::int64_t oldest = intervalAt(now) - static_cast<std::int64_t>(kBuckets) + 1;
    for (std::int64_t interval = oldest; interval <= intervalAt(now); ++interval) {
        Bucket &bucket = tokens.earned[static_cast<std::size_t>(interval) % kBuckets];
        if (bucket.interval != interval)
            continue;
        const double used = std::min(amount, bucket.tokens);
        bucket.tokens -= used;
        amount -= used;
    }
    tokens.allowance = std::max(0.0, tokens.allowance - amount);
}

void RetryBudget::recordRequest(const std::string &service, TimePoint now)
{
    const std::int64_t interval = intervalAt(now);
    Bucket &bucket = tokensOf(service, now).earned[static_cast<std::size_t>(interval) % kBuckets];
    if (bucket.interval != interval)
        bucket = Bucket{ .interval = interval };
    bucket.tokens += kUsableShare * options_.ratio / kEarnedWindows;
}

bool RetryBudget::tryConsumeRetry(const std::string &service, TimePoint now)
{
    ServiceTokens &tokens = tokensOf(service, now);
    if (total(tokens, now) < kOneToken)
        return false;
    remove(tokens, 1, now);
    while (!retries_.empty() && now - retries_.front() > options_.window)
        retries_.pop_front();
    retries_.push_back(now);
    return true;
}

unsigned RetryBudget::available(const std::string &service, TimePoint now)
{
    return static_cast<unsigned>(total(tokensOf(service, now), now) + 1 - kOneToken);
}

std::size_t RetryBudget::retriesInWindow(TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(retries_.begin(), retries_.end(),
                          [&](TimePoint at) { return now - at <= options_.window; }));
}

} // namespace auburn::routing
