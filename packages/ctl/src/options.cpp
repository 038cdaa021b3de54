#include "auburn/ctl/options.h"

#include <algorithm>

namespace auburn {

std::vector<std::string> splitAssignments(const std::vector<std::string> &arguments,
                                          const std::vector<std::string> &names)
{
    std::vector<std::string> result;
    for (const std::string &argument : arguments) {
        const std::size_t equals = argument.find('=');
        const bool isOption = argument.starts_with("--") && equals != std::string::npos
                              && std::find(names.begin(), names.end(),
                                           argument.substr(2, equals - 2))
                                         != names.end();
        if (!isOption) {
            result.push_back(argument);
            continue;
        }
        result.push_back(argument.substr(0, equals));
        result.push_back(argument.substr(equals + 1));
    }
    return result;
}

} // namespace auburn
