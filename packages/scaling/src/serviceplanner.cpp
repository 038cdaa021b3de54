#include "serviceplanner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburn::scaling {

using std::chrono::milliseconds;

namespace {

// Utilisation of slots and of prefill capacity up to which the latency targets are met.
constexpr double kSlotUtilisation = 0.6;
constexpr double kPrefillUtilisation = 0.5;
// Prompt tokens that an engine prefills in a second; see kPrefillTokensPerMs in
// routing/prediction.cpp.
constexpr double kPrefillTokensPerSecond = 55000;
// Factor for what arrives until ordered servers have started, and for spot servers that are lost.
constexpr double kReserve = 1.5;
// Time for which the need must have been lower before servers are given back.
constexpr milliseconds kLowerNeedTime{ 10000 };
// Within this time after the daemon became the holder, the need is at least half of what ran then.
constexpr milliseconds kTakeoverTime{ 10000 };
// Time for which the demand must have been complete before servers are given back.
constexpr milliseconds kCompleteTime{ 5000 };
// Time for which a new holder observes the demand before it gives servers back. It covers a wave
// with a period of 11 s.
constexpr milliseconds kObservationTime{ 12000 };
// Time from the end of the boot time until a new server is certainly listed and its listing read.
constexpr milliseconds kListingTime{ 3000 };
// Largest share of a service's servers that is given back in one step. A step lasts one boot time.
// The limits of a step keep callers from finding cold prefix caches everywhere; before the first
// request they do not apply.
constexpr double kMaxGivenBack = 0.15;
// Largest share of a failure domain's servers that changes in one step.
constexpr double kMaxChanged = 1.0 / 3;
// Smaller differences from the target are left alone: small changes of the need would cause
// servers to be replaced repeatedly. Spot servers are cheap, so a larger surplus of them may stay.
constexpr double kIgnoredMoves = 0.05;
constexpr double kIgnoredSurplus = 0.10;
constexpr unsigned kIgnoredSpotServers = 1;
// Prices beyond these bounds would concentrate nearly all servers in one failure domain.
constexpr double kLowestPrice = 0.5;
constexpr double kHighestPrice = 2.0;

unsigned shareOf(double share, unsigned servers)
{
    return std::max(1U, static_cast<unsigned>(share * servers));
}

} // namespace

unsigned ServicePlanner::Group::missing() const
{
    const unsigned expected = get().expected();
    return target - std::min(target, expected);
}

unsigned ServicePlanner::Group::surplus() const
{
    const unsigned usable = get().usable();
    return usable - std::min(usable, target);
}

ServicePlanner::ServicePlanner()
    : recentServers_(kLowerNeedTime)
    , recentWithoutReserve_(kLowerNeedTime)
{}

std::vector<PlannedOrder> ServicePlanner::plan(const ServiceState &service,
                                               const PlanContext &context, TimePoint now)
{
    observe(service, context, now);
    if (domains_.empty())
        return {};
    updateNeed(service, context, now);
    const std::vector<Group> groups = makeTargets();
    orderShortage(groups, now);
    const bool isStepDue = !steppedAt_ || now - *steppedAt_ >= service.policy.bootTime;
    if (mayGiveBack(context, now) && isStepDue && total(&GroupTrack::expected) >= need_.servers) {
        for (Domain &domain : domains_) {
            domain.removalsLeft = demandSeen_ ? shareOf(kMaxChanged, domain.usable())
                                              : domain.usable();
            domain.replacementsLeft = domain.removalsLeft;
        }
        const bool gaveBack = giveBackSurplus(groups, now);
        const bool replaces = orderReplacements(groups, now);
        if (gaveBack || replaces)
            steppedAt_ = now;
    }
    return orders(service.name);
}

bool ServicePlanner::mayGiveBack(const PlanContext &context, TimePoint now) const
{
    // Without demand nothing is lost by a replacement; only what the previous holder ordered has
    // to arrive before.
    const milliseconds observation = demandSeen_ ? kObservationTime : arrivalTime_;
    return context.completeFor >= kCompleteTime && now - context.startedAt >= observation;
}

void ServicePlanner::observe(const ServiceState &service, const PlanContext &context, TimePoint now)
{
    // Failure domains stay known when their last server has gone.
    const auto addDomain = [this](const std::string &name) {
        const bool known = std::any_of(domains_.begin(), domains_.end(),
                                       [&](const Domain &domain) { return domain.name == name; });
        if (!known)
            domains_.push_back({ .name = name });
    };
    for (const auto &[name, servers] : service.domains)
        addDomain(name);
    for (const auto &[name, price] : service.policy.domainPrices)
        addDomain(name);
    arrivalTime_ = service.policy.bootTime + kListingTime;
    for (Domain &domain : domains_) {
        const auto price = service.policy.domainPrices.find(domain.name);
        domain.price = price == service.policy.domainPrices.end()
                               ? 1
                               : std::clamp(price->second, kLowestPrice, kHighestPrice);
        const auto listed = service.domains.find(domain.name);
        const DomainServers servers = listed == service.domains.end() ? DomainServers{}
                                                                      : listed->second;
        const FleetState &fleet = context.fleet;
        ServerGroup group{ .service = service.name, .failureDomain = domain.name };
        domain.onDemand.observe({ .running = servers.onDemand,
                                  .declined = fleet.unavailable.contains(group),
                                  .unanswered = fleet.unanswered.contains(group),
                                  .arrivalTime = arrivalTime_ },
                                now);
        group.spot = true;
        domain.spot.observe(
                { .running = servers.spot,
                  .declined = servers.spotReclaimed || fleet.unavailable.contains(group),
                  .unanswered = fleet.unanswered.contains(group),
                  .arrivalTime = arrivalTime_ },
                now);
    }
    if (service.slots > 0)
        slots_ = service.slots;
    // A holder that has just started may not have read the whole list of servers yet.
    if (!demandSeen_ && !hasOrdered_)
        serversAtStart_ = std::max(serversAtStart_, total(&GroupTrack::usable));
}

void ServicePlanner::updateNeed(const ServiceState &service, const PlanContext &context,
                                TimePoint now)
{
    const double bySlots = slots_ > 0 ? service.load.inProgress / (slots_ * kSlotUtilisation) : 0;
    const double byPrefill = service.load.tokensPerSecond
                             / (kPrefillTokensPerSecond * kPrefillUtilisation);
    const double load = std::max(bySlots, byPrefill);
    demandSeen_ = demandSeen_ || load > 0;
    // Before the first request, what the operators provided is taken for the need.
    const double withoutReserveNow = demandSeen_ ? load : serversAtStart_ / kReserve;
    recentServers_.add(std::ceil(withoutReserveNow * kReserve), now);
    recentWithoutReserve_.add(std::ceil(withoutReserveNow), now);

    const auto domains = static_cast<unsigned>(domains_.size());
    double servers = recentServers_.value();
    double withoutReserve = recentWithoutReserve_.value();
    if (!context.fleet.demandComplete) {
        servers = std::max<double>(servers, completeNeed_.servers);
        withoutReserve = std::max<double>(withoutReserve, completeNeed_.withoutReserve);
    }
    if (now - context.startedAt < kTakeoverTime)
        servers = std::max(servers, std::ceil(serversAtStart_ / 2.0));
    limit_ = service.policy.maxPerDomain * domains;
    limit_ = std::min(limit_, context.options.maxServers.value_or(limit_));
    const unsigned lowest = std::min(limit_, std::max(1U, service.policy.minPerDomain) * domains);
    need_.servers = static_cast<unsigned>(std::clamp<double>(servers, lowest, limit_));
    need_.withoutReserve = static_cast<unsigned>(std::min<double>(withoutReserve, need_.servers));
    need_.spotShare = service.policy.spotPrice < 1 ? context.options.spotShare : 0;
    need_.minPerDomain = service.policy.minPerDomain;
    need_.maxPerDomain = service.policy.maxPerDomain;
    if (context.fleet.demandComplete)
        completeNeed_ = need_;
}

std::vector<ServicePlanner::Group> ServicePlanner::makeTargets()
{
    const unsigned maximum = need_.maxPerDomain;
    const auto limit = [maximum](const GroupTrack &track) {
        return track.isBlocked() ? track.usable() : maximum;
    };
    std::vector<DomainLimits> limits;
    for (const Domain &domain : domains_)
        limits.push_back({ .price = domain.price,
                           .onDemand = limit(domain.onDemand),
                           .spot = limit(domain.spot) });
    const std::vector<DomainComposition> composition = compose(need_, limits);
    std::vector<Group> groups;
    for (std::size_t i = 0; i < domains_.size(); ++i) {
        groups.push_back({ .domain = &domains_[i],
                           .track = &Domain::onDemand,
                           .target = composition[i].onDemand });
        groups.push_back(
                { .domain = &domains_[i], .track = &Domain::spot, .target = composition[i].spot });
    }
    return groups;
}

bool ServicePlanner::orderOneMore(const std::vector<Group> &groups, OrderReason reason,
                                  bool beyondTarget, TimePoint now)
{
    if (total(&GroupTrack::wanted) >= limit_)
        return false;
    const auto isBetter = [](const Group &left, const Group *right) {
        if (!right)
            return true;
        if (left.missing() != right->missing())
            return left.missing() > right->missing();
        return left.domain->wanted() * left.domain->price
               < right->domain->wanted() * right->domain->price;
    };
    const Group *best = nullptr;
    for (const Group &group : groups) {
        const bool wanted = beyondTarget ? group.track == &Domain::onDemand : group.missing() > 0;
        const bool hasRoom = group.domain->wanted() < need_.maxPerDomain;
        const bool isAllowed = reason == OrderReason::Shortage
                               || group.domain->replacementsLeft > 0;
        if (wanted && hasRoom && isAllowed && !group.get().isBlocked() && isBetter(group, best))
            best = &group;
    }
    if (!best)
        return false;
    best->get().order(best->get().expected() + 1, reason, now);
    hasOrdered_ = true;
    if (reason != OrderReason::Shortage)
        --best->domain->replacementsLeft;
    return true;
}

void ServicePlanner::orderShortage(const std::vector<Group> &groups, TimePoint now)
{
    unsigned expected = total(&GroupTrack::expected);
    // If on-demand servers that are to be replaced take up the room of a failure domain, others are
    // ordered elsewhere for the time being.
    while (expected < need_.servers
           && (orderOneMore(groups, OrderReason::Shortage, false, now)
               || orderOneMore(groups, OrderReason::Shortage, true, now)))
        ++expected;
}

bool ServicePlanner::giveBackSurplus(const std::vector<Group> &groups, TimePoint now)
{
    const unsigned usable = total(&GroupTrack::usable);
    if (usable <= need_.servers)
        return false;
    const unsigned surplus = usable - need_.servers;
    unsigned onDemandSurplus = 0;
    for (const Group &group : groups)
        onDemandSurplus += group.track == &Domain::onDemand ? group.surplus() : 0;
    unsigned quota = demandSeen_ ? std::min(surplus, shareOf(kMaxGivenBack, usable)) : surplus;
    unsigned givenBack = 0;
    if (onDemandSurplus >= shareOf(kIgnoredMoves, need_.servers))
        givenBack = giveBack(groups, &Domain::onDemand, quota, now);
    quota -= givenBack;
    if (surplus > kIgnoredSpotServers && surplus >= shareOf(kIgnoredSurplus, need_.servers))
        givenBack += giveBack(groups, &Domain::spot, quota, now);
    return givenBack > 0;
}

unsigned ServicePlanner::giveBack(const std::vector<Group> &groups, GroupTrack Domain::*kind,
                                  unsigned quota, TimePoint now)
{
    unsigned givenBack = 0;
    while (givenBack < quota) {
        const Group *best = nullptr;
        for (const Group &group : groups) {
            const bool isAllowed = group.track == kind && group.surplus() > 0
                                   && group.domain->removalsLeft > 0
                                   && group.domain->usable() > need_.minPerDomain
                                   && isLossCovered(group);
            if (isAllowed && (!best || group.surplus() > best->surplus()))
                best = &group;
        }
        if (!best)
            return givenBack;
        best->get().order(best->get().usable() - 1, OrderReason::Surplus, now);
        hasOrdered_ = true;
        --best->domain->removalsLeft;
        ++givenBack;
    }
    return givenBack;
}

bool ServicePlanner::isLossCovered(const Group &group) const
{
    unsigned largestLoss = 0;
    for (const Domain &domain : domains_) {
        const bool isReduced = &domain == group.domain && group.track == &Domain::spot;
        largestLoss = std::max(largestLoss, domain.spot.usable() - (isReduced ? 1 : 0));
    }
    return total(&GroupTrack::usable) - 1 >= need_.withoutReserve + largestLoss;
}

bool ServicePlanner::orderReplacements(const std::vector<Group> &groups, TimePoint now)
{
    unsigned missing = 0;
    for (const Group &group : groups)
        missing += group.missing();
    if (missing < shareOf(kIgnoredMoves, need_.servers))
        return false;
    // The limit holds for the servers to be replaced and their replacements together.
    bool ordered = false;
    while (orderOneMore(groups, OrderReason::Replacement, false, now))
        ordered = true;
    return ordered;
}

unsigned ServicePlanner::total(unsigned (GroupTrack::*number)() const) const
{
    unsigned servers = 0;
    for (const Domain &domain : domains_)
        servers += (domain.onDemand.*number)() + (domain.spot.*number)();
    return servers;
}

std::vector<PlannedOrder> ServicePlanner::orders(const std::string &service) const
{
    std::vector<PlannedOrder> result;
    const auto add = [&](const Domain &domain, const GroupTrack &track, bool spot) {
        if (!track.isOrdered())
            return;
        result.push_back({ .order = { .service = service,
                                      .failureDomain = domain.name,
                                      .desired = track.ordered(),
                                      .spot = spot },
                           .decidedAt = track.orderedAt(),
                           .reason = track.reason(),
                           .running = track.running(),
                           .needed = need_.servers });
    };
    for (const Domain &domain : domains_) {
        add(domain, domain.onDemand, false);
        add(domain, domain.spot, true);
    }
    return result;
}

} // namespace auburn::scaling
