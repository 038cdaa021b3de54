#include "auburn/mesh/memberview.h"

#include "auburn/core/hash.h"

#include <algorithm>
#include <utility>

namespace auburn {

std::vector<std::string> MemberView::rankedOwners(std::string_view key) const
{
    std::vector<std::pair<std::uint64_t, std::string>> scored;
    const std::uint64_t seed = stableHash(key);
    for (const Member &member : members) {
        if (member.status == MemberStatus::Ready)
            scored.emplace_back(stableHash(member.id, seed), member.id);
    }
    std::sort(scored.begin(), scored.end(), std::greater<>());
    std::vector<std::string> ids;
    ids.reserve(scored.size());
    for (auto &entry : scored)
        ids.push_back(std::move(entry.second));
    return ids;
}

std::string MemberView::ownerOf(std::string_view key) const
{
    const std::uint64_t seed = stableHash(key);
    std::pair<std::uint64_t, std::string> best;
    for (const Member &member : members) {
        if (member.status == MemberStatus::Ready)
            best = std::max(best, std::pair(stableHash(member.id, seed), member.id));
    }
    return best.second;
}

} // namespace auburn
