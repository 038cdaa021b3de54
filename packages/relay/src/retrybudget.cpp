#include "retrybudget.h"

#include <algorithm>

namespace auburn {

RetryBudget::RetryBudget(double share, double burst)
    : share_(share)
    , burst_(burst)
    , balance_(burst)
{}

void RetryBudget::addRequest()
{
    const std::lock_guard lock(mutex_);
    balance_ = std::min(burst_, balance_ + share_);
}

bool RetryBudget::takeRetry()
{
    const std::lock_guard lock(mutex_);
    if (balance_ < 1)
        return false;
    balance_ -= 1;
    return true;
}

} // namespace auburn
