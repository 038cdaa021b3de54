// Verdict: whether a request may have been executed by a backend server.
//
// Retries and refusals depend on this one fact, so every result of an attempt and every refusal
// carries a verdict.
#pragma once

#include <string_view>

namespace auburn {

// Ordered by strength: merging two verdicts takes the larger one.
enum class Verdict {
    // No byte of the request reached a backend server, and none will.
    DidNotRun,
    // The request was at least partly sent; the outcome is unknown.
    MayHaveRun,
    // A backend server answered.
    Ran,
};

// Value of the Auburn-Verdict response header: "did-not-run", "may-have-run" or "ran".
std::string_view verdictName(Verdict verdict);

// The verdict of a request whose attempts ended with the two given verdicts.
Verdict mergeVerdicts(Verdict left, Verdict right);

} // namespace auburn
