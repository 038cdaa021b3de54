#include "engineanswer.h"

#include "auburn/core/hash.h"

namespace auburn::standin {

std::string answerToken(const std::string &prompt, const std::string &requestId, unsigned index)
{
    const std::uint64_t hash = stableHash(requestId, stableHash(prompt, index));
    return "w" + std::to_string(hash % 100000) + " ";
}

std::string answerText(const std::string &prompt, const std::string &requestId, unsigned tokens)
{
    std::string text;
    for (unsigned i = 0; i < tokens; ++i)
        text += answerToken(prompt, requestId, i);
    return text;
}

} // namespace auburn::standin
