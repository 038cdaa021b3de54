#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace auburn::routing {

// RecentSuccesses remembers the last success with each of a bounded number of causes of crashes.
// Callers choose the causes, so beyond the bound the one whose success is the oldest is forgotten.
class RecentSuccesses
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Success
    {
        std::uint64_t cause = 0;
        TimePoint at;
        // The success has cleared crashes that another daemon blamed on the cause. It does so only
        // once, so that it cannot hide a cause that has begun to crash servers.
        bool used = false;
    };

    RecentSuccesses() = default;
    ~RecentSuccesses() = default;
    // A copy would refer to the list of the original.
    RecentSuccesses(const RecentSuccesses &) = delete;
    RecentSuccesses &operator=(const RecentSuccesses &) = delete;
    RecentSuccesses(RecentSuccesses &&) = default;
    RecentSuccesses &operator=(RecentSuccesses &&) = default;

    // Replaces what is known of the cause.
    void record(const Success &success);
    // Returns null if no success is known. The pointer is valid until the next record().
    Success *find(std::uint64_t cause);
    const Success *find(std::uint64_t cause) const;
    std::size_t size() const { return byCause_.size(); }

private:
    // The latest one first.
    std::list<Success> successes_;
    std::unordered_map<std::uint64_t, std::list<Success>::iterator> byCause_;
};

} // namespace auburn::routing
