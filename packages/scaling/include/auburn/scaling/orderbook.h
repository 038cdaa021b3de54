// OrderBook sends the planner's orders to the platform's interface while this daemon holds the
// duties.
//
// An order states the number of servers of a group, so repeating it is harmless. It is sent again
// after an answer that was lost or that says that nothing was done, at a falling rate; the number
// of calls in any second is limited. The book remembers of which groups the platform has no more
// servers.
#pragma once

#include "auburn/core/metrics.h"
#include "auburn/duties/dutyapi.h"
#include "auburn/duties/dutypermit.h"
#include "auburn/scaling/fleetstate.h"
#include "auburn/scaling/groupstatus.h"
#include "auburn/scaling/slidingmaximum.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace auburn::scaling {

class OrderBook
{
public:
    struct Options
    {
        // All must live longer than the book; metrics may be null.
        duties::DutyApi *api = nullptr;
        const duties::DutyPermit *permit = nullptr;
        Metrics *metrics = nullptr;
    };

    explicit OrderBook(Options options);

    // Handles the answers that have arrived and sends those of the orders that are due, shortages
    // first. To be called several times a second with all orders that are in force.
    void update(std::vector<PlannedOrder> orders, TimePoint now);
    // Returns the groups of which the platform had no more servers a moment ago.
    std::set<ServerGroup> unavailable(TimePoint now) const;
    // Returns the groups of spot servers with an order that has waited long for its answer.
    std::set<ServerGroup> unanswered(TimePoint now) const;
    // Returns the last order of each group for which one was sent.
    std::map<ServerGroup, LastOrder> lastOrders(TimePoint now) const;
    // Forgets everything; called when this daemon holds the duties under a new token.
    void reset();

private:
    struct Call
    {
        std::uint64_t number = 0;
        unsigned desired = 0;
        TimePoint sentAt;
    };
    struct SentOrder
    {
        // Its age is not kept.
        LastOrder order;
        TimePoint sentAt;
    };
    struct Entry
    {
        // The last call that the platform accepted.
        std::optional<Call> accepted;
        // The call that has not been answered.
        std::optional<Call> call;
        // For operators; not needed for any decision.
        std::optional<SentOrder> lastSent;
        unsigned failures = 0;
        TimePoint retryAt;
        TimePoint unavailableUntil;
    };
    struct Answer
    {
        ServerGroup group;
        std::uint64_t number = 0;
        duties::CallStatus status = duties::CallStatus::Unknown;
    };

    void handleAnswers(TimePoint now);
    void handleAnswer(const Answer &answer, TimePoint now);
    static bool isDue(const Entry &entry, const PlannedOrder &planned, TimePoint now);
    // Returns false if too many calls were made within the last second.
    bool takeCall(TimePoint now);
    void send(const PlannedOrder &order, const ServerGroup &group, Entry &entry, TimePoint now);

    const Options options_;
    std::map<ServerGroup, Entry> entries_;
    // Answers since the last update; shared with the handlers of calls, which may outlive the book.
    std::shared_ptr<std::vector<Answer>> answers_;
    std::uint64_t nextNumber_ = 1;
    // Times of the calls within the last second.
    std::deque<TimePoint> callTimes_;
};

} // namespace auburn::scaling
