#include "grouptrack.h"

#include <utility>

namespace auburn::scaling {

void GroupTrack::observe(const Observation &observation, TimePoint now)
{
    running_ = observation.running;
    declined_ = observation.declined;
    unanswered_ = observation.unanswered;
    while (!growth_.empty() && growth_.front().wanted <= running_)
        growth_.pop_front();
    const auto age = now - oldestOrderAt();
    const bool late = inTransit_ && age >= observation.arrivalTime;
    const bool lost = inTransit_ && age >= 2 * observation.arrivalTime;
    const bool arrived = reason_ == OrderReason::Surplus ? running_ <= wanted_
                                                         : running_ >= wanted_;
    const bool declinedGrowth = declined_ && isGrowing();
    overdue_ = false;
    if (!std::exchange(observed_, true) || !inTransit_ || arrived || declinedGrowth || lost) {
        // Servers that come or go without an order are taken as they are.
        inTransit_ = false;
        wanted_ = running_;
        growth_.clear();
    } else if (late) {
        // Servers that are late are not counted on. Their order stays for the same time again,
        // because they may only be slow; an order to give servers back is decided anew.
        overdue_ = isGrowing();
        if (!overdue_)
            wanted_ = running_;
        inTransit_ = overdue_;
    }
    if (declinedGrowth || (!inTransit_ && age >= observation.arrivalTime))
        isOrdered_ = false;
}

void GroupTrack::order(unsigned wanted, OrderReason reason, TimePoint now)
{
    if (wanted == wanted_)
        return;
    // Servers that are still missing after a smaller order were ordered earlier.
    TimePoint since = now;
    while (!growth_.empty() && growth_.back().wanted >= wanted) {
        since = growth_.back().at;
        growth_.pop_back();
    }
    if (wanted > running_)
        growth_.push_back({ .wanted = wanted, .at = since });
    else
        growth_.clear();
    wanted_ = wanted;
    reason_ = reason;
    orderedAt_ = now;
    inTransit_ = true;
    ordered_ = wanted;
    isOrdered_ = true;
}

TimePoint GroupTrack::oldestOrderAt() const
{
    return growth_.empty() ? orderedAt_ : growth_.front().at;
}

} // namespace auburn::scaling
