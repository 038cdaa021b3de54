#include "composition.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>

namespace auburn::scaling {

namespace {

// Distributes servers one by one over the failure domains.
class Distribution
{
public:
    Distribution(const std::vector<DomainLimits> &domains, unsigned maxPerDomain)
        : domains_(domains)
        , maxPerDomain_(maxPerDomain)
        , result_(domains.size())
    {}

    // Adds up to count spot servers, at most cap in each failure domain, and returns how many could
    // not be added. Failure domains get equal numbers, weighted by the inverse of the price.
    unsigned addSpot(unsigned count, unsigned cap)
    {
        const auto room = [&](std::size_t i) {
            return result_[i].spot < std::min(cap, domains_[i].spot)
                   && result_[i].total() < maxPerDomain_;
        };
        const auto load = [&](std::size_t i) { return result_[i].spot; };
        while (count > 0 && addOne(room, load, &DomainComposition::spot))
            --count;
        return count;
    }

    // Adds up to count on-demand servers so that the totals become equal, weighted by the inverse
    // of the price, and returns how many could not be added.
    unsigned addOnDemand(unsigned count)
    {
        const auto room = [&](std::size_t i) { return hasRoomOnDemand(i); };
        const auto load = [&](std::size_t i) { return result_[i].total(); };
        while (count > 0 && addOne(room, load, &DomainComposition::onDemand))
            --count;
        return count;
    }

    // Adds one on-demand server in each failure domain and returns their number.
    unsigned addOneOnDemandEach()
    {
        unsigned added = 0;
        for (std::size_t i = 0; i < result_.size(); ++i) {
            if (!hasRoomOnDemand(i))
                continue;
            ++result_[i].onDemand;
            ++added;
        }
        return added;
    }

    void fillToMinimum(unsigned minimum)
    {
        for (std::size_t i = 0; i < result_.size(); ++i) {
            while (result_[i].total() < minimum) {
                if (hasRoomOnDemand(i))
                    ++result_[i].onDemand;
                else if (result_[i].spot < domains_[i].spot && result_[i].total() < maxPerDomain_)
                    ++result_[i].spot;
                else
                    break;
            }
        }
    }

    const std::vector<DomainComposition> &result() const { return result_; }

private:
    bool hasRoomOnDemand(std::size_t i) const
    {
        return result_[i].onDemand < domains_[i].onDemand && result_[i].total() < maxPerDomain_;
    }

    // Adds one server where its price, multiplied by the number there, is lowest.
    template<typename Room, typename Load>
    bool addOne(Room hasRoom, Load load, unsigned DomainComposition::*kind)
    {
        std::size_t best = result_.size();
        double lowest = std::numeric_limits<double>::infinity();
        for (std::size_t i = 0; i < result_.size(); ++i) {
            const double cost = (load(i) + 1.0) * domains_[i].price;
            if (!hasRoom(i) || cost >= lowest)
                continue;
            best = i;
            lowest = cost;
        }
        if (best == result_.size())
            return false;
        ++(result_[best].*kind);
        return true;
    }

    const std::vector<DomainLimits> &domains_;
    const unsigned maxPerDomain_;
    std::vector<DomainComposition> result_;
};

} // namespace

std::vector<DomainComposition> compose(const CompositionNeed &need,
                                       const std::vector<DomainLimits> &domains)
{
    Distribution distribution(domains, need.maxPerDomain);
    // Of the rest, an on-demand base of at least one server in each failure domain remains.
    const auto spotWanted = static_cast<unsigned>(std::floor(need.servers * need.spotShare));
    const unsigned placed = std::min(distribution.addOneOnDemandEach(), need.servers);
    const unsigned spot = std::min(spotWanted, need.servers - placed);
    const unsigned spotCap = need.servers - std::min(need.servers, need.withoutReserve);
    const unsigned spotMissing = distribution.addSpot(spot, spotCap);
    unsigned missing = distribution.addOnDemand(need.servers - placed - spot + spotMissing);
    // Too many spot servers in one failure domain are better than too few servers.
    if (need.spotShare > 0) {
        missing = distribution.addSpot(missing, spotCap);
        distribution.addSpot(missing, need.maxPerDomain);
    }
    distribution.fillToMinimum(need.minPerDomain);
    return distribution.result();
}

} // namespace auburn::scaling
