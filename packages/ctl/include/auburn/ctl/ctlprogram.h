// CtlProgram: everything that auburnctl does, apart from access to the process environment.
#pragma once

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace auburn {

// Exit codes of auburnctl; scripts depend on them.
enum class CtlExit {
    Done = 0,
    Failed = 1,
    // Wrong options, a syntax error, or an unusable field or value. Nothing was changed.
    Usage = 2,
    NotFound = 3,
    // Another change of the item came first. Nothing was changed.
    Conflict = 4,
    // Certainly not done; the command can be repeated.
    Unavailable = 5,
    // May have been done.
    Unknown = 6,
    // Accepted, but not seen in force everywhere in time.
    NotInForce = 7,
};

struct CtlEnvironment
{
    // Value of an environment variable.
    std::function<std::optional<std::string>(const std::string &name)> variable;
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
};

// Runs auburnctl with the given arguments, the program name excluded.
CtlExit runCtl(const std::vector<std::string> &arguments, const CtlEnvironment &environment);

} // namespace auburn
