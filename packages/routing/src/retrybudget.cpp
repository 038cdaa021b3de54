#include "auburn/routing/retrybudget.h"

#include <algorithm>

namespace auburn::routing {

namespace {

// Share of the limit that is used; the rest is a margin for counters elsewhere whose windows start
// at other times.
constexpr double kUsableShare = 0.8;

} // namespace

RetryBudget::RetryBudget(Options options)
    : options_(options)
{}

void RetryBudget::setDaemonCount(unsigned daemons)
{
    daemons_ = std::max(1U, daemons);
}

std::int64_t RetryBudget::bucketNumber(TimePoint now) const
{
    const auto width = std::max(options_.window / static_cast<int>(kBuckets),
                                std::chrono::milliseconds(1));
    return now.time_since_epoch() / width;
}

RetryBudget::Bucket &RetryBudget::bucket(TimePoint now)
{
    const std::int64_t number = bucketNumber(now);
    Bucket &found = buckets_[static_cast<std::size_t>(number) % kBuckets];
    if (found.number != number)
        found = Bucket{ .number = number };
    return found;
}

void RetryBudget::recordRequest(TimePoint now)
{
    ++bucket(now).requests;
}

std::uint64_t RetryBudget::total(std::uint64_t Bucket::*count, TimePoint now) const
{
    const std::int64_t current = bucketNumber(now);
    std::uint64_t sum = 0;
    for (const Bucket &entry : buckets_) {
        if (entry.number > current - static_cast<std::int64_t>(kBuckets))
            sum += entry.*count;
    }
    return sum;
}

std::uint64_t RetryBudget::requestsInWindow(TimePoint now) const
{
    return total(&Bucket::requests, now);
}

std::uint64_t RetryBudget::retriesInWindow(TimePoint now) const
{
    return total(&Bucket::retries, now);
}

bool RetryBudget::tryConsumeRetry(TimePoint now)
{
    const double share = options_.ratio * static_cast<double>(requestsInWindow(now));
    const double limit = kUsableShare * (share + options_.allowance / daemons_);
    if (static_cast<double>(retriesInWindow(now)) + 1 > limit)
        return false;
    ++bucket(now).retries;
    return true;
}

} // namespace auburn::routing
