#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburn {

// A request in the queue.
struct WaitingRequest
{
    std::string id;
    // Priority of the request's class. 0 is the highest tier.
    unsigned tier = 0;
    std::string organisation;
    // Start of the wait; requests of one organisation and tier are granted in this order.
    std::chrono::steady_clock::time_point since;
    std::chrono::steady_clock::time_point deadline;
};

// Queues the waiting slot requests of one cell and decides the order in which they are granted.
//
// Requests are ordered by tier, then by the number of slots that the organisation holds (fewest
// first), then by time. While several tiers wait, one of every 16 grants goes to a lower tier (the
// lower-tier share), so that no tier starves. The capacity has a part shared by all tiers and a
// small part reserved for each tier; a request of a higher tier evicts the newest request of the
// lowest tier from the shared part. The class reads no clock and takes no lock.
//
// The cost of an operation depends on the number of tiers and on the logarithm of the number of
// waiting requests, which is bounded by the capacity, but not on the number of organisations.
class TierQueue
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    // Returns true if the request can use one of the slots that are free now.
    using Eligible = std::function<bool(const WaitingRequest &)>;

    struct Options
    {
        unsigned tiers = 8;
        // Queue capacity shared by all tiers, in requests.
        std::size_t sharedCapacity = 256;
        // Additional queue capacity of each tier, in requests.
        std::size_t reservedPerTier = 4;
        // While several tiers wait, one of this many grants goes to a lower tier.
        unsigned lowerTierInterval = 16;
    };

    // The result of push().
    struct Admission
    {
        bool accepted = false;
        // The request of a lower tier that was removed to make room for the new one.
        std::optional<WaitingRequest> evicted;
    };

    explicit TierQueue(Options options);

    TierQueue(const TierQueue &) = delete;
    TierQueue &operator=(const TierQueue &) = delete;

    // Adds a request. If its id is already in the queue, accepts it and changes nothing.
    Admission push(WaitingRequest request);

    // Removes and returns the next request in order. Ineligible requests keep their position. After
    // kMaxSkipped of them, the call examines only the first request of each further tier. Does not
    // count the slot as held.
    std::optional<WaitingRequest> grantNext(const Eligible &eligible = {});

    // Removes and returns a request; empty if it is not in the queue.
    std::optional<WaitingRequest> cancel(const std::string &id);

    // Removes and returns the requests whose deadline is at or before now, earliest first.
    std::vector<WaitingRequest> expire(TimePoint now);

    // Increments or decrements the number of slots held by an organisation.
    void slotAcquired(const std::string &organisation);
    void slotReleased(const std::string &organisation);

    bool contains(const std::string &id) const { return nodes_.contains(id); }
    std::size_t size() const { return nodes_.size(); }
    // Returns the number of waiting requests of each tier.
    std::vector<unsigned> waitingByTier() const;
    // Returns the ids of all waiting requests, in no particular order.
    std::vector<std::string> ids() const;

    // Returns a lower bound of the number of grants that precede a request pushed now, assuming
    // that no waiting request is cancelled or expires. It counts only what precedes the request
    // whatever happens later: requests of higher tiers, up to 64 older requests of the organisation
    // in the tier, and up to 64 organisations with older requests in the tier that hold no slot.
    // One of lowerTierInterval grants goes to a lower tier, ahead of higher tiers, so the bound is
    // at most lowerTierInterval times the number counted in the own tier.
    std::size_t grantsAhead(const WaitingRequest &request) const;

    // Number of ineligible requests after which a call of grantNext() examines only the first
    // request of each further tier. It bounds the cost of a call when many waiting requests exclude
    // the backend servers that are free.
    static constexpr unsigned kMaxSkipped = 16;

private:
    // The position of a request by time; the sequence number breaks ties.
    struct Order
    {
        TimePoint since;
        std::uint64_t sequence = 0;
        auto operator<=>(const Order &) const = default;
    };

    // Sorts before every request. The time is the minimum because a wait can begin before the
    // clock's epoch.
    static constexpr Order kFirstOrder{ TimePoint::min(), 0 };

    struct Organisation;

    struct Node
    {
        WaitingRequest request;
        Order order;
        Organisation *organisation = nullptr;
    };

    struct Organisation
    {
        std::string name;
        unsigned held = 0;
        // Waiting requests, by tier and time.
        std::map<std::pair<unsigned, Order>, Node *> waiting;
    };

    // The position of an organisation among those waiting in a tier.
    struct Rank
    {
        unsigned held = 0;
        Order head;
        Organisation *organisation = nullptr;
        auto operator<=>(const Rank &other) const
        {
            if (const auto byHeld = held <=> other.held; byHeld != 0)
                return byHeld;
            return head <=> other.head;
        }
        bool operator==(const Rank &other) const
        {
            return held == other.held && head == other.head;
        }
    };

    struct Tier
    {
        std::map<Order, Node *> byTime;
        std::set<Rank> ranks;
        // Value of grants_ when the tier last received a grant or became non-empty.
        std::uint64_t lastGrant = 0;
    };

    Organisation &findOrAddOrganisation(const std::string &name);
    void removeIfUnused(Organisation &organisation);
    // Returns the oldest waiting request of an organisation in a tier; null if there is none.
    static Node *oldestWaiting(const Organisation &organisation, unsigned tier);
    void addRank(Organisation &organisation, unsigned tier);
    void removeRank(Organisation &organisation, unsigned tier);
    void changeHeld(Organisation &organisation, int change);
    WaitingRequest remove(Node &node);
    std::size_t sharedInUse() const;
    unsigned waitingTierCount() const;
    Node *firstEligible(unsigned tier, const Eligible &eligible, unsigned &skipped) const;
    std::optional<unsigned> nextLowerTier() const;
    WaitingRequest grant(Node &node, bool severalTiers, bool lowerTierDue, bool byLowerTierShare);

    Options options_;
    std::vector<Tier> tiers_;
    std::unordered_map<std::string, Node> nodes_;
    std::unordered_map<std::string, Organisation> organisations_;
    std::set<std::pair<TimePoint, Node *>> byDeadline_;
    std::uint64_t nextSequence_ = 1;
    std::uint64_t grants_ = 0;
    unsigned lowerTierCounter_ = 0;
};

} // namespace auburn
