// What the relay needs to know of a chat completion's body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburn {

struct Prompt
{
    std::string model;
    bool stream = false;
    // Hash of the first message, limited to kPrefixBytes: a conversation keeps it from turn to
    // turn, and callers with the same system prompt share it.
    std::uint64_t prefixHash = 0;
    unsigned tokens = 0;
};

// Empty with lastError() set if the body is not a JSON object with a model and messages.
std::optional<Prompt> parsePrompt(std::string_view body);

// The body with the engine's priority field set; a field of the caller's is replaced. The body is
// one that parsePrompt accepts.
std::string withPriority(const std::string &body, unsigned priority);

} // namespace auburn
