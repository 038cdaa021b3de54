#include "organisationlimiter.h"

#include <utility>

namespace auburn {

OrganisationLimiter::Ticket::Ticket(OrganisationLimiter &limiter, std::string organisation)
    : limiter_(&limiter)
    , organisation_(std::move(organisation))
{}

OrganisationLimiter::Ticket::Ticket(Ticket &&other) noexcept
    : limiter_(std::exchange(other.limiter_, nullptr))
    , organisation_(std::move(other.organisation_))
{}

OrganisationLimiter::Ticket::~Ticket()
{
    if (limiter_)
        limiter_->leave(organisation_);
}

std::optional<OrganisationLimiter::Ticket> OrganisationLimiter::enter(
        const std::string &organisation, unsigned maxConcurrent)
{
    const std::lock_guard lock(mutex_);
    unsigned &count = counts_[organisation];
    if (maxConcurrent != 0 && count >= maxConcurrent)
        return std::nullopt;
    ++count;
    return Ticket(*this, organisation);
}

void OrganisationLimiter::leave(const std::string &organisation)
{
    const std::lock_guard lock(mutex_);
    const auto found = counts_.find(organisation);
    if (found != counts_.end() && --found->second == 0)
        counts_.erase(found);
}

} // namespace auburn
