#include "auburn/schedule/tierqueue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburn {

namespace {

// Maximum number of organisations, and of requests of the own organisation, that grantsAhead()
// counts; bounds its cost.
constexpr std::size_t kMaxCountedAhead = 64;

} // namespace

TierQueue::TierQueue(Options options)
    : options_(options)
    , tiers_(options.tiers)
{
    assert(options.tiers > 0 && options.lowerTierInterval > 0);
}

TierQueue::Admission TierQueue::push(WaitingRequest request)
{
    assert(request.tier < tiers_.size());
    if (nodes_.contains(request.id))
        return { .accepted = true, .evicted = std::nullopt };
    Admission admission{ .accepted = true, .evicted = std::nullopt };
    const bool usesReserve = tiers_[request.tier].byTime.size() < options_.reservedPerTier;
    if (!usesReserve && sharedInUse() >= options_.sharedCapacity) {
        unsigned lowest = options_.tiers - 1;
        while (lowest > request.tier && tiers_[lowest].byTime.size() <= options_.reservedPerTier)
            --lowest;
        if (lowest == request.tier)
            return { .accepted = false, .evicted = std::nullopt };
        admission.evicted = remove(*tiers_[lowest].byTime.rbegin()->second);
    }

    const unsigned tierIndex = request.tier;
    Tier &tier = tiers_[tierIndex];
    if (tier.byTime.empty())
        tier.lastGrant = grants_;
    Organisation &organisation = findOrAddOrganisation(request.organisation);
    const Order order{ .since = request.since, .sequence = nextSequence_++ };
    const std::string id = request.id;
    Node &node = nodes_[id];
    node = Node{ .request = std::move(request), .order = order, .organisation = &organisation };
    removeRank(organisation, tierIndex);
    organisation.waiting.emplace(std::pair(tierIndex, order), &node);
    addRank(organisation, tierIndex);
    tier.byTime.emplace(order, &node);
    byDeadline_.emplace(node.request.deadline, &node);
    return admission;
}

std::optional<WaitingRequest> TierQueue::grantNext(const Eligible &eligible)
{
    const bool severalTiers = waitingTierCount() > 1;
    const bool lowerTierDue = severalTiers && lowerTierCounter_ + 1 >= options_.lowerTierInterval;
    unsigned skipped = 0;
    if (lowerTierDue) {
        Node *node = firstEligible(*nextLowerTier(), eligible, skipped);
        if (node)
            return grant(*node, severalTiers, lowerTierDue, true);
    }
    for (unsigned tier = 0; tier < options_.tiers; ++tier) {
        Node *node = firstEligible(tier, eligible, skipped);
        if (node)
            return grant(*node, severalTiers, lowerTierDue, false);
    }
    return std::nullopt;
}

std::optional<WaitingRequest> TierQueue::cancel(const std::string &id)
{
    const auto found = nodes_.find(id);
    if (found == nodes_.end())
        return std::nullopt;
    return remove(found->second);
}

std::vector<WaitingRequest> TierQueue::expire(TimePoint now)
{
    std::vector<WaitingRequest> expired;
    while (!byDeadline_.empty() && byDeadline_.begin()->first <= now)
        expired.push_back(remove(*byDeadline_.begin()->second));
    return expired;
}

void TierQueue::slotAcquired(const std::string &organisation)
{
    changeHeld(findOrAddOrganisation(organisation), 1);
}

void TierQueue::slotReleased(const std::string &organisation)
{
    const auto found = organisations_.find(organisation);
    if (found == organisations_.end() || found->second.held == 0)
        return;
    changeHeld(found->second, -1);
    removeIfUnused(found->second);
}

std::vector<unsigned> TierQueue::waitingByTier() const
{
    std::vector<unsigned> result;
    result.reserve(tiers_.size());
    for (const Tier &tier : tiers_)
        result.push_back(static_cast<unsigned>(tier.byTime.size()));
    return result;
}

std::vector<std::string> TierQueue::ids() const
{
    std::vector<std::string> result;
    result.reserve(nodes_.size());
    for (const auto &entry : nodes_)
        result.push_back(entry.first);
    return result;
}

std::size_t TierQueue::grantsAhead(const WaitingRequest &request) const
{
    std::size_t higher = 0;
    for (unsigned tier = 0; tier < request.tier; ++tier)
        higher += tiers_[tier].byTime.size();

    std::size_t sameTier = 0;
    const auto own = organisations_.find(request.organisation);
    if (own != organisations_.end()) {
        const auto &waiting = own->second.waiting;
        const auto first = waiting.lower_bound({ request.tier, kFirstOrder });
        const auto last = waiting.upper_bound(
                { request.tier, Order{ .since = request.since, .sequence = nextSequence_ } });
        for (auto it = first; it != last && sameTier < kMaxCountedAhead; ++it)
            ++sameTier;
    }
    std::size_t counted = 0;
    for (const Rank &rank : tiers_[request.tier].ranks) {
        if (rank.held > 0 || rank.head.since > request.since)
            break;
        if (++counted > kMaxCountedAhead)
            break;
        if (rank.organisation->name != request.organisation)
            ++sameTier;
    }
    return std::min(higher + sameTier, sameTier * options_.lowerTierInterval);
}

TierQueue::Organisation &TierQueue::findOrAddOrganisation(const std::string &name)
{
    const auto [found, inserted] = organisations_.try_emplace(name);
    if (inserted)
        found->second.name = name;
    return found->second;
}

void TierQueue::removeIfUnused(Organisation &organisation)
{
    if (organisation.held > 0 || !organisation.waiting.empty())
        return;
    const std::string name = organisation.name;
    organisations_.erase(name);
}

TierQueue::Node *TierQueue::oldestWaiting(const Organisation &organisation, unsigned tier)
{
    const auto first = organisation.waiting.lower_bound({ tier, kFirstOrder });
    const bool found = first != organisation.waiting.end() && first->first.first == tier;
    return found ? first->second : nullptr;
}

void TierQueue::addRank(Organisation &organisation, unsigned tier)
{
    if (const Node *head = oldestWaiting(organisation, tier)) {
        tiers_[tier].ranks.insert(Rank{
                .held = organisation.held, .head = head->order, .organisation = &organisation });
    }
}

void TierQueue::removeRank(Organisation &organisation, unsigned tier)
{
    if (const Node *head = oldestWaiting(organisation, tier)) {
        tiers_[tier].ranks.erase(Rank{
                .held = organisation.held, .head = head->order, .organisation = &organisation });
    }
}

void TierQueue::changeHeld(Organisation &organisation, int change)
{
    const unsigned held = static_cast<unsigned>(static_cast<int>(organisation.held) + change);
    for (auto it = organisation.waiting.begin(); it != organisation.waiting.end();) {
        const unsigned tier = it->first.first;
        Rank rank{ .held = organisation.held,
                   .head = it->first.second,
                   .organisation = &organisation };
        tiers_[tier].ranks.erase(rank);
        rank.held = held;
        tiers_[tier].ranks.insert(rank);
        it = organisation.waiting.lower_bound({ tier + 1, kFirstOrder });
    }
    organisation.held = held;
}

WaitingRequest TierQueue::remove(Node &node)
{
    Organisation &organisation = *node.organisation;
    const unsigned tier = node.request.tier;
    removeRank(organisation, tier);
    organisation.waiting.erase({ tier, node.order });
    addRank(organisation, tier);
    tiers_[tier].byTime.erase(node.order);
    byDeadline_.erase({ node.request.deadline, &node });
    WaitingRequest request = std::move(node.request);
    nodes_.erase(request.id);
    removeIfUnused(organisation);
    return request;
}

std::size_t TierQueue::sharedInUse() const
{
    std::size_t used = 0;
    for (const Tier &tier : tiers_) {
        const std::size_t waiting = tier.byTime.size();
        used += waiting - std::min(waiting, options_.reservedPerTier);
    }
    return used;
}

unsigned TierQueue::waitingTierCount() const
{
    return static_cast<unsigned>(std::count_if(
            tiers_.begin(), tiers_.end(), [](const Tier &tier) { return !tier.byTime.empty(); }));
}

TierQueue::Node *TierQueue::firstEligible(unsigned tier, const Eligible &eligible,
                                          unsigned &skipped) const
{
    for (const Rank &rank : tiers_[tier].ranks) {
        const auto &waiting = rank.organisation->waiting;
        auto it = waiting.lower_bound({ tier, kFirstOrder });
        for (; it != waiting.end() && it->first.first == tier; ++it) {
            if (!eligible || eligible(it->second->request))
                return it->second;
            if (++skipped >= kMaxSkipped)
                return nullptr;
        }
    }
    return nullptr;
}

std::optional<unsigned> TierQueue::nextLowerTier() const
{
    std::optional<unsigned> best;
    bool isTop = true;
    for (unsigned tier = 0; tier < options_.tiers; ++tier) {
        if (tiers_[tier].byTime.empty())
            continue;
        if (!isTop && (!best || tiers_[tier].lastGrant < tiers_[*best].lastGrant))
            best = tier;
        isTop = false;
    }
    return best;
}

WaitingRequest TierQueue::grant(Node &node, bool severalTiers, bool lowerTierDue,
                                bool byLowerTierShare)
{
    ++grants_;
    tiers_[node.request.tier].lastGrant = grants_;
    // If the lower-tier share found no eligible request, it stays due.
    if (severalTiers && lowerTierDue == byLowerTierShare)
        lowerTierCounter_ = (lowerTierCounter_ + 1) % options_.lowerTierInterval;
    return remove(node);
}

} // namespace auburn
