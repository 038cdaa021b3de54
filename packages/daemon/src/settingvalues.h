// Texts of all settings, from flags, environment and defaults, before they are checked.
#pragma once

#include "auburn/daemon/settings.h"

#include <map>
#include <string>
#include <vector>

namespace auburn {

struct SettingValues
{
    // By setting name; holds every setting. Repeated flags of a list are joined with commas.
    std::map<std::string, std::string> rawValues;
    bool help = false;
    bool version = false;
    // Mistakes in the flags themselves, for example unknown ones.
    std::vector<std::string> errors;
};

SettingValues readSettingValues(const std::vector<std::string> &arguments,
                                const EnvironmentLookup &environment);

} // namespace auburn
