#pragma once

#include "auburn/schedule/tierqueue.h"

#include <algorithm>
#include <map>

namespace auburn {

// Implements the rules of TierQueue with linear scans over one list; the reference model for
// differential tests.
class ReferenceTierQueue
{
public:
    struct Entry
    {
        WaitingRequest request;
        std::uint64_t sequence = 0;
        auto order() const { return std::pair(request.since, sequence); }
    };

    explicit ReferenceTierQueue(TierQueue::Options options)
        : options_(options)
        , lastGrant_(options.tiers)
    {}

    TierQueue::Admission push(const WaitingRequest &request)
    {
        std::size_t shared = 0;
        for (unsigned tier = 0; tier < options_.tiers; ++tier)
            shared += inShared(tier);
        TierQueue::Admission admission{ .accepted = true };
        if (count(request.tier) >= options_.reservedPerTier && shared >= options_.sharedCapacity) {
            unsigned lowest = request.tier;
            for (unsigned tier = request.tier + 1; tier < options_.tiers; ++tier)
                lowest = inShared(tier) > 0 ? tier : lowest;
            if (lowest == request.tier)
                return { .accepted = false };
            admission.evicted = take(newestOf(lowest));
        }
        if (count(request.tier) == 0)
            lastGrant_[request.tier] = grants_;
        entries.push_back(Entry{ .request = request, .sequence = nextSequence_++ });
        return admission;
    }

    std::optional<WaitingRequest> grantNext()
    {
        std::vector<unsigned> tiers;
        for (unsigned tier = 0; tier < options_.tiers; ++tier) {
            if (count(tier) > 0)
                tiers.push_back(tier);
        }
        if (tiers.empty())
            return std::nullopt;
        unsigned tier = tiers.front();
        if (tiers.size() > 1 && ++lowerTierCounter_ == options_.lowerTierInterval) {
            lowerTierCounter_ = 0;
            tier = *std::min_element(tiers.begin() + 1, tiers.end(), [&](unsigned a, unsigned b) {
                return lastGrant_[a] < lastGrant_[b];
            });
        }
        lastGrant_[tier] = ++grants_;
        return take(nextOf(tier));
    }

    bool hasSharedBelow(unsigned tier) const
    {
        for (unsigned lower = tier + 1; lower < options_.tiers; ++lower) {
            if (inShared(lower) > 0)
                return true;
        }
        return false;
    }

    std::size_t count(unsigned tier) const
    {
        return static_cast<std::size_t>(
                std::count_if(entries.begin(), entries.end(),
                              [&](const Entry &entry) { return entry.request.tier == tier; }));
    }

    std::optional<WaitingRequest> takeId(const std::string &id)
    {
        const auto found = std::find_if(entries.begin(), entries.end(),
                                        [&](const Entry &entry) { return entry.request.id == id; });
        return found == entries.end() ? std::nullopt : std::optional(take(found));
    }

    std::vector<Entry> entries;
    std::map<std::string, unsigned> held;

private:
    using Iterator = std::vector<Entry>::iterator;

    std::size_t inShared(unsigned tier) const
    {
        const std::size_t waiting = count(tier);
        return waiting > options_.reservedPerTier ? waiting - options_.reservedPerTier : 0;
    }

    Iterator newestOf(unsigned tier)
    {
        return std::max_element(entries.begin(), entries.end(),
                                [&](const Entry &a, const Entry &b) {
                                    return std::pair(a.request.tier == tier, a.order())
                                           < std::pair(b.request.tier == tier, b.order());
                                });
    }

    // Returns the first request of the organisation that holds the fewest slots; among equals, of
    // the one whose first request is the oldest.
    Iterator nextOf(unsigned tier)
    {
        return std::min_element(entries.begin(), entries.end(),
                                [&](const Entry &a, const Entry &b) {
                                    return std::tuple(a.request.tier != tier,
                                                      held[a.request.organisation], a.order())
                                           < std::tuple(b.request.tier != tier,
                                                        held[b.request.organisation], b.order());
                                });
    }

    WaitingRequest take(Iterator entry)
    {
        WaitingRequest request = entry->request;
        entries.erase(entry);
        return request;
    }

    TierQueue::Options options_;
    std::vector<std::uint64_t> lastGrant_;
    std::uint64_t grants_ = 0;
    std::uint64_t nextSequence_ = 1;
    unsigned lowerTierCounter_ = 0;
};

} // namespace auburn
