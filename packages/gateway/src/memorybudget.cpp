#include "memorybudget.h"

#include <utility>

namespace auburn::gateway {

void MemoryBudget::reportPressure() const
{
    if (pressureHandler_)
        pressureHandler_();
}

HeldMemory::HeldMemory(std::shared_ptr<MemoryBudget> budget)
    : budget_(std::move(budget))
{}

HeldMemory::~HeldMemory()
{
    if (budget_)
        budget_->used_ -= size_;
}

HeldMemory::HeldMemory(HeldMemory &&other) noexcept
    : budget_(std::move(other.budget_))
    , size_(std::exchange(other.size_, 0))
{}

bool HeldMemory::tryResize(std::size_t bytes)
{
    const std::size_t used = budget_->used_ - size_ + bytes;
    const bool isLarge = bytes > MemoryBudget::kSmallHolderBytes;
    const std::size_t limit = isLarge ? budget_->largeHolderLimit() : budget_->limit();
    if (bytes > size_ && used > limit) {
        budget_->reportPressure();
        return false;
    }
    resize(bytes);
    return true;
}

void HeldMemory::resize(std::size_t bytes)
{
    const bool grows = bytes > size_;
    budget_->used_ = budget_->used_ - size_ + bytes;
    size_ = bytes;
    if (grows && budget_->used_ > budget_->pressureThreshold_)
        budget_->reportPressure();
}

} // namespace auburn::gateway
