#include "auburn/routing/promptpart.h"

namespace auburn::routing {

std::uint64_t totalTokens(const PromptParts &parts)
{
    std::uint64_t total = 0;
    for (const PromptPart &part : parts)
        total += part.tokens;
    return total;
}

std::uint64_t sharedTokens(const PromptParts &parts)
{
    return parts.empty() ? 0 : totalTokens(parts) - parts.back().tokens;
}

std::vector<std::uint64_t> sharedPartIds(const PromptParts &parts)
{
    std::vector<std::uint64_t> ids;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        ids.push_back(parts[i].id);
    return ids;
}

std::uint64_t sessionPartId(const PromptParts &parts)
{
    if (parts.empty())
        return 0;
    return parts.size() >= 2 ? parts[parts.size() - 2].id : parts[0].id;
}

} // namespace auburn::routing
