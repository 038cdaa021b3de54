#include "auburn/core/verdict.h"

#include <algorithm>

namespace auburn {

std::string_view verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::DidNotRun:
        return "did-not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

Verdict mergeVerdicts(Verdict left, Verdict right)
{
    return std::max(left, right);
}

} // namespace auburn
