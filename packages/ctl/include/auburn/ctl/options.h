// Helper for TCLAP command lines, which support one delimiter between a flag and its value only.
#pragma once

#include <string>
#include <vector>

namespace auburn {

// The arguments with "--NAME=VALUE" split into "--NAME" and "VALUE" for each of the given names
// (without dashes); everything else is unchanged.
std::vector<std::string> splitAssignments(const std::vector<std::string> &arguments,
                                          const std::vector<std::string> &names);

} // namespace auburn
