#include "auburn/core/memorybudget.h"

#include <utility>

namespace auburn {

bool MemoryBudget::tryAdd(std::size_t bytes, std::size_t limit)
{
    std::size_t used = used_.load(std::memory_order_relaxed);
    do {
        if (used + bytes > limit)
            return false;
    } while (!used_.compare_exchange_weak(used, used + bytes, std::memory_order_relaxed));
    return true;
}

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
        budget_->used_.fetch_sub(size_, std::memory_order_relaxed);
}

HeldMemory::HeldMemory(HeldMemory &&other) noexcept
    : budget_(std::move(other.budget_))
    , size_(std::exchange(other.size_, 0))
{}

bool HeldMemory::tryResize(std::size_t bytes)
{
    if (bytes <= size_) {
        resize(bytes);
        return true;
    }
    const bool isLarge = bytes > MemoryBudget::kSmallHolderBytes;
    const std::size_t limit = isLarge ? budget_->largeHolderLimit() : budget_->limit();
    if (!budget_->tryAdd(bytes - size_, limit)) {
        budget_->reportPressure();
        return false;
    }
    size_ = bytes;
    reportGrowth();
    return true;
}

void HeldMemory::resize(std::size_t bytes)
{
    if (bytes <= size_) {
        budget_->used_.fetch_sub(size_ - bytes, std::memory_order_relaxed);
        size_ = bytes;
        return;
    }
    budget_->used_.fetch_add(bytes - size_, std::memory_order_relaxed);
    size_ = bytes;
    reportGrowth();
}

void HeldMemory::reportGrowth() const
{
    if (budget_->used() > budget_->pressureThreshold_)
        budget_->reportPressure();
}

} // namespace auburn
