#include "auburn/routing/enginecache.h"

namespace auburn::routing {

EngineCache::EngineCache(std::uint64_t capacityTokens)
    : capacityTokens_(capacityTokens)
{}

std::uint64_t EngineCache::uncachedTokens(const PromptParts &parts) const
{
    std::uint64_t uncached = 0;
    for (const PromptPart &part : parts) {
        if (uncached > 0 || !contains(part.id))
            uncached += part.tokens;
    }
    return uncached;
}

void EngineCache::touch(const PromptParts &parts)
{
    // Touches the parts in reverse order, so that the part shared with other prompts is evicted
    // last.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part)
        touchPart(*part);
    evict();
}

void EngineCache::touchPart(const PromptPart &part)
{
    const auto found = entries_.find(part.id);
    if (found != entries_.end()) {
        recency_.splice(recency_.begin(), recency_, found->second.recency);
        return;
    }
    recency_.push_front(part.id);
    entries_.emplace(part.id, Entry{ .tokens = part.tokens, .recency = recency_.begin() });
    usedTokens_ += part.tokens;
}

void EngineCache::evict()
{
    while (usedTokens_ > capacityTokens_ && !recency_.empty()) {
        const auto oldest = entries_.find(recency_.back());
        usedTokens_ -= oldest->second.tokens;
        entries_.erase(oldest);
        recency_.pop_back();
    }
}

void EngineCache::clear()
{
    entries_.clear();
    recency_.clear();
    usedTokens_ = 0;
}

} // namespace auburn::routing
