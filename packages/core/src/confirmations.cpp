#include "auburn/core/confirmations.h"

#include <algorithm>
#include <tuple>

namespace auburn {

void Confirmations::confirm(const std::string &source, std::uint64_t era, TimePoint askedAt)
{
    const auto found = sources_.find(source);
    if (found == sources_.end())
        return;
    std::optional<Confirmation> &known = found->second;
    if (!known || std::tie(era, askedAt) > std::tie(known->era, known->askedAt))
        known = Confirmation{ .era = era, .askedAt = askedAt };
}

bool Confirmations::fulfils(const std::optional<Confirmation> &confirmation, const Bound &bound)
{
    return confirmation && confirmation->era >= bound.era
           && confirmation->askedAt >= bound.askedSince;
}

bool Confirmations::haveConfirmed(const std::vector<std::string> &sources, const Bound &bound) const
{
    return std::all_of(sources.begin(), sources.end(), [&](const std::string &source) {
        const auto found = sources_.find(source);
        return found != sources_.end() && fulfils(found->second, bound);
    });
}

bool Confirmations::areComplete(const Bound &bound) const
{
    return !sources_.empty() && confirmed(bound) == sources_.size();
}

std::vector<std::string> Confirmations::missing(const Bound &bound) const
{
    std::vector<std::string> names;
    for (const auto &[source, confirmation] : sources_) {
        if (!fulfils(confirmation, bound))
            names.push_back(source);
    }
    return names;
}

std::size_t Confirmations::confirmed(const Bound &bound) const
{
    return sources_.size() - missing(bound).size();
}

std::optional<Confirmations::TimePoint> Confirmations::askedAt(const std::string &source) const
{
    const auto found = sources_.find(source);
    if (found == sources_.end() || !found->second)
        return std::nullopt;
    return found->second->askedAt;
}

} // namespace auburn
