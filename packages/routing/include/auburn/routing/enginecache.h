// EngineCache: an estimate of the prompt parts that one engine keeps, from the requests sent to it.
#pragma once

#include "auburn/routing/promptpart.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace auburn::routing {

class EngineCache
{
public:
    // The capacity is in tokens; the least recently used parts yield.
    explicit EngineCache(std::uint64_t capacityTokens);

    // Tokens that the engine has to read: everything from the first part that is not cached.
    std::uint64_t uncachedTokens(const PromptParts &parts) const;
    // The engine reads the prompt; its parts become the most recently used ones.
    void touch(const PromptParts &parts);
    bool contains(std::uint64_t part) const { return entries_.contains(part); }
    void clear();

private:
    struct Entry
    {
        std::uint64_t tokens = 0;
        std::list<std::uint64_t>::iterator recency;
    };

    void touchPart(const PromptPart &part);
    void evict();

    const std::uint64_t capacityTokens_;
    std::uint64_t usedTokens_ = 0;
    // Most recently used first.
    std::list<std::uint64_t> recency_;
    std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace auburn::routing
