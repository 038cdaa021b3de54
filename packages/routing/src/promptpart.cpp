#include "auburn/routing/promptpart.h"

namespace auburn::routing {

std::uint64_t totalTokens(const PromptParts &parts)
{
    std::uint64_t total = 0;
    for (const PromptPart &part : parts)
        total += part.tokens;
    return total;
}

} // namespace auburn::routing
