#pragma once

#include "auburn/daemon/settings.h"

#include <map>
#include <string>
#include <vector>

namespace auburn {

// Unvalidated values of all settings, from flags, environment variables and defaults.
struct SettingValues
{
    // Value of every setting by its name. Repeated flags of a list are joined with commas.
    std::map<std::string, std::string> rawValues;
    // --help and --version are given.
    bool help = false;
    bool version = false;
    // Errors in the flags themselves, for example unknown flags.
    std::vector<std::string> errors;
};

// The arguments exclude the program name.
SettingValues readSettingValues(const std::vector<std::string> &arguments,
                                const EnvironmentLookup &environment);

} // namespace auburn
