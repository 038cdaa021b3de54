// RetryBudget limits the retries of this daemon to its share of the retries that all daemons may
// send within a sliding window.
//
// Each daemon may retry a fixed ratio of its own requests plus an equal part of a fixed allowance.
// The sum over all daemons therefore stays within the limit without any communication between them.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>

namespace auburn::routing {

class RetryBudget
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Options
    {
        // Retries as a ratio of the requests in the window.
        double ratio = 0.2;
        std::chrono::milliseconds window{ 10000 };
        // Additional retries in the window, for all daemons together.
        double allowance = 10;
    };

    explicit RetryBudget(Options options);

    // Sets the number of daemons that divide the allowance, this one included.
    void setDaemonCount(unsigned daemons);
    void recordRequest(TimePoint now);
    // Consumes one retry; returns false if the budget is used up.
    bool tryConsumeRetry(TimePoint now);

    unsigned daemonCount() const { return daemons_; }
    std::uint64_t requestsInWindow(TimePoint now) const;
    std::uint64_t retriesInWindow(TimePoint now) const;

private:
    static constexpr std::size_t kBuckets = 20;
    struct Bucket
    {
        std::int64_t number = -1;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    std::int64_t bucketNumber(TimePoint now) const;
    Bucket &bucket(TimePoint now);
    // Returns the sum of one counter over the window.
    std::uint64_t total(std::uint64_t Bucket::*count, TimePoint now) const;

    const Options options_;
    unsigned daemons_ = 1;
    std::array<Bucket, kBuckets> buckets_;
};

} // namespace auburn::routing
