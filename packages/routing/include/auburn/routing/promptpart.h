// PromptPart is a section of a prompt that engines hold as a unit in their prefix cache.
#pragma once

#include <cstdint>
#include <vector>

namespace auburn::routing {

struct PromptPart
{
    // Equal parts of different requests have the same id.
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
};

// The parts of one prompt in order. The last one belongs to a single request or session.
using PromptParts = std::vector<PromptPart>;

std::uint64_t totalTokens(const PromptParts &parts);

// Returns the number of tokens in the parts that other prompts may have as well: all but the last.
std::uint64_t sharedTokens(const PromptParts &parts);

// Returns the ids of the parts that other prompts may have as well.
std::vector<std::uint64_t> sharedPartIds(const PromptParts &parts);

// Returns the id of the part that the requests of one session share, which precedes the request's
// own part; 0 for an empty prompt.
std::uint64_t sessionPartId(const PromptParts &parts);

} // namespace auburn::routing
