// EngineCache estimates which prompt parts one engine holds in its prefix cache, based on the
// requests sent to it.
#pragma once

#include "auburn/routing/promptpart.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace auburn::routing {

class EngineCache
{
public:
    // The capacity is in tokens; the least recently used parts are evicted first.
    explicit EngineCache(std::uint64_t capacityTokens);

    // Returns the number of tokens that the engine has to prefill: all parts from the first one
    // that is not cached.
    std::uint64_t uncachedTokens(const PromptParts &parts) const;
    // Records that the engine processes the prompt; its parts become the most recently used ones.
    void touch(const PromptParts &parts);
    bool contains(std::uint64_t part) const { return entries_.contains(part); }
    void clear();

private:
    struct Entry
    {
        // At least one block.
        std::uint64_t heldTokens = 0;
        std::list<std::uint64_t>::iterator recency;
    };

    void touchPart(const PromptPart &part);
    void evict();

    const std::uint64_t capacityTokens_;
    std::uint64_t usedTokens_ = 0;
    // Part ids, the most recently used first.
    std::list<std::uint64_t> recency_;
    std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace auburn::routing
