// The composition of a service's fleet: how many servers of each kind there should be in each
// failure domain, regardless of what runs now.
#pragma once

#include <vector>

namespace auburn::scaling {

// What one failure domain can take.
struct DomainLimits
{
    // Relative price; servers go to cheaper failure domains first.
    double price = 1;
    // The numbers of servers that can be had; lower than the maximum if the platform has no more.
    unsigned onDemand = 0;
    unsigned spot = 0;
};

struct CompositionNeed
{
    unsigned servers = 0;
    // Part of the servers that must remain if the platform takes away all spot servers of any one
    // failure domain.
    unsigned withoutReserve = 0;
    // Share of the servers that may be spot servers.
    double spotShare = 0;
    // For each failure domain, both kinds together.
    unsigned minPerDomain = 0;
    unsigned maxPerDomain = 0;
};

struct DomainComposition
{
    unsigned onDemand = 0;
    unsigned spot = 0;

    unsigned total() const { return onDemand + spot; }
};

// Returns one element for each failure domain, in the same order. The sum is lower than the number
// of servers needed only if the limits do not allow more.
std::vector<DomainComposition> compose(const CompositionNeed &need,
                                       const std::vector<DomainLimits> &domains);

} // namespace auburn::scaling
