#include "auburn/ctl/ctlprogram.h"

#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto variable = [](const std::string &name) -> std::optional<std::string> {
        const char *value = std::getenv(name.c_str());
        return value ? std::optional<std::string>(value) : std::nullopt;
    };
    const auburn::CtlEnvironment environment{
        .variable = variable, .in = std::cin, .out = std::cout, .err = std::cerr
    };
    return static_cast<int>(auburn::runCtl(arguments, environment));
}
