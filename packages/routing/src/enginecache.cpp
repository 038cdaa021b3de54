#include "auburn/routing/enginecache.h"

#include <algorithm>

namespace auburn::routing {

namespace {

// Engines hold prompts in blocks. Callers choose the sizes of parts, so this also bounds the number
// of parts in this estimate.
constexpr std::uint64_t kBlockTokens = 32;

} // namespace

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
    const std::uint64_t heldTokens = std::max(part.tokens, kBlockTokens);
    entries_.emplace(part.id, Entry{ .heldTokens = heldTokens, .recency = recency_.begin() });
    usedTokens_ += heldTokens;
}

void EngineCache::evict()
{
    while (usedTokens_ > capacityTokens_ && !recency_.empty()) {
        const auto oldest = entries_.find(recency_.back());
        usedTokens_ -= oldest->second.heldTokens;
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
