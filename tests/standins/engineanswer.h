// The text that the stand-in engine generates: a function of prompt and request id, so that a test
// can tell whether an answer is whole and comes from one attempt.
#pragma once

#include <string>

namespace auburn::standin {

// Token number index, counted from 0, with a trailing space.
std::string answerToken(const std::string &prompt, const std::string &requestId, unsigned index);

// The whole answer.
std::string answerText(const std::string &prompt, const std::string &requestId, unsigned tokens);

} // namespace auburn::standin
