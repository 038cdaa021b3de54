#include "auburn/scaling/orderbook.h"

#include "auburn/core/log.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace auburn::scaling {

using duties::CallStatus;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxCallsPerSecond = 10;
constexpr milliseconds kSecond{ 1000 };
// Delay before a failed call is repeated; it doubles with each further failure of the group.
constexpr milliseconds kInitialRetryDelay{ 500 };
constexpr milliseconds kMaxRetryDelay{ 4000 };
// Time for which no servers are ordered where the platform had none left.
constexpr milliseconds kUnavailableTime{ 5000 };
// An accepted order that is still in force is repeated after this time, in case it was lost.
constexpr milliseconds kRepeatTime{ 7000 };
// An order of spot servers without an answer for this time is not counted on.
constexpr milliseconds kSlowAnswerTime{ 2000 };
// A call without an answer for this time counts as lost, whatever becomes of it.
constexpr milliseconds kLostAnswerTime{ 5000 };

// Number of servers by which the order changes what runs.
unsigned difference(const PlannedOrder &planned)
{
    return std::max(planned.order.desired, planned.running)
           - std::min(planned.order.desired, planned.running);
}

// Returns true if the left order is sent first: what callers wait for, then the largest change.
bool isMoreUrgent(const PlannedOrder &left, const PlannedOrder &right)
{
    if (left.reason != right.reason)
        return left.reason < right.reason;
    return difference(left) > difference(right);
}

OrderResult orderResult(CallStatus status)
{
    if (status == CallStatus::Accepted)
        return OrderResult::Accepted;
    return status == CallStatus::NoneAvailable ? OrderResult::NoneAvailable : OrderResult::Failed;
}

std::string_view kindName(bool spot)
{
    return spot ? "spot" : "on_demand";
}

} // namespace

std::string_view orderResultName(OrderResult result)
{
    switch (result) {
    case OrderResult::Unanswered:
        return "unanswered";
    case OrderResult::Accepted:
        return "accepted";
    case OrderResult::NoneAvailable:
        return "none_available";
    case OrderResult::Failed:
        return "failed";
    }
    return "unknown";
}

OrderBook::OrderBook(Options options)
    : options_(options)
    , answers_(std::make_shared<std::vector<Answer>>())
{}

void OrderBook::reset()
{
    entries_.clear();
    // Answers to earlier calls no longer matter.
    answers_ = std::make_shared<std::vector<Answer>>();
}

void OrderBook::update(std::vector<PlannedOrder> orders, TimePoint now)
{
    handleAnswers(now);
    std::stable_sort(orders.begin(), orders.end(), isMoreUrgent);
    for (const PlannedOrder &planned : orders) {
        const duties::ServerOrder &order = planned.order;
        const ServerGroup group{ .service = order.service,
                                 .failureDomain = order.failureDomain,
                                 .spot = order.spot };
        Entry &entry = entries_[group];
        if (!isDue(entry, planned, now))
            continue;
        if (!options_.permit->isHeld() || !takeCall(now))
            return;
        send(planned, group, entry, now);
    }
}

bool OrderBook::isDue(const Entry &entry, const PlannedOrder &planned, TimePoint now)
{
    if (entry.call || now < entry.retryAt || now < entry.unavailableUntil)
        return false;
    // The same number may be ordered anew, after servers have gone.
    return !entry.accepted || entry.accepted->desired != planned.order.desired
           || entry.accepted->sentAt < planned.decidedAt
           || now - entry.accepted->sentAt >= kRepeatTime;
}

bool OrderBook::takeCall(TimePoint now)
{
    while (!callTimes_.empty() && now - callTimes_.front() >= kSecond)
        callTimes_.pop_front();
    if (callTimes_.size() >= kMaxCallsPerSecond)
        return false;
    callTimes_.push_back(now);
    return true;
}

void OrderBook::send(const PlannedOrder &planned, const ServerGroup &group, Entry &entry,
                     TimePoint now)
{
    const duties::ServerOrder &order = planned.order;
    entry.call = Call{ .number = nextNumber_++, .desired = order.desired, .sentAt = now };
    entry.lastSent = SentOrder{ .order = { .desired = order.desired, .reason = planned.reason },
                                .sentAt = now };
    logEvent(LogLevel::Info, "servers_ordered",
             { { "service", order.service },
               { "failure_domain", order.failureDomain },
               { "kind", kindName(order.spot) },
               { "desired", static_cast<long long>(order.desired) },
               { "running", static_cast<long long>(planned.running) },
               { "needed", static_cast<long long>(planned.needed) },
               { "reason", orderReasonName(planned.reason) } });
    options_.api->orderServers(
            order, [answers = answers_, group, number = entry.call->number](CallStatus status) {
                answers->push_back({ .group = group, .number = number, .status = status });
            });
}

void OrderBook::handleAnswers(TimePoint now)
{
    const std::vector<Answer> answers = std::exchange(*answers_, {});
    for (const Answer &answer : answers)
        handleAnswer(answer, now);
    for (const auto &[group, entry] : entries_) {
        if (entry.call && now - entry.call->sentAt >= kLostAnswerTime)
            handleAnswer({ .group = group, .number = entry.call->number }, now);
    }
}

void OrderBook::handleAnswer(const Answer &answer, TimePoint now)
{
    const auto found = entries_.find(answer.group);
    const bool awaited = found != entries_.end() && found->second.call
                         && found->second.call->number == answer.number;
    if (!awaited)
        return;
    Entry &entry = found->second;
    const Call call = *std::exchange(entry.call, std::nullopt);
    entry.lastSent->order.result = orderResult(answer.status);
    if (options_.metrics)
        options_.metrics
                ->counter("auburn_scaling_orders_total", "Orders of servers by result",
                          { { "result", std::string(duties::callStatusName(answer.status)) } })
                .add();
    if (answer.status == CallStatus::Accepted) {
        entry.accepted = call;
        entry.failures = 0;
        return;
    }
    logEvent(LogLevel::Warning, "server_order_failed",
             { { "service", answer.group.service },
               { "failure_domain", answer.group.failureDomain },
               { "kind", kindName(answer.group.spot) },
               { "desired", static_cast<long long>(call.desired) },
               { "result", duties::callStatusName(answer.status) } });
    if (answer.status == CallStatus::NoneAvailable) {
        entry.unavailableUntil = now + kUnavailableTime;
        entry.failures = 0;
        return;
    }
    // The call may have taken effect, so what was accepted before no longer tells anything.
    entry.accepted.reset();
    const unsigned doublings = std::min(entry.failures, 4U);
    ++entry.failures;
    entry.retryAt = now + std::min(kInitialRetryDelay * (1U << doublings), kMaxRetryDelay);
}

std::set<ServerGroup> OrderBook::unavailable(TimePoint now) const
{
    std::set<ServerGroup> groups;
    for (const auto &[group, entry] : entries_) {
        if (now < entry.unavailableUntil)
            groups.insert(group);
    }
    return groups;
}

std::set<ServerGroup> OrderBook::unanswered(TimePoint now) const
{
    std::set<ServerGroup> groups;
    for (const auto &[group, entry] : entries_) {
        if (group.spot && entry.call && now - entry.call->sentAt >= kSlowAnswerTime)
            groups.insert(group);
    }
    return groups;
}

std::map<ServerGroup, LastOrder> OrderBook::lastOrders(TimePoint now) const
{
    std::map<ServerGroup, LastOrder> orders;
    for (const auto &[group, entry] : entries_) {
        if (!entry.lastSent)
            continue;
        LastOrder &order = orders.emplace(group, entry.lastSent->order).first->second;
        order.age = std::chrono::duration_cast<milliseconds>(now - entry.lastSent->sentAt);
    }
    return orders;
}

} // namespace auburn::scaling
