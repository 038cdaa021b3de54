// TierQueue: the waiting slot requests of one cell and the order in which they are granted.
//
// Order: tier, then organisation with the fewest slots held, then time. One of every 16 grants made
// while several tiers wait goes to a lower tier (guard share), so no tier starves. The capacity has
// a shared part and a small part reserved for each tier; a higher tier displaces the newest request
// of the lowest tier in the shared part. The class is pure: it reads no clock and takes no lock.
//
// The cost of an operation depends on the number of tiers and on the logarithm of the number of
// waiting requests, which is bounded by the capacity, and not on the number of organisations.
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

struct WaitingRequest
{
    std::string id;
    // 0 is the highest tier.
    unsigned tier = 0;
    std::string organisation;
    // Start of the wait; requests of one organisation and tier are granted in this order.
    std::chrono::steady_clock::time_point since;
    std::chrono::steady_clock::time_point deadline;
};

class TierQueue
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    // True if the request can use one of the slots that are free now.
    using Eligible = std::function<bool(const WaitingRequest &)>;

    struct Options
    {
        unsigned tiers = 8;
        // Waiting requests that any tier can use.
        std::size_t sharedCapacity = 256;
        // Waiting requests that each tier can use in addition.
        std::size_t reservedPerTier = 4;
        // One grant in this many goes to a lower tier while several tiers wait.
        unsigned lowerTierInterval = 16;
    };

    struct Admission
    {
        bool accepted = false;
        // The request that lost its failure domain to the new one.
        std::optional<WaitingRequest> evicted;
    };

    explicit TierQueue(Options options);

    TierQueue(const TierQueue &) = delete;
    TierQueue &operator=(const TierQueue &) = delete;

    // Adds a request. A request whose id is waiting already is accepted without a change.
    Admission push(WaitingRequest request);

    // Removes and returns the request that is next in order. Requests that are not eligible keep
    // their place; at most kMaxSkipped of them are passed over in one call. Does not count the slot
    // as held.
    std::optional<WaitingRequest> grantNext(const Eligible &eligible = {});

    // Removes a request; empty if it is not waiting.
    std::optional<WaitingRequest> cancel(const std::string &id);

    // Removes and returns the requests whose deadline is not after now, earliest first.
    std::vector<WaitingRequest> expire(TimePoint now);

    // Counts one more or one less slot held by an organisation.
    void slotAcquired(const std::string &organisation);
    void slotReleased(const std::string &organisation);

    bool contains(const std::string &id) const { return nodes_.contains(id); }
    std::size_t size() const { return nodes_.size(); }
    std::vector<unsigned> waitingByTier() const;
    // Ids of all waiting requests, in no particular order.
    std::vector<std::string> ids() const;

    // A lower bound of the grants that come before a request pushed now, under the assumption that
    // no waiting request is cancelled or expires. It counts what is ahead under every later course:
    // higher tiers, older requests of the organisation, and organisations of the tier that hold
    // nothing (up to 64). The guard share may pass the higher tiers, at one grant in guardInterval.
    std::size_t grantsAhead(const WaitingRequest &request) const;

    // Requests that one call of grantNext passes over at most; bounds its cost when many waiting
    // requests exclude the backend servers that are free.
    static constexpr unsigned kMaxSkipped = 16;

private:
    struct Order
    {
        TimePoint since;
        std::uint64_t sequence = 0;
        auto operator<=>(const Order &) const = default;
    };

    // Before every request; a wait can begin before the clock's epoch.
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
        // Number of grants when the tier last got one or began to wait.
        std::uint64_t lastGrant = 0;
    };

    Organisation &findOrAddOrganisation(const std::string &name);
    void removeIfUnused(Organisation &organisation);
    // The oldest waiting request of an organisation in a tier; null if there is none.
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
