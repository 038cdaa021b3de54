// InputRunner runs one input and checks the limits of memory and CPU time. An input that crashes
// the process, or takes too long, is saved first.
#pragma once

#include "decoder.h"

#include <optional>
#include <string>
#include <string_view>

namespace auburn::fuzz {

class InputRunner
{
public:
    // To be created once.
    InputRunner();

    // Returns what is wrong, or nullopt.
    std::optional<std::string> run(const Decoder &decoder, std::string_view input);
    // Writes the input to a file in the current directory and returns the name of the file.
    static std::string save(const std::string &decoder, std::string_view input);
};

} // namespace auburn::fuzz
