// GroupTrack follows one server group from the number that was ordered to the servers that are
// listed.
#pragma once

#include "auburn/scaling/fleetstate.h"
#include "auburn/scaling/slidingmaximum.h"

#include <algorithm>
#include <chrono>
#include <deque>

namespace auburn::scaling {

class GroupTrack
{
public:
    // What is known about a group at one moment.
    struct Observation
    {
        unsigned running = 0;
        // The platform has declined to add servers, or is taking some away.
        bool declined = false;
        // An order has not been answered for long.
        bool unanswered = false;
        // Time within which ordered servers are listed, and servers given back no longer are.
        std::chrono::milliseconds arrivalTime{ 0 };
    };

    void observe(const Observation &observation, TimePoint now);
    // Orders a number of servers.
    void order(unsigned wanted, OrderReason reason, TimePoint now);

    unsigned running() const { return running_; }
    // Servers that run once the order has taken effect.
    unsigned wanted() const { return wanted_; }
    // The number of the last order. Servers that come or go by themselves do not change it.
    unsigned ordered() const { return ordered_; }
    OrderReason reason() const { return reason_; }
    TimePoint orderedAt() const { return orderedAt_; }
    // Servers that run, or are starting as far as one can expect; those that are to be given back
    // do not count.
    unsigned expected() const { return isBlocked() ? usable() : wanted_; }
    // Servers that run and are not to be given back.
    unsigned usable() const { return std::min(running_, wanted_); }
    // Servers that were ordered have not arrived yet.
    bool isGrowing() const { return wanted_ > running_; }
    // No more servers are to be ordered at the moment.
    bool isBlocked() const { return declined_ || unanswered_ || overdue_; }
    // Returns true while the order may have to be sent, or sent again.
    bool isOrdered() const { return isOrdered_; }

private:
    // A number of servers that have not all arrived, and the time of its first order.
    struct Growth
    {
        unsigned wanted = 0;
        TimePoint at;
    };

    // Time of the oldest order whose servers have not all come or gone.
    TimePoint oldestOrderAt() const;

    unsigned running_ = 0;
    unsigned wanted_ = 0;
    unsigned ordered_ = 0;
    OrderReason reason_ = OrderReason::Shortage;
    // Set until the listed servers have reached the ordered number.
    bool inTransit_ = false;
    bool isOrdered_ = false;
    bool observed_ = false;
    bool declined_ = false;
    bool unanswered_ = false;
    bool overdue_ = false;
    TimePoint orderedAt_;
    // Orders whose servers have not all arrived, with rising numbers. While the number is raised
    // again and again, only the oldest one shows that servers are late.
    std::deque<Growth> growth_;
};

} // namespace auburn::scaling
