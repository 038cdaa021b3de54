#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace auburn {

// MemoryBudget limits the bytes that all connections of a daemon hold together. Each holder is
// bounded by itself, but their sum is not: one faulty backend server, or a few callers with large
// requests, could otherwise use up the memory of the process.
//
// Holders larger than kSmallHolderBytes may use only a part of the limit, so that small requests
// and responses are served while large ones are rejected. Holders may belong to different threads.
class MemoryBudget
{
public:
    static constexpr std::size_t kSmallHolderBytes = std::size_t{ 64 } * 1024;

    explicit MemoryBudget(std::size_t limit)
        : limit_(limit)
    {}

    std::size_t limit() const { return limit_; }
    std::size_t used() const { return used_.load(std::memory_order_relaxed); }
    // The part of the limit that large holders may use, in bytes.
    std::size_t largeHolderLimit() const { return limit_ / 4 * 3; }
    // A share of the limit, in bytes.
    std::size_t percent(unsigned percent) const { return limit_ / 100 * percent; }

    // The handler is called, on the thread of the holder, each time a holder grows while more than
    // the threshold is used, and each time growth is refused. It must not change the holders
    // itself. Not to be called while holders on other threads may grow.
    void setPressureHandler(std::size_t threshold, std::function<void()> handler)
    {
        pressureThreshold_ = threshold;
        pressureHandler_ = std::move(handler);
    }

private:
    friend class HeldMemory;

    // Adds to the used bytes unless they would exceed the limit.
    bool tryAdd(std::size_t bytes, std::size_t limit);
    void reportPressure() const;

    const std::size_t limit_;
    std::atomic<std::size_t> used_{ 0 };
    std::size_t pressureThreshold_ = 0;
    std::function<void()> pressureHandler_;
};

// HeldMemory is the share of one holder, such as a request body, in the budget. It is returned when
// the object is destroyed.
class HeldMemory
{
public:
    explicit HeldMemory(std::shared_ptr<MemoryBudget> budget);
    ~HeldMemory();
    HeldMemory(HeldMemory &&other) noexcept;
    HeldMemory(const HeldMemory &) = delete;
    HeldMemory &operator=(const HeldMemory &) = delete;
    HeldMemory &operator=(HeldMemory &&) = delete;

    // Changes the number of held bytes. Returns false and changes nothing if it would grow beyond
    // the limit; it can always shrink.
    bool tryResize(std::size_t bytes);
    // Changes the number of held bytes, also beyond the limit: for bytes that cannot be rejected
    // any more, such as a response that another holder has just passed on.
    void resize(std::size_t bytes);
    std::size_t size() const { return size_; }

private:
    void reportGrowth() const;

    std::shared_ptr<MemoryBudget> budget_;
    std::size_t size_ = 0;
};

// HeldString is a text whose memory is accounted for as long as it exists.
struct HeldString
{
    std::string text;
    HeldMemory memory;
};

} // namespace auburn
