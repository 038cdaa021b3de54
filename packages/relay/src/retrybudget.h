// RetryBudget: a token bucket that limits retries to a share of requests, so that retries cannot
// multiply the load of a failing pool.
#pragma once

#include <mutex>

namespace auburn {

class RetryBudget
{
public:
    // Each request adds share; burst is the largest balance and the one at the start.
    RetryBudget(double share, double burst);

    void addRequest();
    // False if no retry may be made now.
    bool takeRetry();

private:
    const double share_;
    const double burst_;
    std::mutex mutex_;
    double balance_;
};

} // namespace auburn
