#include "auburn/routing/recentsuccesses.h"

namespace auburn::routing {

namespace {

// About 4 MB.
constexpr std::size_t kMaxSuccesses = 32768;

} // namespace

void RecentSuccesses::record(const Success &success)
{
    const auto found = byCause_.find(success.cause);
    if (found != byCause_.end()) {
        *found->second = success;
        successes_.splice(successes_.begin(), successes_, found->second);
        return;
    }
    if (byCause_.size() >= kMaxSuccesses) {
        byCause_.erase(successes_.back().cause);
        successes_.pop_back();
    }
    successes_.push_front(success);
    byCause_.emplace(success.cause, successes_.begin());
}

RecentSuccesses::Success *RecentSuccesses::find(std::uint64_t cause)
{
    const auto found = byCause_.find(cause);
    return found == byCause_.end() ? nullptr : &*found->second;
}

const RecentSuccesses::Success *RecentSuccesses::find(std::uint64_t cause) const
{
    const auto found = byCause_.find(cause);
    return found == byCause_.end() ? nullptr : &*found->second;
}

} // namespace auburn::routing
