// ProbeBudget bounds the share of a service's requests that a daemon sends to servers of which it
// only knows that they were slow.
#pragma once

#include <algorithm>

namespace auburn::routing {

class ProbeBudget
{
public:
    // Counts a request that is placed.
    void addRequest() { allowance_ = std::min(kMaxAllowance, allowance_ + kProbeShare); }
    bool allowsProbe() const { return allowance_ >= 1; }
    void spend() { allowance_ -= 1; }

private:
    // One in 50 requests may take several times as long as usual without moving the 95th percentile
    // of the callers' waiting time.
    static constexpr double kProbeShare = 0.02;
    // Bounds how many servers are probed at once after a pause.
    static constexpr double kMaxAllowance = 2;

    double allowance_ = 1;
};

} // namespace auburn::routing
