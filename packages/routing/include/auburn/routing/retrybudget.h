// RetryBudget limits the retries of this daemon so that the retries of all daemons at one service
// stay within a shared limit: in every window, a ratio of the requests for the service plus a fixed
// allowance.
//
// The budget holds tokens, one for each retry, and they only come from two sources:
// - Each request earns a fraction of a token, which expires after half a window. The tokens spent
//   in a window therefore come from the requests of one and a half windows.
// - Each daemon receives an equal part of the allowance over time, once it knows the number of
//   daemons.
//
// A new budget is empty. A daemon that restarts, freezes or is cut off can only lose tokens, so the
// sum stays within the limit without any communication.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

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

    // Sets the number of daemons that divide the allowance, this one included. It must not be less
    // than the actual number; without a number, this daemon uses no part of the allowance.
    void setDaemonCount(std::optional<unsigned> daemons);
    std::optional<unsigned> daemonCount() const { return daemons_; }

    void recordRequest(const std::string &service, TimePoint now);
    // Consumes one retry at the service; returns false if the budget is used up.
    bool tryConsumeRetry(const std::string &service, TimePoint now);

    // Returns the number of retries at the service that could be consumed now.
    unsigned available(const std::string &service, TimePoint now);
    // Returns the number of retries at all services in the last window.
    std::size_t retriesInWindow(TimePoint now) const;

private:
    static constexpr std::size_t kBuckets = 20;

    // Tokens earned by the requests of one interval.
    struct Bucket
    {
        std::int64_t interval = -1;
        double tokens = 0;
    };

    struct ServiceTokens
    {
        std::array<Bucket, kBuckets> earned;
        double allowance = 0;
        TimePoint allowanceUpdatedAt;
    };

    std::int64_t intervalAt(TimePoint now) const;
    bool isValid(const Bucket &bucket, TimePoint now) const;
    ServiceTokens &tokensOf(const std::string &service, TimePoint now);
    void addAllowance(ServiceTokens &tokens, TimePoint now) const;
    double total(const ServiceTokens &tokens, TimePoint now) const;
    // Removes the amount, the tokens that expire first before the others.
    void remove(ServiceTokens &tokens, double amount, TimePoint now) const;

    Options options_;
    std::optional<unsigned> daemons_;
    std::map<std::string, ServiceTokens> services_;
    std::deque<TimePoint> retries_;
};

} // namespace auburn::routing
